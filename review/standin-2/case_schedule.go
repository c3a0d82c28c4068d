package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["schedule"] = playSchedule }

// memoryLimit is memory_mb of the settings, in KB.
const memoryLimit = 284 * 1024

// residentKB returns the resident memory of a process in KB.
func residentKB(pid int) int {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range bytes.Split(data, []byte("\n")) {
		if f := bytes.Fields(line); len(f) > 1 && string(f[0]) == "VmRSS:" {
			n, _ := strconv.Atoi(string(f[1]))
			return n
		}
	}
	return 0
}

// watchMemory does what the platform does: it kills a process that exceeds its memory and starts it again.
func (w *world) watchMemory(e *entry, kills *atomic.Int32, stop <-chan struct{}) {
	most := 0
	for {
		select {
		case <-stop:
			w.record("most memory", "entry", e.name, "KB", most)
			return
		case <-time.After(100 * time.Millisecond):
		}
		kb := residentKB(e.command.Process.Pid)
		most = max(most, kb)
		if kb <= memoryLimit {
			continue
		}
		w.record("process exceeds memory_mb and is killed", "entry", e.name, "KB", kb)
		kills.Add(1)
		_ = e.command.Process.Kill()
		<-e.done
		time.Sleep(time.Second)
		w.start(e, freePort())
	}
}

// playSchedule hands in jobs that run each hour for a year, and then small ones that run at once. Processes that exceed the
// memory of their machine are killed and started again, as the platform does.
func playSchedule(w *world, trouble bool) bool {
	const (
		prefix    = "/puxa400/"
		scheduled = 60
		small     = 10
		smallFrom = 1000
		year      = 8760 // hours
		day       = 24
		finish    = 14 * time.Second // finish_s
		// maxEnds is how often processes may end on two machines in a day.
		maxEnds = 3
	)
	for i := range 8 {
		w.addRunner(fmt.Sprintf("i-7f3a91c%d", i), "huvo11a", fmt.Sprintf("r1-%d", i/4), resources{CPU: 64000, Mem: 131072})
	}
	w.store.operator("op", "config", newConfig(3, []route{newRoute("r-u6wsjnb", prefix, "huvo11a")}, "huvo11a"))
	if !w.startEntries(3) {
		return false
	}
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	kills := make([]atomic.Int32, len(w.entries))
	for i, e := range w.entries {
		watchers.Go(func() { w.watchMemory(e, &kills[i], stop) })
	}
	repeats := day
	if trouble {
		repeats = year
	}
	due := time.Now().Add(time.Hour).UnixMilli()
	for n := range scheduled {
		j := &jobBody{
			Spec: "hourly", Steps: []stepBody{{Count: 8, CPU: 3500, Mem: 5100, EstimateMs: 850}},
			InitialDelayMs: due, IntervalMs: time.Hour.Milliseconds(), Repeats: repeats,
		}
		if !w.submit(w.entries[n%3], host, prefix, jobID(n), j) {
			w.record("not accepted", "job", jobID(n))
		}
		time.Sleep(165 * time.Millisecond) // About six a second.
	}
	accepted := []string{}
	for n := range small {
		id := jobID(smallFrom + n)
		for _, e := range w.entries { // Another attempt goes to another entry.
			if w.submit(e, host, prefix, id, &jobBody{Spec: "ms=500", Steps: []stepBody{{Count: 2, CPU: 1000, Mem: 64, EstimateMs: 500}}}) {
				accepted = append(accepted, id)
				break
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	w.record("the traffic ends")
	time.Sleep(finish)
	for _, id := range accepted {
		var r response
		for try := range 6 {
			if r = w.call(w.entries[try%3], http.MethodGet, host, prefix+id, nil); r.status == http.StatusOK {
				break
			}
		}
		if r.body["state"] != "completed" {
			w.unfinished(id, r)
		}
	}
	close(stop)
	watchers.Wait()
	often := 0
	for i := range kills {
		if kills[i].Load() >= maxEnds {
			often++
		}
	}
	if often >= 2 {
		w.breach("FAULT", fmt.Sprintf("processes ended over their memory %d times or more on %d of %d machines", maxEnds, often, len(kills)))
	}
	return true
}
