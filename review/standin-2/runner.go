package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a run that a runner executes.
type run struct {
	task     string
	number   uint32
	spec     string
	step     *stepBody
	began    time.Duration
	stopping time.Duration
	// ready is when the work began; for a member of a gang, when all were present.
	ready  time.Duration
	loaded string
	// fails is set for a run that the runner fails.
	fails bool
}

type ended struct {
	n          uint64
	task       string
	run        uint32
	how, saved string
}

// runner is one life of a worker.
type runner struct {
	world    *world
	id       string
	service  string
	rack     string
	capacity resources
	labels   []string
	address  string
	born     int64
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	began    time.Time
	fence    uint64
	deadline time.Duration
	running  map[string]*run
	highest  map[string]uint32
	ends     []ended
	lastEnd  uint64
	acked    uint64
	changed  chan struct{}
	// gone is set once the runner is lost for good.
	gone bool
	// grey is set while all that is started fails.
	grey     bool
	sequence int
	state    string
}

type resources struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"memory"`
	GPU int64 `json:"gpu"`
}

func (w *world) addRunner(id, service, rack string, capacity resources, labels ...string) *runner {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	r := &runner{
		world: w, id: id, service: service, rack: rack, capacity: capacity, labels: append(append([]string{"a"}, labels...), rack), address: l.Addr().String(),
		born: time.Now().UnixMilli(), listener: l, began: time.Now(), running: map[string]*run{}, highest: map[string]uint32{}, changed: make(chan struct{}), state: "ready",
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = r.server.Serve(l) }()
	w.mu.Lock()
	w.runners[id] = r
	w.mu.Unlock()
	r.beat()
	go r.live()
	return r
}

// clock returns the runner's steady clock.
func (r *runner) clock() time.Duration { return time.Since(r.began) + 1000*time.Millisecond }

func (r *runner) beat() {
	r.mu.Lock()
	r.sequence++
	row := map[string]any{
		"service": r.service, "address": r.address, "zone": "z1", "version": "v1", "slots": 8, "state": r.state, "cold_remaining_ms": 0,
		"capacity": r.capacity, "labels": r.labels, "clock_ms": r.clock().Milliseconds(), "sequence": r.sequence, "born": r.born,
	}
	r.mu.Unlock()
	r.world.store.operator("servers", r.id, row)
}

func (r *runner) live() {
	beat := time.NewTicker(1500 * time.Millisecond)
	step := time.NewTicker(4 * time.Millisecond)
	for {
		select {
		case <-beat.C:
			r.beat()
		case <-step.C:
			r.mu.Lock()
			r.advance()
			gone := r.gone
			r.mu.Unlock()
			if gone {
				return
			}
		}
	}
}

// failAfter is how long a run lasts that the runner fails.
const failAfter = 100 * time.Millisecond

func (r *runner) setGrey(grey bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grey = grey
}

// work returns how long a run works, and false if it lasts.
func (n *run) work() (time.Duration, bool) {
	if n.step.LongRunning {
		return 0, false
	}
	for _, word := range strings.Fields(n.spec) {
		if ms, ok := strings.CutPrefix(word, "ms="); ok {
			v, _ := strconv.Atoi(ms)
			return time.Duration(v) * time.Millisecond, true
		}
	}
	return 500 * time.Millisecond, true
}

// saved returns the checkpoint of a run.
func (n *run) saved(now time.Duration) string {
	if !n.step.Checkpointing || n.ready == 0 {
		return n.loaded
	}
	saves := int((now - n.ready) / time.Second)
	if saves == 0 {
		return n.loaded
	}
	return checkpoint(n.task, saves)
}

func (r *runner) end(n *run, how string, now time.Duration) {
	delete(r.running, n.task)
	r.lastEnd++
	r.ends = append(r.ends, ended{r.lastEnd, n.task, n.number, how, n.saved(now)})
	r.world.recordEnd(r, n.task, n.number, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// advance ends the runs that are over. The caller holds the lock.
func (r *runner) advance() {
	now := r.clock()
	for _, n := range r.running {
		work, ends := n.work()
		if n.fails && now-n.began >= failAfter {
			if n.step.Gang {
				r.world.breakGang(n)
			}
			r.end(n, "failed", now)
			continue
		}
		if n.step.Gang {
			switch state := r.world.gangState(n); {
			case state == "broken":
				r.end(n, "broken", now)
				continue
			case state == "present" && n.ready == 0:
				n.ready = now
			case state == "waiting" && now-n.began > r.world.gangWait:
				r.world.breakGang(n)
				r.end(n, "alone", now)
				continue
			case state == "done":
				r.end(n, "done", now)
				continue
			}
		}
		switch {
		case now > r.deadline:
			if n.step.Gang {
				r.world.breakGang(n)
			}
			r.end(n, "lapsed", now)
		case n.stopping > 0 && now >= n.stopping:
			if n.step.Gang {
				r.world.breakGang(n)
			}
			r.end(n, "stopped", now)
		case ends && n.ready > 0 && now-n.ready >= work:
			if n.step.Gang {
				r.world.gangDone(n)
			}
			r.end(n, "done", now)
		}
	}
}

func (r *runner) used() resources {
	var u resources
	for _, n := range r.running {
		if !n.step.Fill {
			u.CPU += n.step.CPU
		}
		u.Mem += n.step.Mem
		u.GPU += n.step.GPU
	}
	return u
}

type order struct {
	Task       string `json:"task"`
	Run        uint32 `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline"`
	Fence      uint64 `json:"token"`
	Checkpoint string `json:"checkpoint"`
	Ack        uint64 `json:"acknowledged"`
	Wait       int    `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/healthz" {
		w.WriteHeader(http.StatusOK)
		return
	}
	var o order
	if wireNames.decode(q.Body, &o) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if t := q.Header.Get(wireNames.TargetInstance); t != "" && t != r.id {
		reply(w, 421, map[string]any{})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	if o.Fence < r.fence {
		r.refuse(w, "fence")
		return
	}
	r.fence = o.Fence
	switch wireNames.path(q) {
	case "/start":
		r.start(w, o)
	case "/stop":
		r.stop(w, o)
	case "/mimosawharf/pace":
		r.answer(w, nil)
	case "/mimosawharf/hold":
		r.hold(w, o)
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func (r *runner) answer(w http.ResponseWriter, more map[string]any) {
	m := map[string]any{"clock_ms": r.clock().Milliseconds(), "born": r.born}
	for k, v := range more {
		m[k] = v
	}
	reply(w, http.StatusOK, m)
}

func (r *runner) refuse(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clock_ms": r.clock().Milliseconds(), "reason": reason, "born": r.born})
}

func (r *runner) extend(ms int64) {
	if ms > 0 {
		r.deadline = max(r.deadline, min(time.Duration(ms)*time.Millisecond, r.clock()+r.world.holdMax))
	}
}

func (r *runner) start(w http.ResponseWriter, o order) {
	now := r.clock()
	if n := r.running[o.Task]; n != nil && n.number == o.Run {
		r.extend(o.Deadline)
		r.answer(w, nil)
		return
	}
	if time.Duration(o.Deadline)*time.Millisecond <= now {
		r.refuse(w, "late")
		return
	}
	r.extend(o.Deadline)
	if o.Run <= r.highest[o.Task] || r.running[o.Task] != nil {
		r.refuse(w, "old")
		return
	}
	step, spec := r.world.stepOf(o.Task)
	if step == nil {
		r.world.breach("UNASKED", fmt.Sprintf("%s starts %s, which no client sent", r.id, o.Task))
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if spec != o.Spec {
		r.world.breach("UNASKED", fmt.Sprintf("%s starts %s with another spec", r.id, o.Task))
	}
	u := r.used()
	cpu := step.CPU
	if step.Fill {
		cpu = 0
	}
	if u.CPU+cpu > r.capacity.CPU || u.Mem+step.Mem > r.capacity.Mem || u.GPU+step.GPU > r.capacity.GPU {
		r.world.record("no room", "runner", r.id, "task", o.Task)
		r.refuse(w, "room")
		return
	}
	r.highest[o.Task] = o.Run
	n := &run{task: o.Task, number: o.Run, spec: o.Spec, step: step, began: now, loaded: o.Checkpoint, fails: r.grey}
	if step.Gang {
		r.world.joinGang(n)
	} else {
		n.ready = now
	}
	r.running[o.Task] = n
	r.world.recordStart(r, n, o)
	r.answer(w, nil)
}

func (r *runner) stop(w http.ResponseWriter, o order) {
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	if n := r.running[o.Task]; n != nil && n.number <= o.Run && n.stopping == 0 {
		n.stopping = r.clock() + r.world.stopTime
		r.world.record("stop ordered", "runner", r.id, "task", o.Task, "run", o.Run)
	}
	r.answer(w, nil)
}

func (r *runner) hold(w http.ResponseWriter, o order) {
	r.extend(o.Deadline)
	r.acked = max(r.acked, o.Ack)
	cut := 0
	for cut < len(r.ends) && r.ends[cut].n <= o.Ack {
		cut++
	}
	r.ends = r.ends[cut:]
	end := time.Now().Add(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for len(r.ends) == 0 && time.Now().Before(end) {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(end)):
		}
		r.mu.Lock()
	}
	now := r.clock()
	running, finished := []any{}, []any{}
	for _, n := range r.running {
		percent := 99
		if work, ends := n.work(); !ends {
			if n.ready > 0 && now-n.ready > 500*time.Millisecond {
				percent = 100
			}
		} else if n.ready > 0 {
			percent = int(min(99, 100*(now-n.ready)/max(work, 1)))
		} else {
			percent = 0
		}
		running = append(running, []any{n.task, n.number, n.saved(now), percent, n.step.CPU})
	}
	for i, e := range r.ends {
		if i == 500 {
			break
		}
		finished = append(finished, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	r.answer(w, map[string]any{"running": running, "finished": finished})
}
