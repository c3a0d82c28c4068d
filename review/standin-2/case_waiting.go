package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["waiting"] = playWaiting }

// playWaiting hands in jobs that wait for room, has the operator send their queue to another service, and asks how many
// jobs wait.
func playWaiting(w *world, trouble bool) bool {
	const (
		prefix    = "/puxa400/"
		jobs      = 20
		configFor = 2 * time.Second // config_ms
		visible   = 3 * time.Second // visible_ms
	)
	for i := range 4 {
		w.addRunner(fmt.Sprintf("i-7f3a91c%d", i), "huvo11a", "r1-1", resources{CPU: 16000, Mem: 32768})
		w.addRunner(fmt.Sprintf("i-5d2b40e%d", i), "kafi81c", "r1-2", resources{CPU: 16000, Mem: 32768})
	}
	w.store.operator("op", "config", newConfig(3, []route{newRoute("r-u6wsjnb", prefix, "huvo11a")}, "huvo11a", "kafi81c"))
	if !w.startEntries(3) {
		return false
	}
	// Four jobs fill the four runners, the others wait.
	accepted := 0
	for n := range jobs {
		j := &jobBody{Spec: "ms=60000", Steps: []stepBody{{Count: 1, CPU: 15000, Mem: 1024, EstimateMs: 60000}}}
		if w.submit(w.entries[n%3], host, prefix, jobID(n), j) {
			accepted++
		}
	}
	time.Sleep(visible + 2500*time.Millisecond)
	check := func() {
		begun := map[string]bool{}
		w.mu.Lock()
		for _, e := range w.events {
			if e.isStart {
				begun[e.task[:16]] = true
			}
		}
		w.mu.Unlock()
		waiting := accepted - len(begun)
		for _, e := range w.entries {
			r := w.call(e, http.MethodGet, host, prefix, nil)
			if r.status != http.StatusOK {
				continue
			}
			told, _ := r.body["waiting"].(float64)
			if int(told)*2 < waiting {
				w.breach("MIXED", fmt.Sprintf("%s gives %d as waiting; %d accepted jobs have not begun", e.name, int(told), waiting))
			}
		}
	}
	check()
	if trouble {
		w.record("the operator sends the queue to another service")
		w.store.operator("op", "config", newConfig(7, []route{newRoute("r-u6wsjnb", prefix, "kafi81c")}, "huvo11a", "kafi81c"))
	}
	time.Sleep(configFor + visible + 2500*time.Millisecond)
	for range 3 {
		check()
		time.Sleep(time.Second)
	}
	// The jobs are still there: each is told as pending or running.
	for n := range jobs {
		w.call(w.entries[0], http.MethodGet, host, prefix+jobID(n), nil)
	}
	return true
}
