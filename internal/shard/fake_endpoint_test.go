package shard_test

import (
	"sort"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// fakeRun is a run that a fake endpoint executes.
type fakeRun struct {
	run      fleet.RunNumber
	began    time.Time
	duration time.Duration
	lasting  bool
	stopAt   time.Time
	demand   fleet.Capacity
	stalled  bool
}

// fakeEnd is the end of a run that a fake endpoint lists.
type fakeEnd struct {
	shard.ListedEnd
	at time.Time
}

// fakeEndpoint is an endpoint process that follows the platform's rules for orders.
type fakeEndpoint struct {
	shard.EndpointInfo
	began time.Time
	// clockStart is what the process's clock showed at its start, slow the percentage by which the clock is slow.
	clockStart time.Duration
	slow       int
	token      fleet.FencingToken
	// deadline is the end of the lease on the process's clock. lapsedAt is when a lease last expired.
	deadline time.Duration
	lapsedAt time.Time
	running  map[fleet.TaskID]*fakeRun
	highest  map[fleet.TaskID]fleet.RunNumber
	ends     []fakeEnd
	ended    fleet.EndCursor
	// renewals counts the renewals that the process has received.
	renewals int
	held     []shard.Order
	heldAt   []time.Time

	// unreachable loses orders and answers, mute answers only.
	unreachable, mute bool
	dead              bool
	failAll           bool
	// failFrom, if set, spares the runs that began earlier from failAll.
	failFrom time.Time
	stall    bool
	// backAt is when a dead process is replaced under its id; zero is never.
	backAt time.Time
	// goneAt is when the registry no longer shows a dead process that is not replaced under its id.
	goneAt time.Time
	// registeredAt is when the registry shows the process. Until then it shows the one of listedAs, or none.
	registeredAt time.Time
	listedAs     shard.EndpointInfo
	// seenBy is the epoch of the last holder that has received a list of the process, toldBy that of the last one
	// whose order the process has executed after that.
	seenBy, toldBy fleet.FencingToken
}

// clock returns the time on the process's own clock.
func (e *fakeEndpoint) clock(now time.Time) time.Duration {
	return e.clockStart + now.Sub(e.began)*time.Duration(100-e.slow)/100
}

// restart replaces the process by another one, which knows nothing of the earlier one.
func (e *fakeEndpoint) restart(now time.Time, clock time.Duration, slow int) {
	e.StartMillis++
	e.began, e.clockStart, e.slow, e.deadline, e.token = now, clock, slow, 0, 0
	e.seenBy, e.toldBy = 0, 0
	e.lapsedAt, e.backAt, e.dead = time.Time{}, time.Time{}, false
	e.running, e.highest = map[fleet.TaskID]*fakeRun{}, map[fleet.TaskID]fleet.RunNumber{}
	e.ends, e.ended = nil, 0
}

// takeLease extends the lease to a deadline, by at most fakeMaxLease from now.
func (e *fakeEndpoint) takeLease(now time.Time, deadline time.Duration) {
	e.expire(now)
	if deadline > 0 {
		e.deadline = max(e.deadline, min(deadline, e.clock(now)+fakeMaxLease))
	}
}

// expire records that the lease has expired, and reports whether it has.
func (e *fakeEndpoint) expire(now time.Time) bool {
	if e.deadline == 0 || e.clock(now) <= e.deadline {
		return false
	}
	e.lapsedAt = now
	return true
}

// advance ends the runs of an endpoint that are due to end, and answers its renewals.
func (sim *simulation) advance(e *fakeEndpoint) {
	if e.dead {
		return
	}
	if e.expire(sim.now) && !sim.ignoreLeases {
		for _, id := range e.tasks() {
			sim.end(e, id, fleet.RunEndLapsed)
		}
	}
	for _, id := range e.tasks() {
		r := e.running[id]
		switch {
		case !r.stopAt.IsZero() && !sim.now.Before(r.stopAt):
			sim.end(e, id, fleet.RunEndStopped)
		case e.failAll && !r.began.Before(e.failFrom) && sim.now.Sub(r.began) >= 50*time.Millisecond && !r.lasting:
			sim.end(e, id, fleet.RunEndFailed)
		case !r.lasting && !r.stalled && sim.now.Sub(r.began) >= r.duration:
			sim.end(e, id, fleet.RunEndDone)
		}
	}
	sim.answerHolds(e)
}

func (e *fakeEndpoint) tasks() []fleet.TaskID {
	var list []fleet.TaskID
	for id := range e.running {
		list = append(list, id)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].String() < list[k].String() })
	return list
}

