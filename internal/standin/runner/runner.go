// Package runner is a stand-in for endpoints that run tasks under leases, in memory.
package runner

import (
	"context"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Endpoint runs tasks for a fixed time each. It is safe for concurrent use.
type Endpoint struct {
	// The fields are set before the first order.
	Process  fleet.EndpointProcess
	Clock    clock.Clock
	Duration time.Duration
	Started  time.Time
	// Slow is the percentage by which the endpoint's monotonic clock is slow.
	Slow int
	// Observer is notified of events of runs, in the order in which the endpoint notices them; it may be nil.
	Observer Observer

	// lock is a mutex of the state: it holds one token while nothing uses the state.
	lock     *ring.Ring[struct{}]
	token    fleet.FencingToken
	deadline time.Duration
	running  map[fleet.TaskID]run
	highest  map[fleet.TaskID]fleet.RunNumber
	ends     []shard.ListedEnd
	lastEnd  fleet.EndCursor
	starts   map[fleet.TaskID]int
}

type run struct {
	number fleet.RunNumber
	endsAt time.Duration
}

// Observer is notified of events of runs. Its methods are called one at a time for each endpoint.
type Observer interface {
	Started(p fleet.EndpointProcess, id fleet.TaskID, run fleet.RunNumber, at time.Time)
	Ended(p fleet.EndpointProcess, id fleet.TaskID, run fleet.RunNumber, how fleet.RunEnd, at time.Time)
	// Acknowledged reports that a holder has acknowledged the end of a run.
	Acknowledged(p fleet.EndpointProcess, id fleet.TaskID, run fleet.RunNumber, at time.Time)
}

// holdPollInterval is how often a hold order that waits checks for ends of runs.
const holdPollInterval = 5 * time.Millisecond

// New returns an endpoint that runs nothing.
func New(p fleet.EndpointProcess, c clock.Clock, duration time.Duration) *Endpoint {
	return &Endpoint{
		Process: p, Clock: c, Duration: duration, Started: c.Now(),
		lock: newLock(), running: map[fleet.TaskID]run{}, highest: map[fleet.TaskID]fleet.RunNumber{}, starts: map[fleet.TaskID]int{},
	}
}

// Starts returns how often each task was started.
func (e *Endpoint) Starts() map[fleet.TaskID]int {
	defer e.acquire()()
	copied := make(map[fleet.TaskID]int, len(e.starts))
	for id, n := range e.starts {
		copied[id] = n
	}
	return copied
}

// Advance ends the runs whose time has passed or whose lease has expired, as each order does.
func (e *Endpoint) Advance() {
	defer e.acquire()()
	e.advance()
}

// now returns the time on the endpoint's own clock, which starts at 1 ms.
func (e *Endpoint) now() time.Duration {
	return e.Clock.Now().Sub(e.Started)*time.Duration(100-e.Slow)/100 + time.Millisecond
}

// timeOf converts a time on the endpoint's own clock, as now returns it.
func (e *Endpoint) timeOf(d time.Duration) time.Time {
	return e.Started.Add((d - time.Millisecond) * 100 / time.Duration(100-e.Slow))
}

// Execute executes one order.
func (e *Endpoint) Execute(ctx context.Context, o shard.Order) shard.Result {
	r := shard.Result{Order: o, SentAt: e.Clock.Now(), StartMillis: e.Process.StartMillis}
	if o.Process.Endpoint != e.Process.Endpoint {
		r.Answer = shard.AnswerGone
		return r
	}
	r.Answer = e.apply(o)
	end := e.Clock.Now().Add(o.Wait)
	for o.Kind == shard.OrderHold && r.Answer == shard.AnswerDone && !e.hasEnds() && e.Clock.Now().Before(end) {
		if clock.Wait(ctx, e.Clock, holdPollInterval) != nil {
			break
		}
	}
	e.report(&r)
	return r
}

func (e *Endpoint) hasEnds() bool {
	defer e.acquire()()
	e.advance()
	return len(e.ends) > 0
}

func (e *Endpoint) report(r *shard.Result) {
	defer e.acquire()()
	e.advance()
	r.Clock = e.now()
	if r.Order.Kind != shard.OrderHold || r.Answer != shard.AnswerDone {
		return
	}
	for id, current := range e.running {
		r.Running = append(r.Running, shard.ListedRun{Task: id, Run: current.number, Progress: 50})
	}
	r.Ends = append(r.Ends, e.ends...)
}

// advance ends the runs whose time has passed or whose lease has expired.
func (e *Endpoint) advance() {
	now := e.now()
	for id, current := range e.running {
		switch {
		case current.endsAt <= min(now, e.deadline):
			e.end(id, fleet.RunEndDone, current.endsAt)
		case now > e.deadline:
			e.end(id, fleet.RunEndLapsed, e.deadline)
		}
	}
}

func (e *Endpoint) end(id fleet.TaskID, how fleet.RunEnd, at time.Duration) {
	e.lastEnd++
	if e.Observer != nil {
		e.Observer.Ended(e.Process, id, e.running[id].number, how, e.timeOf(at))
	}
	e.ends = append(e.ends, shard.ListedEnd{Number: e.lastEnd, Task: id, Run: e.running[id].number, How: how})
	delete(e.running, id)
}

func (e *Endpoint) apply(o shard.Order) shard.Answer {
	defer e.acquire()()
	if o.Token < e.token {
		return shard.AnswerFenced
	}
	e.token = o.Token
	e.deadline = max(e.deadline, o.Deadline)
	e.advance()
	switch o.Kind {
	case shard.OrderHold:
		for len(e.ends) > 0 && e.ends[0].Number <= o.Acknowledged {
			if e.Observer != nil {
				e.Observer.Acknowledged(e.Process, e.ends[0].Task, e.ends[0].Run, e.Clock.Now())
			}
			e.ends = e.ends[1:]
		}
	case shard.OrderStart:
		return e.start(o)
	case shard.OrderStop:
		if current, ok := e.running[o.Task]; ok && current.number <= o.Run {
			e.end(o.Task, fleet.RunEndStopped, e.now())
		}
		e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	}
	return shard.AnswerDone
}

func (e *Endpoint) start(o shard.Order) shard.Answer {
	switch {
	case e.now() > o.Deadline:
		return shard.AnswerLate
	case e.running[o.Task].number == o.Run:
		return shard.AnswerDone
	case o.Run <= e.highest[o.Task]:
		return shard.AnswerOld
	}
	e.starts[o.Task]++
	e.highest[o.Task] = o.Run
	e.running[o.Task] = run{number: o.Run, endsAt: e.now() + e.Duration}
	if e.Observer != nil {
		e.Observer.Started(e.Process, o.Task, o.Run, e.Clock.Now())
	}
	return shard.AnswerDone
}

// Close implements holder.EndpointCaller.
func (*Endpoint) Close() {}

// acquire locks the state and returns the function that unlocks it.
func (e *Endpoint) acquire() func() {
	_, _ = e.lock.Pop(context.Background())       // Never fails without a deadline.
	return func() { _ = e.lock.Push(struct{}{}) } // The ring has room for the only token.
}

func newLock() *ring.Ring[struct{}] {
	lock := ring.New[struct{}]("turn", 1)
	_ = lock.Push(struct{}{}) // The ring is empty.
	return lock
}
