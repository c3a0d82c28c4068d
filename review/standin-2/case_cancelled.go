package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["cancelled"] = playCancelled }

// playCancelled hands jobs in at an entry that the store does not answer, and cancels them at another entry once the first
// one has said that it does not know the outcome.
func playCancelled(w *world, trouble bool) bool {
	const (
		prefix      = "/puxa400/"
		jobs        = 4
		cancelBound = 3 * time.Second
		contact     = 3 * time.Second
		late        = 5500 * time.Millisecond
	)
	for i := range 8 {
		w.addRunner(fmt.Sprintf("i-7f3a91c%d", i), "huvo11a", fmt.Sprintf("r1-%d", i/4), resources{CPU: 16000, Mem: 32768})
	}
	w.store.operator("op", "config", newConfig(3, []route{newRoute("r-u6wsjnb", prefix, "huvo11a")}, "huvo11a"))
	if !w.startEntries(3) {
		return false
	}
	leader := w.holder("duty-jobs-huvo11a")
	var cut *entry
	for _, e := range w.entries {
		if e.name != leader {
			cut = e
		}
	}
	var calm *entry
	for _, e := range w.entries {
		if e != cut {
			calm = e
		}
	}
	w.record("the holder of the service", "entry", leader)
	if trouble {
		w.record("the store answers one entry no more", "entry", cut.name)
		cut.storeDoor.set(true, late)
	}
	time.Sleep(100 * time.Millisecond)
	type result struct {
		posted, cancelled int
		at                time.Time
	}
	results := make([]result, jobs)
	done := make(chan int)
	for n := range jobs {
		go func() {
			j := &jobBody{Spec: "ms=1000", Steps: []stepBody{{Count: 2, CPU: 1000, Mem: 64, EstimateMs: 1000}}}
			w.mu.Lock()
			w.jobs[jobID(n)] = j
			w.mu.Unlock()
			results[n].posted = w.call(cut, http.MethodPost, host, prefix+jobID(n), j).status
			// The client does not want the job any more.
			results[n].cancelled = w.call(calm, http.MethodDelete, host, prefix+jobID(n), nil).status
			results[n].at = time.Now()
			done <- n
		}()
	}
	for range jobs {
		<-done
	}
	if trouble {
		w.record("the store answers the entry again", "entry", cut.name)
		cut.storeDoor.set(false, 0)
	}
	stable := time.Now().Add(contact)
	time.Sleep(10 * time.Second)
	w.mu.Lock()
	events := append([]event{}, w.events...)
	w.mu.Unlock()
	for n, r := range results {
		if r.cancelled/100 != 2 && r.cancelled != http.StatusGone {
			continue
		}
		for _, e := range events {
			at := w.began.Add(e.at)
			if e.isStart && e.task[:16] == jobID(n) && at.After(r.at.Add(cancelBound)) && at.After(stable) {
				w.breach("UNASKED", fmt.Sprintf("%s starts on %s %.1f s after its job's cancelling was acknowledged with %d; handing it in was answered with %d",
					e.task, e.runner, at.Sub(r.at).Seconds(), r.cancelled, r.posted))
			}
		}
		w.call(calm, http.MethodGet, host, prefix+jobID(n), nil)
	}
	return true
}
