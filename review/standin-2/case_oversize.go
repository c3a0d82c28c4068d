package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["oversize"] = playOversize }

// playOversize hands in small jobs and a large one, whose tasks save checkpoints, and asks at the end for all of them.
func playOversize(w *world, trouble bool) bool {
	const (
		prefix = "/puxa400/"
		small  = 10
		large  = 900
		finish = 14 * time.Second // finish_s
	)
	for i := range 8 {
		w.addRunner(fmt.Sprintf("i-7f3a91c%d", i), "huvo11a", fmt.Sprintf("r1-%d", i/4), resources{CPU: 64000, Mem: 131072})
	}
	w.store.operator("op", "config", newConfig(3, []route{newRoute("r-u6wsjnb", prefix, "huvo11a")}, "huvo11a"))
	if !w.startEntries(3) {
		return false
	}
	accepted := map[string]bool{}
	hand := func(n int, j *jobBody) {
		accepted[jobID(n)] = w.submit(w.entries[n%3], host, prefix, jobID(n), j)
	}
	task := func(count int) *jobBody {
		return &jobBody{Spec: "ms=3500", Steps: []stepBody{{Count: count, CPU: 100, Mem: 64, EstimateMs: 3500, Checkpointing: true}}}
	}
	hand(0, task(4))
	if trouble {
		hand(1, task(large))
	} else {
		// The same tasks, in jobs of a usual size.
		for n := range large / 30 {
			hand(100+n, task(30))
		}
	}
	time.Sleep(6 * time.Second)
	for n := range small {
		hand(10+n, task(4))
		time.Sleep(200 * time.Millisecond)
	}
	w.record("the traffic ends")
	time.Sleep(finish + 10*time.Second)
	for id, ok := range accepted {
		if !ok {
			w.record("not accepted", "job", id)
			continue
		}
		var r response
		for try := range 4 {
			if r = w.call(w.entries[try%3], http.MethodGet, host, prefix+id, nil); r.status == http.StatusOK {
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
		if r.body["state"] != "completed" {
			w.unfinished(id, r)
		}
	}
	return true
}

// unfinished records an accepted job that is not completed: it is a breach if none of its tasks ran for three seconds
// although its tasks' turn has come and the runners have room.
func (w *world) unfinished(id string, r response) {
	w.mu.Lock()
	running, last := 0, w.accepted[id]
	for _, e := range w.events {
		if e.task[:16] != id {
			continue
		}
		if e.isStart {
			running++
		} else {
			running--
		}
		last = e.at
	}
	idle := time.Since(w.began) - last
	w.mu.Unlock()
	if running == 0 && idle > 3*time.Second {
		w.breach("LOST", fmt.Sprintf("job %s is told as %v (status %d), has tasks to run and has run nothing for %.1f s", id, r.body["state"], r.status, idle.Seconds()))
	}
}
