package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["silence"] = playSilence }

// playSilence lets the open connections to the store go silent after a crowd of submissions, changes the configuration when
// all machines are in touch again, and asks when it has to be in force.
func playSilence(w *world, trouble bool) bool {
	const (
		prefix  = "/puxa400/"
		added   = "/tije37/"
		dropped = "/zizi35/"
		late    = 2000
		crowd   = 60
		lasting = 1000
		contact = 3 * time.Second // contact_ms
		inForce = 2 * time.Second // config_ms
	)
	for i := range 8 {
		w.addRunner(fmt.Sprintf("i-7f3a91c%d", i), "huvo11a", fmt.Sprintf("r1-%d", i/4), resources{CPU: 64000, Mem: 131072})
	}
	w.store.operator("op", "config", newConfig(3, []route{newRoute("r-u6wsjnb", prefix, "huvo11a"), newRoute("r-ex5wa5x", dropped, "huvo11a")}, "huvo11a"))
	if !w.startEntries(3) {
		return false
	}
	if !w.submit(w.entries[0], host, prefix, jobID(lasting), &jobBody{Spec: "lasts", Steps: []stepBody{{Count: 5, CPU: 5200, Mem: 9700, LongRunning: true, AntiAffinity: 1, MayMiss: 1}}}) {
		return false
	}
	time.Sleep(time.Second)
	var wait sync.WaitGroup
	for n := range crowd {
		wait.Go(func() {
			w.submit(w.entries[n%3], host, prefix, jobID(n), &jobBody{Spec: "ms=500", Steps: []stepBody{{Count: 1, CPU: 1000, Mem: 64, EstimateMs: 500}}})
		})
	}
	wait.Wait()
	time.Sleep(2 * time.Second)
	if trouble {
		for _, e := range w.entries {
			w.record("open connections to the store go silent", "entry", e.name, "connections", e.storeDoor.silenceOpen())
		}
	}
	time.Sleep(contact + 100*time.Millisecond)
	w.record("the operator adds a route")
	w.store.operator("op", "config", newConfig(7, []route{newRoute("r-u6wsjnb", prefix, "huvo11a"), newRoute("r-bkxxmib", added, "huvo11a")}, "huvo11a"))
	acknowledged := time.Now()
	time.Sleep(inForce + 50*time.Millisecond)
	for n := range 30 {
		for k, e := range w.entries {
			sent := time.Since(acknowledged)
			if r := w.call(e, http.MethodGet, host, added, nil); r.status == http.StatusNotFound {
				w.breach("CONFIG", fmt.Sprintf("%s answers 404 for a route %.2f s after it was added", e.name, sent.Seconds()))
			}
			if n%3 != 0 {
				continue
			}
			id := jobID(late + 10*n + k)
			w.mu.Lock()
			w.jobs[id] = &jobBody{Spec: "ms=300", Steps: []stepBody{{Count: 1, CPU: 1000, Mem: 64, EstimateMs: 300}}}
			w.mu.Unlock()
			sent = time.Since(acknowledged)
			if r := w.call(e, http.MethodPost, host, dropped+id, w.jobs[id]); r.status == http.StatusOK {
				w.breach("CONFIG", fmt.Sprintf("%s accepts a job %.2f s after its route was dropped", e.name, sent.Seconds()))
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return true
}
