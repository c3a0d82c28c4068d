package main

import (
	"fmt"
	"strings"
	"time"
)

// keptCase shows how fast the rows of jobs that ended long ago are removed. It has no disruption.
func keptCase(c *cluster, _ bool) bool {
	c.statusS = 1
	for i := range 4 {
		c.addEntries(&entry{Name: fmt.Sprintf("edge-%d", i+1), Zone: fmt.Sprintf("z%d", i%2+1), MemoryMB: 284, Share: 0.4})
	}
	c.configure(1, "a", "b")
	for k := range 4 {
		c.addRunner(&runner{
			ID: fmt.Sprintf("i-a%d", k), Service: "a", Zone: "z1", Rack: "r0", CPU: 64000, Memory: 131072, Work: 20 * time.Millisecond,
			Demand: func(string) (int64, int64, bool) { return 100, 100, false },
		})
	}
	go c.guardMemory()
	c.boot()
	c.record.setBrief(true)
	c.submit(100, 20*time.Second, "x")
	c.record.setBrief(false)
	for range 18 {
		c.store.mu.Lock()
		jobs := map[string]int{}
		for k, rows := range c.store.rows {
			for key := range rows {
				if strings.HasPrefix(k.part, "intake-") {
					kind, _, _ := strings.Cut(key, "/")
					jobs[k.table+" "+kind[:min(4, len(kind))]]++
				}
			}
		}
		c.store.mu.Unlock()
		c.record.log("rows", "of-jobs", jobs)
		time.Sleep(5 * time.Second)
	}
	return true
}
