package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// advice is the service that knows which runners may run a step.
type advice struct {
	world               *world
	decide, each, valid time.Duration
	good                func(step, runner string) bool
	mu                  sync.Mutex
	tickets             map[string]time.Time
	turn                chan struct{}
}

func newAdvice(w *world, decide, each, valid time.Duration, good func(step, runner string) bool) *advice {
	return &advice{world: w, decide: decide, each: each, valid: valid, good: good, tickets: map[string]time.Time{}, turn: make(chan struct{}, 1)}
}

// ServeHTTP implements http.Handler.
func (a *advice) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	var m struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(q.Body).Decode(&m) != nil || len(m.Workers) > 100 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	a.turn <- struct{}{}
	time.Sleep(a.decide + time.Duration(len(m.Workers))*a.each)
	<-a.turn
	rows := [][]string{}
	a.mu.Lock()
	for _, id := range m.Workers {
		if a.good(m.Step, id) {
			ticket := fmt.Sprintf("t-%s-%s-%d", m.Step, id, time.Now().UnixNano())
			a.tickets[ticket] = time.Now().Add(a.valid)
			rows = append(rows, []string{id, ticket})
		}
	}
	a.mu.Unlock()
	a.world.record("advice", "step", m.Step, "asked", len(m.Workers), "good", len(rows))
	reply(w, http.StatusOK, map[string]any{"good": rows, "valid_ms": a.valid.Milliseconds()})
}

// allows reports whether a ticket is valid for a task on a runner.
func (a *advice) allows(task, runner, ticket string) bool {
	step := task[:strings.LastIndex(task, ".")]
	a.mu.Lock()
	defer a.mu.Unlock()
	return strings.HasPrefix(ticket, "t-"+step+"-"+runner+"-") && time.Now().Before(a.tickets[ticket])
}
