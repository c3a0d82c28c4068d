package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// loadRate is how many jobs callers hand in each second, loadTime how long.
	loadRate = 600
	loadTime = 70 * time.Second
	// specSize is the largest that a job's spec may be.
	specSize = 4000
	// finishTime is finish_s: how long after the end of the traffic jobs are asked for.
	finishTime = 14 * time.Second
)

// handoverCase hands in many small jobs, which all complete, and kills the process that holds their service once.
func handoverCase(c *cluster, trouble bool) bool {
	for i := range 4 {
		c.addEntries(&entry{Name: fmt.Sprintf("edge-%d", i+1), Zone: fmt.Sprintf("z%d", i%2+1), MemoryMB: 284, Share: 0.4})
	}
	c.configure(1, "a", "b")
	for i, s := range []string{"a", "b"} {
		for k := range 4 {
			c.addRunner(&runner{
				ID: fmt.Sprintf("i-%s%d", s, k), Service: s, Zone: "z1", Rack: fmt.Sprintf("r%d", i), CPU: 64000, Memory: 131072, Work: 20 * time.Millisecond,
				Demand: func(string) (int64, int64, bool) { return 100, 100, false },
			})
		}
	}
	go c.guardMemory()
	c.boot()
	began := map[string]time.Duration{}
	for _, e := range c.entries {
		began[e.Name] = e.cpu()
	}
	c.record.log("load", "jobs-per-second", loadRate, "seconds", loadTime.Seconds(), "spec-bytes", specSize)
	c.record.setBrief(true)
	jobs := c.submit(loadRate, loadTime, strings.Repeat("x", specSize))
	for _, e := range c.entries {
		c.record.log("load-ended", "entry", e.Name, "cores", fmt.Sprintf("%.3f", (e.cpu()-began[e.Name]).Seconds()/loadTime.Seconds()), "of", e.Share, "mb", e.memory())
	}
	time.Sleep(3 * time.Second)
	c.record.setBrief(false)
	c.ask("before", jobs[:min(50, len(jobs))])
	holder := c.holderOf("a")
	if trouble {
		c.record.log("kill", "entry", holder)
		for _, e := range c.entries {
			if e.Name == holder {
				e.signal(syscall.SIGKILL)
			}
		}
	} else {
		c.record.log("no-kill", "entry", holder)
	}
	// The last traffic: ten jobs in five seconds, well after the kill.
	time.Sleep(5 * time.Second)
	last := c.submit(2, 5*time.Second, "last")
	time.Sleep(finishTime)
	c.ask("after", last)
	before := c.begun(last)
	time.Sleep(3500 * time.Millisecond)
	c.ask("after", last)
	lost := 0
	for id, count := range c.begun(last) {
		if count == 0 && before[id] == 0 {
			lost++
		}
	}
	c.record.log("LOST", "jobs", len(last), "without-a-start", lost, "tasks-at-work-on-all-runners", c.atWork())
	ends := 0
	for _, e := range c.entries {
		c.record.log("peak", "entry", e.Name, "mb", e.peak, "of", e.MemoryMB, "over", e.overs)
		if e.overs >= 3 && (e.Name != holder || !trouble) {
			ends++
		}
	}
	c.record.log("Fault", "machines-without-disruption-whose-processes-ended-three-times", ends)
	return ends < 2 && lost == 0
}

// submit hands in jobs for service a at a rate and returns those that were accepted.
func (c *cluster) submit(rate int, load time.Duration, spec string) []string {
	var mu sync.Mutex
	var accepted []string
	var refused, unknown atomic.Int64
	var group sync.WaitGroup
	stop := time.After(load)
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for going := true; going; {
		select {
		case <-stop:
			going = false
		case <-tick.C:
			group.Add(1)
			go func() {
				defer group.Done()
				id := fmt.Sprintf("%016x", rand.Uint64())
				step := oneTask(100, 100, 20)
				status, _ := c.call(c.entries[rand.IntN(len(c.entries))], "POST", "a.example", "/a/"+id, map[string]any{"spec": spec, "steps": []any{step}})
				c.record.run("sent", "job", id, "status", status)
				switch status {
				case 200:
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
				case 0:
					unknown.Add(1)
				default:
					refused.Add(1)
				}
			}()
		}
	}
	group.Wait()
	c.record.log("submitted", "accepted", len(accepted), "refused", refused.Load(), "not-answered", unknown.Load())
	return accepted
}

// ask asks each entry in turn for jobs, logs the answers and returns how many are not completed.
func (c *cluster) ask(when string, jobs []string) int {
	answers, open := map[string]int{}, 0
	for i, id := range jobs {
		answer := "none"
		for k := range c.entries {
			status, body := c.call(c.entries[(i+k)%len(c.entries)], "GET", "a.example", "/a/"+id, nil)
			if status == 0 {
				continue
			}
			var j struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal(body, &j)
			if answer = fmt.Sprintf("%d %s", status, j.State); status == 200 {
				break
			}
		}
		answers[answer]++
		if !strings.Contains(answer, "completed") {
			open++
		}
	}
	for _, a := range slices.Sorted(maps.Keys(answers)) {
		c.record.log("asked", "when", when, "answer", strconv.Quote(a), "jobs", answers[a])
	}
	return open
}

// begun returns how many runs of each of the jobs the runners have begun.
func (c *cluster) begun(jobs []string) map[string]int {
	begun, known := map[string]int{}, map[string]bool{}
	for _, id := range jobs {
		begun[id], known[id] = 0, true
	}
	for _, e := range c.runners {
		e.mu.Lock()
		for task := range e.begun {
			if id, _, _ := strings.Cut(task, "."); known[id] {
				begun[id]++
			}
		}
		e.mu.Unlock()
	}
	return begun
}

// holderOf returns the entry that last renewed the lease of a service.
func (c *cluster) holderOf(service string) string {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.store.conditional["duty-jobs-"+service]
}
