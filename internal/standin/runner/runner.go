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
	// DurationOf, if set, returns how long a task runs instead of Duration.
	DurationOf func(fleet.TaskID) time.Duration
	// CheckpointOf, if set, returns the checkpoint that the runs of a task save.
	CheckpointOf func(fleet.TaskID) fleet.Checkpoint
	Started      time.Time
	// ClockStart is what the endpoint's monotonic clock shows at Started.
	ClockStart time.Duration
	// MaxLease is the longest lease that the endpoint grants.
	MaxLease time.Duration
	// StopTime is how long a stop takes.
	StopTime time.Duration
	// Slow is the percentage by which the endpoint's monotonic clock is slow.
	Slow int
	// Observer is notified of events of runs, in the order in which the endpoint notices them; it may be nil.
	Observer Observer

	// lock is a mutex of the state: it holds one token while nothing uses the state.
	lock     *ring.Ring[struct{}]
	token    fleet.FencingToken
	deadline time.Duration
	// lapsedAt is when a lease last expired.
	lapsedAt time.Duration
	running  map[fleet.TaskID]run
	highest  map[fleet.TaskID]fleet.RunNumber
	ends     []end
	lastEnd  fleet.EndCursor
	starts   map[fleet.TaskID]int
}

type run struct {
	number          fleet.RunNumber
	beganAt, endsAt time.Duration
	isStopping      bool
}

type end struct {
	shard.ListedEnd
	at time.Duration
}

// Observer is notified of events of runs. Its methods are called one at a time for each endpoint.
type Observer interface {
	Started(p fleet.EndpointProcess, id fleet.TaskID, run fleet.RunNumber, at time.Time)
	Ended(p fleet.EndpointProcess, id fleet.TaskID, run fleet.RunNumber, how fleet.RunEnd, at time.Time)
	// Acknowledged reports that a holder has acknowledged the end of a run, and that no lease expired in between.
	Acknowledged(p fleet.EndpointProcess, id fleet.TaskID, run fleet.RunNumber, at time.Time)
}

// holdPollInterval is how often a hold order that waits checks for ends of runs.
const holdPollInterval = 5 * time.Millisecond

// defaultMaxLease is the longest lease that an endpoint grants unless its field is set.
const defaultMaxLease = 10 * time.Second

// New returns an endpoint that runs nothing.
func New(p fleet.EndpointProcess, c clock.Clock, duration time.Duration) *Endpoint {
	return &Endpoint{
		Process: p, Clock: c, Duration: duration, Started: c.Now(), ClockStart: time.Millisecond, MaxLease: defaultMaxLease,
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

// now returns the time on the endpoint's own clock.
func (e *Endpoint) now() time.Duration {
	return e.Clock.Now().Sub(e.Started)*time.Duration(100-e.Slow)/100 + e.ClockStart
}

// timeOf converts a time on the endpoint's own clock, as now returns it.
func (e *Endpoint) timeOf(d time.Duration) time.Time {
	return e.Started.Add((d - e.ClockStart) * 100 / time.Duration(100-e.Slow))
}

// Execute executes one order.
func (e *Endpoint) Execute(ctx context.Context, o shard.Order) shard.Result {
	r := shard.Result{Order: o, SentAt: e.Clock.Now()}
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
	r.StartMillis = e.Process.StartMillis // Only lists show which process answers.
	for id, current := range e.running {
		progress := 100 * (r.Clock - current.beganAt) / max(1, e.duration(id))
		r.Running = append(r.Running, shard.ListedRun{Task: id, Run: current.number, Progress: int(min(99, progress)), Checkpoint: e.checkpoint(id)})
	}
	for _, ended := range e.ends {
		r.Ends = append(r.Ends, ended.ListedEnd)
	}
}

func (e *Endpoint) checkpoint(id fleet.TaskID) fleet.Checkpoint {
	if e.CheckpointOf == nil {
		return ""
	}
	return e.CheckpointOf(id)
}

func (e *Endpoint) duration(id fleet.TaskID) time.Duration {
	if e.DurationOf != nil {
		return e.DurationOf(id)
	}
	return e.Duration
}

// advance ends the runs whose time has passed or whose lease has expired.
func (e *Endpoint) advance() {
	now := e.now()
	if now > e.deadline {
		e.lapsedAt = max(e.lapsedAt, e.deadline)
	}
	for id, current := range e.running {
		switch {
		case current.endsAt <= min(now, e.deadline) && current.isStopping:
			e.end(id, fleet.RunEndStopped, current.endsAt)
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
	e.ends = append(e.ends, end{shard.ListedEnd{Number: e.lastEnd, Task: id, Run: e.running[id].number, How: how, Checkpoint: e.checkpoint(id)}, at})
	delete(e.running, id)
}

func (e *Endpoint) apply(o shard.Order) shard.Answer {
	defer e.acquire()()
	if o.Token < e.token {
		return shard.AnswerFenced
	}
	e.token = o.Token
	e.advance()
	e.deadline = max(e.deadline, min(o.Deadline, e.now()+e.MaxLease))
	switch o.Kind {
	case shard.OrderHold:
		for len(e.ends) > 0 && e.ends[0].Number <= o.Acknowledged {
			if e.Observer != nil && e.lapsedAt < e.ends[0].at {
				e.Observer.Acknowledged(e.Process, e.ends[0].Task, e.ends[0].Run, e.Clock.Now())
			}
			e.ends = e.ends[1:]
		}
	case shard.OrderStart:
		return e.start(o)
	case shard.OrderStop:
		if current, ok := e.running[o.Task]; ok && current.number <= o.Run && !current.isStopping {
			current.isStopping, current.endsAt = true, min(current.endsAt, e.now()+e.StopTime)
			e.running[o.Task] = current
			e.advance()
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
	case o.Run <= e.highest[o.Task], e.running[o.Task].number > 0:
		return shard.AnswerOld
	}
	e.starts[o.Task]++
	e.highest[o.Task] = o.Run
	e.running[o.Task] = run{number: o.Run, beganAt: e.now(), endsAt: e.now() + e.duration(o.Task)}
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
