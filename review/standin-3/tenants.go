package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// tenantsBefore and tenantsAfter are how many tenants the configuration has. Each has a limit of what it may have running.
	tenantsBefore, tenantsAfter = 100, 200
	// tenantRate is how many jobs are handed in each second.
	tenantRate = 100
)

func tenantName(n int) string { return fmt.Sprintf("regional-office-of-education-%03d-scheduling", n) }

func tenantKey(n int) string { return fmt.Sprintf("k%015d", n) }

// configureTenants writes a configuration with a queue and a service of each name and so many tenants.
func (c *cluster) configureTenants(version, count int, services []string) {
	var routes, pools, list []map[string]any
	for _, s := range services {
		routes = append(routes, map[string]any{"name": "r-" + s, "host": s + ".example", word("prefix"): "/" + s + "/", "kind": "unsafe", "timeout_ms": 3000, word("latency"): 600, "service": s, "max_attempts": 4, "stretch": 1.6, "public": false})
		pools = append(pools, map[string]any{"name": s, word("enforces"): true, "spare": false})
	}
	for n := range count {
		list = append(list, map[string]any{"name": tenantName(n), word("keys"): []string{tenantKey(n)}, "weight": 10, "max_count": map[string]any{"cpu": 64000, word("memory"): 131072}})
	}
	value, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": pools, "limits": map[string]any{"max_body_bytes": 262144}, "tenants": list})
	c.record.log("configured", "version", version, "services", len(services), "tenants", count, "bytes", len(value))
	c.store.put(row{Table: "op", Key: "config", Value: encode(value)})
}

// tenantsCase adds tenants to the configuration.
func tenantsCase(c *cluster, trouble bool) bool {
	c.tenants = true
	for i := range 4 {
		c.addEntries(&entry{Name: fmt.Sprintf("edge-%d", i+1), Zone: fmt.Sprintf("z%d", i%2+1), MemoryMB: 284, Share: 0.4})
	}
	services := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	c.configureTenants(1, tenantsBefore, services)
	for i, s := range services {
		for k := range 4 {
			c.addRunner(&runner{
				ID: fmt.Sprintf("i-%s%d", s, k), Service: s, Zone: "z1", Rack: fmt.Sprintf("r%d", i), CPU: 64000, Memory: 131072, Work: 3 * time.Second,
				Demand: func(string) (int64, int64, bool) { return 1000, 1000, false },
			})
		}
	}
	go c.guardMemory()
	c.boot()
	c.record.setBrief(true)
	jobs := c.submitAsTenants(services, tenantsBefore, 10*time.Second)
	count := tenantsBefore
	if trouble {
		count = tenantsAfter
		c.configureTenants(2, count, services)
	}
	time.Sleep(3 * time.Second)
	c.record.setBrief(true)
	jobs = append(jobs, c.submitAsTenants(services, count, 15*time.Second)...)
	c.record.setBrief(true)
	time.Sleep(finishTime)
	c.record.setBrief(true)
	before, idle := c.begun(jobs), true
	for began := time.Now(); time.Since(began) < 3500*time.Millisecond; time.Sleep(100 * time.Millisecond) {
		idle = idle && c.atWork() < 32*64/2
	}
	c.record.setBrief(false)
	lost := 0
	for id, n := range c.begun(jobs) {
		if n == 0 && before[id] == 0 {
			lost++
		}
	}
	c.store.mu.Lock()
	if first := c.store.firstTooLong; !first.IsZero() {
		c.record.log("rows-refused-as-too-long", "longest", c.store.tooLong, "first-at", fmt.Sprintf("%.3f", first.Sub(c.record.began).Seconds()))
	}
	c.store.mu.Unlock()
	c.record.log("LOST", "jobs", len(jobs), "without-a-start", lost, "runners-less-than-half-used", idle, "tasks-at-work", c.atWork())
	return lost == 0 || !idle
}

// submitAsTenants hands in jobs of random tenants at random queues and returns those that were accepted.
func (c *cluster) submitAsTenants(services []string, count int, load time.Duration) []string {
	var mu sync.Mutex
	var accepted []string
	statuses := map[int]int{}
	var group sync.WaitGroup
	stop := time.After(load)
	tick := time.NewTicker(time.Second / tenantRate)
	defer tick.Stop()
	for going := true; going; {
		select {
		case <-stop:
			going = false
		case <-tick.C:
			group.Add(1)
			go func() {
				defer group.Done()
				id, s, n := fmt.Sprintf("%016x", rand.Uint64()), services[rand.IntN(len(services))], rand.IntN(count)
				step := oneTask(1000, 1000, 3000)
				status, _ := c.callAs(c.entries[rand.IntN(len(c.entries))], tenantKey(n), "POST", s+".example", "/"+s+"/"+id, map[string]any{"spec": "x", "steps": []any{step}})
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
				if status == 200 {
					accepted = append(accepted, id)
				}
			}()
		}
	}
	group.Wait()
	c.record.log("submitted", "answers", statuses)
	return accepted
}
