package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// memoryCase hands in jobs until the entries take no more, and then takes the larger zone away for good.
func memoryCase(c *cluster, trouble bool) bool {
	const all, left = 6, 2
	for i := range all {
		zone := "z1"
		if i >= all-left {
			zone = "z2"
		}
		c.addEntries(&entry{Name: fmt.Sprintf("edge-%d", i+1), Zone: zone, MemoryMB: 284, Share: 0.4})
	}
	c.setRates(1200, 6000)
	services := []string{"a", "b", "c", "d", "e", "f"}
	c.configure(1, services...)
	for i, s := range services {
		for k := range 2 {
			c.addRunner(&runner{
				ID: fmt.Sprintf("i-%s%d", s, k), Service: s, Zone: "z2", Rack: fmt.Sprintf("r%d", i), CPU: 64000, Memory: 131072, Work: 1100 * time.Millisecond,
				Demand: func(string) (int64, int64, bool) { return 7700, 11000, false },
			})
		}
	}
	go c.guardMemory()
	c.boot()
	c.record.setBrief(true)
	accepted := c.fill(services)
	time.Sleep(5 * time.Second)
	c.record.setBrief(true)
	if trouble {
		for _, e := range c.entries {
			if e.Zone == "z1" {
				e.remove()
			}
		}
	}
	// finish_s after the end of the traffic, over three seconds are watched.
	time.Sleep(25 * time.Second)
	c.record.setBrief(true)
	began := time.Now()
	before := c.started()
	idle := true
	for time.Since(began) < 3500*time.Millisecond {
		idle = idle && c.atWork() == 0
		time.Sleep(100 * time.Millisecond)
	}
	starts := c.started()
	c.record.setBrief(true)
	c.record.log("LOST", "jobs", accepted, "begun-by-now", starts, "begun-while-watched", starts-before, "no-task-at-work-on-any-runner", idle)
	ends := 0
	for _, e := range c.entries {
		c.record.log("peak", "entry", e.Name, "mb", e.peak, "of", e.MemoryMB, "over", e.overs)
		if e.overs >= 3 {
			ends++
		}
	}
	c.record.log("Fault", "machines-without-disruption-whose-processes-ended-three-times", ends)
	return ends < 2 && (!idle || starts > before)
}

// fill hands in jobs of one task until they are refused for each service, and returns how many were accepted.
func (c *cluster) fill(services []string) int64 {
	accepted := make([]atomic.Int64, len(services))
	var group sync.WaitGroup
	for i, s := range services {
		for k := range 8 {
			group.Add(1)
			go func() {
				defer group.Done()
				for refused := 0; refused < 5 && accepted[i].Load() < 30000; {
					e := c.entries[(i+k+rand.IntN(2))%len(c.entries)]
					id := fmt.Sprintf("%016x", rand.Uint64())
					step := oneTask(7700, 11000, 1100)
					status, body := c.call(e, "POST", s+".example", "/"+s+"/"+id, map[string]any{"spec": strings.Repeat("x", specSize), "steps": []any{step}})
					c.record.run("sent", "job", id, "status", status)
					if status == 200 {
						accepted[i].Add(1)
						refused = 0
					} else {
						refused++
						c.record.log("not-accepted", "service", s, "status", status, "body", strings.TrimSpace(string(body)))
						time.Sleep(300 * time.Millisecond)
					}
				}
			}()
		}
	}
	group.Wait()
	sum := int64(0)
	for i, s := range services {
		c.record.log("accepted", "service", s, "jobs", accepted[i].Load())
		sum += accepted[i].Load()
	}
	return sum
}

// started returns how many runs the runners have begun.
func (c *cluster) started() int {
	sum := 0
	for _, e := range c.runners {
		e.mu.Lock()
		for _, n := range e.begun {
			sum += n
		}
		e.mu.Unlock()
	}
	return sum
}

// atWork returns how many tasks are at work on all runners.
func (c *cluster) atWork() int {
	sum := 0
	for _, e := range c.runners {
		e.mu.Lock()
		e.advance()
		sum += len(e.running)
		e.mu.Unlock()
	}
	return sum
}
