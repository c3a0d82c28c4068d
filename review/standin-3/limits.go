package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// limitsCase hands in three jobs of one tenant, each in a service of its own and with one task that takes over half of the
// tenant's limit: two of them while the first one runs, at once with the disruption, and one after the other without it.
func limitsCase(c *cluster, trouble bool) bool {
	c.tenants = true
	for i := range 4 {
		c.addEntries(&entry{Name: fmt.Sprintf("edge-%d", i+1), Zone: fmt.Sprintf("z%d", i%2+1), MemoryMB: 284, Share: 0.4})
	}
	services := []string{"a", "b", "c"}
	c.configureTenants(1, 2, services)
	for i, s := range services {
		for k := range 4 {
			c.addRunner(&runner{
				ID: fmt.Sprintf("i-%s%d", s, k), Service: s, Zone: "z1", Rack: fmt.Sprintf("r%d", i), CPU: 64000, Memory: 131072, Work: 3 * time.Second,
				Demand: func(string) (int64, int64, bool) { return 40000, 40000, false },
			})
		}
	}
	c.boot()
	var jobs []string
	send := func(s string) {
		id := fmt.Sprintf("%016x", rand.Uint64())
		step := oneTask(40000, 40000, 3000)
		status, _ := c.callAs(c.entries[0], tenantKey(0), "POST", s+".example", "/"+s+"/"+id, map[string]any{"spec": "x", "steps": []any{step}})
		c.record.log("sent", "job", id, "service", s, "status", status)
		if status == 200 {
			jobs = append(jobs, id)
		}
	}
	ask := func() {
		for i, id := range jobs {
			status, body := c.callAs(c.entries[1], tenantKey(0), "GET", services[(i+2)%3]+".example", "/"+services[(i+2)%3]+"/"+id, nil)
			c.record.log("asked", "job", id, "status", status, "body", strings.TrimSpace(string(body)))
		}
	}
	send("c")
	time.Sleep(time.Second)
	send("a")
	if !trouble {
		time.Sleep(10 * time.Second)
	}
	send("b")
	time.Sleep(finishTime)
	ask()
	before, idle := c.begun(jobs), true
	for began := time.Now(); time.Since(began) < 3500*time.Millisecond; time.Sleep(100 * time.Millisecond) {
		idle = idle && c.atWork() == 0
	}
	ask()
	lost := 0
	for id, n := range c.begun(jobs) {
		if n == 0 && before[id] == 0 {
			lost++
		}
	}
	c.record.log("LOST", "jobs", len(jobs), "without-a-start", lost, "runners-idle", idle)
	return lost == 0 || !idle
}