func (sim *simulation) end(e *fakeEndpoint, id fleet.TaskID, how fleet.RunEnd) {
	r := e.running[id]
	delete(e.running, id)
	if how == fleet.RunEndFailed {
		sim.failedRuns[id]++
	}
	sim.tracef("%s %s run %d ends %s", e.Endpoint, id, r.run, how)
	e.ended++
	e.ends = append(e.ends, fakeEnd{shard.ListedEnd{Number: e.ended, Task: id, Run: r.run, How: how}, sim.now})
	if e.highest[id] < r.run {
		e.highest[id] = r.run
	}
}

// execute applies an order as the platform specifies. isLate is set for an order that is carried out long after
// it was sent.
func (sim *simulation) execute(e *fakeEndpoint, o shard.Order, isLate bool) shard.Answer {
	answer := sim.apply(e, o, isLate)
	sim.traceExecuted(e, o, answer, isLate)
	return answer
}

func (sim *simulation) apply(e *fakeEndpoint, o shard.Order, isLate bool) shard.Answer {
	if o.Token < e.token && !sim.ignoreFencing {
		return shard.AnswerFenced
	}
	e.token = max(e.token, o.Token)
	e.takeLease(sim.now, o.Deadline)
	switch o.Kind {
	case shard.OrderHold:
		e.renewals++
		for len(e.ends) > 0 && e.ends[0].Number <= o.Acknowledged {
			sim.checkAcknowledged(e, e.ends[0], isLate || o.Process != e.Process())
			e.ends = e.ends[1:]
		}
	case shard.OrderStart:
		return sim.start(e, o, isLate)
	case shard.OrderStop:
		if r := e.running[o.Task]; r != nil && r.run <= o.Run && r.stopAt.IsZero() {
			r.stopAt = sim.now.Add(fakeStop)
		}
		if e.highest[o.Task] < o.Run && e.running[o.Task] == nil {
			e.highest[o.Task] = o.Run
		}
	}
	return shard.AnswerDone
}

func (sim *simulation) start(e *fakeEndpoint, o shard.Order, isLate bool) shard.Answer {
	r := e.running[o.Task]
	switch {
	case e.clock(sim.now) > o.Deadline:
		return shard.AnswerLate
	case r != nil && r.run == o.Run:
		return shard.AnswerDone
	case r != nil || o.Run <= e.highest[o.Task]:
		return shard.AnswerOld
	}
	j := sim.job(o.Task.Job)
	step := j.Steps[o.Task.Step]
	used := step.CountedDemand()
	for _, other := range e.running {
		used = used.Plus(other.demand)
	}
	if !used.Fits(e.Capacity) {
		sim.violation("start of %s on %s exceeds its capacity", o.Task, e.Endpoint)
		return shard.AnswerNoRoom
	}
	sim.checkStart(e, o, step, isLate)
	sim.startedAt[o.Task] = sim.now
	duration := sim.duration(o.Task)
	if sim.farFactor > 1 && step.DataRack != "" && step.DataRack != e.Rack {
		duration = time.Duration(float64(duration) * sim.farFactor)
	}
	e.running[o.Task] = &fakeRun{run: o.Run, began: sim.now, duration: duration, lasting: step.Lasting, demand: step.CountedDemand(), stalled: e.stall}
	return shard.AnswerDone
}
