package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

func init() { cases["gang"] = playGang }

// playGang hands in gangs while two runners of 24 fail all that they start, and looks for jobs that are shown as failed
// although neither a task nor the gang has failed max_attempts times.
func playGang(w *world, trouble bool) bool {
	const (
		prefix      = "/puxa400/"
		jobs        = 6
		runners     = 24
		grey        = 2
		maxAttempts = 2
		greyFor     = 6500 * time.Millisecond
		probe       = 1000
	)
	for i := range runners {
		w.addRunner(fmt.Sprintf("i-7f3a91%02d", i), "huvo11a", fmt.Sprintf("r1-%d", i/4), resources{CPU: 64000, Mem: 131072})
	}
	queue := newRoute("r-u6wsjnb", prefix, "huvo11a")
	queue.MaxAttempts = maxAttempts
	w.store.operator("op", "config", newConfig(3, []route{queue}, "huvo11a"))
	if !w.startEntries(3) {
		return false
	}
	job := func() *jobBody {
		return &jobBody{Spec: "ms=850", Steps: []stepBody{{Count: 6, CPU: 3500, Mem: 5100, EstimateMs: 850, Gang: true, AntiAffinity: 1}}}
	}
	// The first gang shows which runners the holder fills first.
	if !w.submit(w.entries[0], host, prefix, jobID(probe), job()) {
		return false
	}
	time.Sleep(2500 * time.Millisecond)
	first := w.runnersOf(jobID(probe))
	if len(first) < grey {
		return false
	}
	if trouble {
		for _, r := range first[:grey] {
			w.record("a runner fails all that it starts", "runner", r.id)
			r.setGrey(true)
			time.AfterFunc(greyFor, func() {
				w.record("the runner is sound again", "runner", r.id)
				r.setGrey(false)
			})
		}
	}
	for n := range jobs {
		if !w.submit(w.entries[n%3], host, prefix, jobID(n), job()) {
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

// runnersOf returns the runners that started a job's tasks, in the order of their ids.
func (w *world) runnersOf(id string) []*runner {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*runner
	for _, e := range w.events {
		if e.isStart && e.task[:16] == id && !slices.Contains(list, w.runners[e.runner]) {
			list = append(list, w.runners[e.runner])
		}
	}
	slices.SortFunc(list, func(a, b *runner) int { return strings.Compare(a.id, b.id) })
	return list
}
