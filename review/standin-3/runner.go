package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in for a runner that guards its capacity.
type runner struct {
	ID, Service, Zone, Rack string
	CPU, Memory             int64
	// Work is how long a task takes; SpecOf tells what a task asks for.
	Work   time.Duration
	Demand func(task string) (cpu, memory int64, lasts bool)
	Log    func(event string, fields ...any)

	mu       sync.Mutex
	born     time.Time
	token    uint64
	deadline time.Duration
	running  map[string]*run
	ended    map[string]int
	// begun counts the runs of each task that have begun.
	begun  map[string]int
	ends   [][]any
	number int
	wake   chan struct{}
}

type run struct {
	number      int
	cpu, memory int64
	began, end  time.Duration
	stopping    bool
	lasts       bool
}

const (
	holdMax  = 10 * time.Second
	stopTime = 200 * time.Millisecond
)

func (e *runner) start() {
	e.born, e.running, e.ended, e.begun, e.wake = time.Now(), map[string]*run{}, map[string]int{}, map[string]int{}, make(chan struct{})
}

func (e *runner) clock() time.Duration { return time.Since(e.born) + time.Second }

func (e *runner) bornMs() int64 { return e.born.UnixMilli() }

func (e *runner) row(address string) row {
	value, _ := json.Marshal(map[string]any{
		"service": e.Service, "address": address, "zone": e.Zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu": e.CPU, word("memory"): e.Memory, "gpu": 0}, "labels": []string{"a", e.Rack}, "clock_ms": e.clock().Milliseconds(),
		"sequence": 1, "born": e.bornMs(),
	})
	return row{Table: "servers", Key: e.ID, Value: encode(value)}
}

// advance ends what has run its time or whose lease has lapsed.
func (e *runner) advance() {
	now := e.clock()
	for task, r := range e.running {
		switch {
		case now > e.deadline:
			e.finish(task, r, "lapsed")
		case r.stopping && now >= r.end:
			e.finish(task, r, "stopped")
		case !r.lasts && now >= r.end:
			e.finish(task, r, "done")
		}
	}
}

func (e *runner) finish(task string, r *run, how string) {
	delete(e.running, task)
	e.ended[task] = max(e.ended[task], r.number)
	e.number++
	e.ends = append(e.ends, []any{e.number, task, r.number, how, ""})
	e.Log("end", "runner", e.ID, "task", task, "run", r.number, "how", how)
	close(e.wake)
	e.wake = make(chan struct{})
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline"`
	Token    uint64 `json:"token"`
	Ack      *int   `json:"ack"`
	Wait     int    `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (e *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if decode(r.Body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get(word("instance")) != e.ID {
		answer(w, 421, map[string]any{})
		return
	}
	e.mu.Lock()
	e.advance()
	if o.Token < e.token {
		e.refuse(w, "fence")
		return
	}
	e.token = o.Token
	if o.Deadline > 0 {
		e.deadline = max(e.deadline, min(time.Duration(o.Deadline)*time.Millisecond, e.clock()+holdMax))
	}
	switch strings.TrimPrefix(r.URL.Path, "/mimosawharf/") {
	case word("start"):
		if reason := e.begin(o); reason != "" {
			e.refuse(w, reason)
			return
		}
	case word("stop"):
		if have := e.running[o.Task]; have != nil && have.number <= o.Run {
			have.stopping, have.end = true, e.clock()+stopTime
			time.AfterFunc(stopTime, e.poll)
		}
		e.ended[o.Task] = max(e.ended[o.Task], o.Run)
	case "hold":
		e.hold(w, r, o)
		return
	}
	body := map[string]any{"clock_ms": e.clock().Milliseconds()}
	e.mu.Unlock()
	answer(w, http.StatusOK, body)
}

func (e *runner) refuse(w http.ResponseWriter, reason string) {
	body := map[string]any{"clock_ms": e.clock().Milliseconds(), "reason": reason}
	e.mu.Unlock()
	answer(w, http.StatusConflict, body)
}

func (e *runner) poll() {
	e.mu.Lock()
	e.advance()
	e.mu.Unlock()
}

// begin starts a run, or returns why not.
func (e *runner) begin(o order) string {
	have := e.running[o.Task]
	switch {
	case have != nil && have.number == o.Run:
		return ""
	case time.Duration(o.Deadline)*time.Millisecond < e.clock():
		return "late"
	case have != nil || o.Run <= e.ended[o.Task]:
		return "old"
	}
	cpu, memory, _ := e.Demand(o.Task)
	for _, r := range e.running {
		cpu, memory = cpu+r.cpu, memory+r.memory
	}
	if cpu > e.CPU || memory > e.Memory {
		return "room"
	}
	cpu, memory, lasts := e.Demand(o.Task)
	e.running[o.Task] = &run{number: o.Run, cpu: cpu, memory: memory, began: e.clock(), end: e.clock() + e.Work, lasts: lasts}
	e.begun[o.Task]++
	if !lasts {
		time.AfterFunc(e.Work+time.Millisecond, e.poll)
	}
	e.Log("start", "runner", e.ID, "task", o.Task, "run", o.Run, "token", o.Token, "spec-bytes", len(o.Spec))
	return ""
}

// hold renews the lease and answers with the lists. It is entered with the lock held.
func (e *runner) hold(w http.ResponseWriter, r *http.Request, o order) {
	if o.Ack != nil {
		for len(e.ends) > 0 && e.ends[0][0].(int) <= *o.Ack {
			e.ends = e.ends[1:]
		}
	}
	timer := time.NewTimer(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	defer timer.Stop()
	for waiting := o.Wait > 0; waiting && len(e.ends) == 0; {
		wake := e.wake
		e.mu.Unlock()
		select {
		case <-wake:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
		e.mu.Lock()
		e.advance()
	}
	running, finished := [][]any{}, e.ends[:min(len(e.ends), 500)]
	for task, r := range e.running {
		percent := 100
		if !r.lasts {
			percent = int(min(99, 100*(e.clock()-r.began)/max(1, e.Work)))
		}
		running = append(running, []any{task, r.number, "", percent, 0})
	}
	if finished == nil {
		finished = [][]any{}
	}
	body := map[string]any{"clock_ms": e.clock().Milliseconds(), "born": e.bornMs(), "running": running, "finished": finished}
	data, _ := json.Marshal(body)
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}
