package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["gang"] = playGang }

// playGang hands in gangs while one runner fails all that it starts, and looks for jobs that are shown as failed although
// neither a task nor the gang has failed max_attempts times.
func playGang(w *world, trouble bool) bool {
	const (
		prefix      = "/puxa400/"
		jobs        = 6
		runners     = 12
		maxAttempts = 3
		greyFor     = 6500 * time.Millisecond
	)
	var list []*runner
	for i := range runners {
		list = append(list, w.addRunner(fmt.Sprintf("i-7f3a91%02d", i), "huvo11a", "", fmt.Sprintf("r1-%d", i/4), resources{CPU: 64000, Mem: 131072}))
	}
	w.store.operator("op", "config", newConfig(3, []route{newRoute("r-u6wsjnb", prefix, "huvo11a")}, "huvo11a"))
	if !w.startEntries(3, "") {
		return false
	}
	if trouble {
		w.record("a runner fails all that it starts", "runner", list[0].id)
		list[0].setGrey(true)
		time.AfterFunc(greyFor, func() {
			w.record("the runner is sound again", "runner", list[0].id)
			list[0].setGrey(false)
		})
	}
	for n := range jobs {
		j := &jobBody{Spec: "ms=1000", Steps: []stepBody{{Count: 6, CPU: 3500, Mem: 5100, EstimateMs: 1000, Gang: true}}}
		if !w.submit(w.entries[n%3], host, prefix, jobID(n), j) {
			return false
		}
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(14 * time.Second) // finish_s
	for n := range jobs {
		r := w.call(w.entries[0], http.MethodGet, host, prefix+jobID(n), nil)
		if r.body["state"] != "failed" {
			continue
		}
		perTask, runs := map[string]int{}, map[uint32]bool{}
		w.mu.Lock()
		for _, e := range w.events {
			if !e.isStart && e.how == "failed" && e.task[:16] == jobID(n) {
				perTask[e.task]++
				runs[e.run] = true
			}
		}
		w.mu.Unlock()
		most := 0
		for _, k := range perTask {
			most = max(most, k)
		}
		if most < maxAttempts && len(runs) < maxAttempts {
			w.breach("LOST", fmt.Sprintf("job %s is shown as failed: its gang has failed %d time(s), no task more than %d, max_attempts is %d", jobID(n), len(runs), most, maxAttempts))
		}
	}
	return true
}
