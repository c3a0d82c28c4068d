package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

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
	rate, _ := strconv.Atoi(os.Getenv("RATE"))
	rate = max(rate, 1)
	secs, _ := strconv.Atoi(os.Getenv("SECS"))
	var accepted, refused, unknown atomic.Int64
	var group sync.WaitGroup
	stop := time.After(time.Duration(secs) * time.Second)
	spec := strings.Repeat("x", 4000)
	for tick := time.Tick(time.Second / time.Duration(rate)); ; <-tick {
		select {
		case <-stop:
		default:
			group.Add(1)
			go func() {
				defer group.Done()
				e := c.entries[rand.IntN(4)]
				id := fmt.Sprintf("%016x", rand.Uint64())
				status, _ := c.call(e, "POST", "a.example", "/a/"+id, map[string]any{"spec": spec, "steps": []any{map[string]any{"count": 1, "cpu": 100, "mem_mb": 100, "estimate_ms": 20}}})
				switch status {
				case 200:
					accepted.Add(1)
				case 429, 503:
					refused.Add(1)
				default:
					unknown.Add(1)
				}
			}()
			continue
		}
		break
	}
	group.Wait()
	c.record.log("submitted", "accepted", accepted.Load(), "refused", refused.Load(), "unknown", unknown.Load())
	time.Sleep(3 * time.Second)
	if trouble {
		c.store.mu.Lock()
		name := ""
		for part, e := range c.store.conditional {
			if strings.HasSuffix(part, "jobs-a") || strings.HasSuffix(part, "-a") {
				name = e
			}
			c.record.log("part", "part", part, "entry", e)
		}
		c.store.mu.Unlock()
		for _, e := range c.entries {
			if e.Name == name {
				c.record.log("kill", "entry", name)
				e.signal(syscall.SIGKILL)
			}
		}
	}
	time.Sleep(25 * time.Second)
	held := true
	for _, e := range c.entries {
		c.record.log("peak", "entry", e.Name, "mb", e.peak, "of", e.MemoryMB, "over", e.overs)
		held = held && e.overs == 0
	}
	return held
}
