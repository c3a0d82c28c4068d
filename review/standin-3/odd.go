package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

// oddCase hands in jobs with unusual fields and kills entries meanwhile. It looks for processes that end by themselves.
func oddCase(c *cluster, trouble bool) bool {
	for i := range 4 {
		c.addEntries(&entry{Name: fmt.Sprintf("edge-%d", i+1), Zone: fmt.Sprintf("z%d", i%2+1), MemoryMB: 284, Share: 0.4})
	}
	services := []string{"a", "b"}
	c.configure(1, services...)
	for i, s := range services {
		for k := range 4 {
			c.addRunner(&runner{
				ID: fmt.Sprintf("i-%s%d", s, k), Service: s, Zone: "z1", Rack: fmt.Sprintf("r%d", i), CPU: 64000, Memory: 131072, Work: 20 * time.Millisecond,
				Demand: func(string) (int64, int64, bool) { return 1, 1, false },
			})
		}
	}
	go c.guardMemory()
	c.boot()
	c.record.setBrief(true)
	statuses := map[int]int{}
	ints := []any{0, 1, 2, 3, 7, 100, 999, 1000, 1001, -1, 1 << 31, 1 << 40, int64(1) << 62, -(1 << 40), 1.5}
	texts := []any{"", "a", "r0", "r1", strings.Repeat("é", 2000), "\x00", "a\nb", 5}
	pick := func(list []any) any { return list[rand.IntN(len(list))] }
	began := time.Now()
	for n := 0; time.Since(began) < 60*time.Second; n++ {
		var steps []any
		for i := range 1 + rand.IntN(4) {
			step := map[string]any{"count": 1 + rand.IntN(4), "cpu": 100, "mem_mb": 100, "estimate_ms": 20}
			for range rand.IntN(5) {
				switch rand.IntN(16) {
				case 0:
					step["count"] = pick(ints)
				case 1:
					step[[]string{"cpu", "mem_mb", "gpu", "estimate_ms"}[rand.IntN(4)]] = pick(ints)
				case 2:
					step["after"] = []any{rand.IntN(i + 2)}
				case 3:
					step["after"] = []any{pick(ints), pick(ints)}
				case 4:
					step["gang"] = true
				case 5:
					step["same_rack"] = true
				case 6:
					step["constraints"] = pick(texts)
				case 7:
					step["affinity"] = pick(texts)
				case 8:
					step["anti_affinity"] = pick(ints)
				case 9:
					step["speculative"] = true
				case 10:
					step["long_running"] = true
				case 11:
					step["image"] = pick(texts)
				case 12:
					step["target_ms"] = pick(ints)
				case 13:
					step["fill_ratio"] = pick([]any{0, 0.5, 1, true, -1, 1e300, 100})
				case 14:
					step["may_miss"] = pick(ints)
				case 15:
					step["checkpointing"] = true
				}
			}
			steps = append(steps, step)
		}
		job := map[string]any{"spec": pick(texts), "steps": steps}
		if rand.IntN(3) == 0 {
			job["repeats"], job["interval_ms"] = pick(ints), pick(ints)
			job["initial_delay_ms"] = pick(append([]any{time.Now().UnixMilli() + 500, time.Now().UnixMilli() - 5000}, ints...))
		}
		s := services[rand.IntN(2)]
		id := fmt.Sprintf("%016x", rand.Uint64())
		e := c.entries[rand.IntN(4)]
		status, _ := c.call(e, "POST", s+".example", "/"+s+"/"+id, job)
		statuses[status]++
		if rand.IntN(3) == 0 {
			if status, _ := c.call(e, "GET", s+".example", "/"+s+"/"+id, nil); status == 0 {
				statuses[-1]++
			}
		}
		if rand.IntN(10) == 0 {
			_, _ = c.call(e, "DELETE", s+".example", "/"+s+"/"+id, nil)
		}
		if trouble && n%2000 == 1999 {
			c.record.log("kill", "entry", c.holderOf(s))
			for _, e := range c.entries {
				if e.Name == c.holderOf(s) {
					e.signal(syscall.SIGKILL)
				}
			}
			time.Sleep(4 * time.Second)
		}
	}
	time.Sleep(8 * time.Second)
	c.record.setBrief(false)
	c.record.log("answers", "statuses", statuses)
	return true
}
