package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func memoryCase(c *cluster, trouble bool) bool {
	services := []string{"a", "b", "c", "d"}
	n, _ := strconv.Atoi(os.Getenv("N"))
	if n == 0 {
		n = 4
	}
	for i := range n {
		mem, share := 284, 0.4
		if os.Getenv("MIX") != "" {
			if mem, share = 184, 0.192; i < 2 {
				mem, share = 536, 0.8
			}
		}
		c.addEntries(&entry{Name: fmt.Sprintf("edge-%d", i+1), Zone: fmt.Sprintf("z%d", i%2+1), MemoryMB: mem, Share: share})
	}
	c.configure(1, services...)
	for i, s := range services {
		for k := range 2 {
			c.addRunner(&runner{
				ID: fmt.Sprintf("i-%s%d", s, k), Service: s, Zone: "z1", Rack: fmt.Sprintf("r%d", i), CPU: 64000, Memory: 131072, Work: 1100 * time.Millisecond,
				Demand: func(string) (int64, int64, bool) { return 7700, 11000, false },
			})
		}
	}
	go c.guardMemory()
	c.boot()
	var accepted [4]atomic.Int64
	var group sync.WaitGroup
	tasks, _ := strconv.Atoi(os.Getenv("TASKS"))
	if tasks == 0 {
		tasks = 1000
	}
	most, _ := strconv.Atoi(os.Getenv("MOST"))
	if most == 0 {
		most = 1000
	}
	for i, s := range services {
		for k := range 8 {
			group.Add(1)
			go func() {
				defer group.Done()
				for refused := 0; refused < 5 && accepted[i].Load() < int64(most); {
					e := c.entries[(i+k+rand.IntN(2))%len(c.entries)]
					id := fmt.Sprintf("%016x", rand.Uint64())
					status, _ := c.call(e, "POST", s+".example", "/"+s+"/"+id, map[string]any{"spec": strings.Repeat("x", specBytes()), "steps": []any{map[string]any{"count": tasks, "cpu": 7700, "mem_mb": 11000, "estimate_ms": 1100}}})
					if status == 200 {
						accepted[i].Add(1)
						refused = 0
					} else {
						refused++
						c.record.log("not-accepted", "service", s, "status", status)
						time.Sleep(300 * time.Millisecond)
					}
				}
			}()
		}
	}
	group.Wait()
	for i, s := range services {
		c.record.log("accepted", "service", s, "jobs", accepted[i].Load())
	}
	time.Sleep(5 * time.Second)
	survivors, _ := strconv.Atoi(os.Getenv("LEFT"))
	if survivors == 0 {
		survivors = 1
	}
	if trouble {
		for _, e := range c.entries[:len(c.entries)-survivors] {
			e.remove()
		}
	}
	time.Sleep(30 * time.Second)
	held := true
	for _, e := range c.entries {
		c.record.log("peak", "entry", e.Name, "mb", e.peak, "of", e.MemoryMB, "over", e.overs)
		held = held && e.overs == 0
	}
	return held
}

func specBytes() int {
	n, _ := strconv.Atoi(os.Getenv("SPEC"))
	return max(1, n)
}
