package main

import (
	"fmt"
	"syscall"
	"time"
)

// movedCase adds a service while the store refuses one part, sends its queue to another service, and kills all processes.
func movedCase(c *cluster, trouble bool) bool {
	for i := range 4 {
		c.addEntries(&entry{Name: fmt.Sprintf("edge-%d", i+1), Zone: fmt.Sprintf("z%d", i%2+1), MemoryMB: 284, Share: 0.4})
	}
	c.configure(1, "b")
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
	if trouble {
		c.record.log("part-out", "part", "duty-jobs-a")
		c.store.setOut("duty-jobs-a")
	}
	c.configureQueues(2, map[string]string{"a": "a", "b": "b"})
	time.Sleep(time.Second)
	jobs := c.submit(10, 2*time.Second, "x")
	c.configureQueues(3, map[string]string{"a": "b", "b": "b"})
	if trouble {
		for _, e := range c.entries {
			c.record.log("kill", "entry", e.Name)
			e.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(time.Second)
	if trouble {
		c.record.log("part-back", "part", "duty-jobs-a")
		c.store.setOut("")
	}
	time.Sleep(5 * time.Second)
	// The last traffic goes to the same queue; its jobs run in the other service.
	last := c.submit(5, 2*time.Second, "x")
	time.Sleep(finishTime)
	c.ask("first", jobs)
	c.ask("last", last)
	before := c.begun(jobs)
	time.Sleep(3500 * time.Millisecond)
	c.ask("first", jobs)
	lost := 0
	for id, count := range c.begun(jobs) {
		if count == 0 && before[id] == 0 {
			lost++
		}
	}
	c.record.log("LOST", "jobs", len(jobs), "without-a-start", lost, "tasks-at-work-on-all-runners", c.atWork())
	return lost == 0
}
