// Command standin-3 plays the cases of a review: the users' platform, runners and callers are stand-ins on loopback, the
// entries are the project's own processes.
package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// cases holds the cases by name. Each returns whether the rule held.
var cases = map[string]func(*cluster, bool) bool{"memory": memoryCase, "handover": handoverCase, "moved": movedCase, "kept": keptCase, "tenants": tenantsCase, "limits": limitsCase}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE ENTRY-PROGRAM RECORD")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fail("no such case", fmt.Errorf("%s", os.Args[1]))
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fail("record", err)
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fail("folder", err)
	}
	binary, _ := filepath.Abs(os.Args[2])
	if _, err := os.Stat(binary); err != nil {
		fail("entry program", err)
	}
	c := &cluster{statusS: 120, store: newStore(), dir: dir, binary: binary, record: &record{out: out, began: time.Now()}}
	cleanUp = c.end
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		c.end()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	c.record.log("case", "name", os.Args[1], "trouble", trouble)
	held := play(c, trouble)
	c.end()
	c.record.log("result", "held", held)
	_ = out.Close()
	if !held {
		os.Exit(1)
	}
}

// addEntries adds entries that have not been started.
func (c *cluster) addEntries(list ...*entry) {
	for _, e := range list {
		e.c = c
		e.store = listen("127.0.0.1", c.store.handler(e.Name))
		e.IP = fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%250, 1+len(c.entries))
		l, err := net.Listen("tcp4", e.front())
		if err != nil {
			fail("no free port", err)
		}
		_ = l.Close()
		c.entries = append(c.entries, e)
	}
}

// configure writes a configuration with a queue for each service.
func (c *cluster) configure(version int, services ...string) {
	queues := map[string]string{}
	for _, s := range services {
		queues[s] = s
	}
	c.configureQueues(version, queues)
}

// configureQueues writes a configuration with a service for each queue.
func (c *cluster) configureQueues(version int, queues map[string]string) {
	var routes, list []map[string]any
	for _, q := range slices.Sorted(maps.Keys(queues)) {
		routes = append(routes, map[string]any{
			"name": "r-" + q, "host": q + ".example", word("prefix"): "/" + q + "/", "kind": "unsafe", "timeout_ms": 3000, word("latency"): 600, "priority": 0,
			"service": queues[q], "max_attempts": 4, "stretch": 1.6,
		})
	}
	for _, s := range slices.Compact(slices.Sorted(maps.Values(queues))) {
		list = append(list, map[string]any{"name": s, word("enforces"): true, "spare": false})
	}
	value, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": list, "limits": map[string]any{"max_body_bytes": 262144}})
	c.store.put(row{Table: "op", Key: "config", Value: encode(value)})
	c.record.log("configured", "version", version, "queues", queues)
}

// addRunner starts a runner and registers it.
func (c *cluster) addRunner(e *runner) {
	e.Log = c.record.run
	e.start()
	address := listen("127.0.0.1", http.Handler(e))
	c.runners = append(c.runners, e)
	c.store.put(e.row(address))
	go func() {
		for range time.Tick(1500 * time.Millisecond) {
			c.store.put(e.row(address))
		}
	}()
}

// boot starts all entries and waits until each takes callers.
func (c *cluster) boot() {
	for _, e := range c.entries {
		go e.run()
	}
	for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range c.entries {
			if c.isReady(e) {
				ready++
			}
		}
		if ready == len(c.entries) {
			break
		}
		if time.Since(began) > 20*time.Second {
			fail("entries are not ready", fmt.Errorf("%d of %d", ready, len(c.entries)))
		}
	}
	time.Sleep(3 * time.Second) // Leases are taken.
}
