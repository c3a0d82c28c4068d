package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Runner is an endpoint as the platform's registry lists it.
type Runner struct {
	Endpoint fleet.EndpointID
	Service  fleet.ServiceID
	Address  fleet.Address
	Zone     fleet.ZoneID
	Rack     fleet.RackID
	Labels   []fleet.Label
	Capacity fleet.Capacity
	Draining bool
	Born     int64
}

// Process returns the process that the entry describes.
func (r Runner) Process() fleet.EndpointProcess {
	return fleet.EndpointProcess{Endpoint: r.Endpoint, Born: r.Born}
}

// phase is how far the start of a run has come.
type phase string

const (
	// phasePlanned waits for the commit that records the assignment.
	phasePlanned phase = "planned"
	// phaseOrdered has its start order on the way.
	phaseOrdered phase = "ordered"
	// phaseStarted was confirmed by the endpoint.
	phaseStarted phase = "started"
	// phaseStopping has a stop order on the way.
	phaseStopping phase = "stopping"
)

// assignment is a run that an endpoint executes or may come to execute.
type assignment struct {
	id    fleet.TaskID
	run   fleet.RunNumber
	step  fleet.Step
	phase phase
	// startedClock is the endpoint's clock when it confirmed the start. A list of runs that is older
	// need not contain the run.
	startedClock time.Duration
	startedAt    time.Time
	// advancedAt is when the reported progress rose last.
	advancedAt time.Time
	// inherited is set for an assignment that the previous holder made and that no list has shown yet.
	inherited bool
	// doubtful is set for a start that may have reached another process than it was meant for.
	doubtful bool
	// stopped is set when the endpoint has answered a stop order for the run.
	stopped bool
	// progress is the percentage that the endpoint reports; tail the response times of a serving task.
	progress int
	tail     time.Duration
	// pace is the share in percent at which the task may work.
	pace int
	// stopAgainAt is when the next stop order may be sent.
	stopAgainAt time.Time
}

// worker is what the shard knows of one endpoint process.
type worker struct {
	Runner
	// listed is false for an endpoint that left the registry or is known from an assignment only.
	listed bool
	// contacted is true once the process has answered to the token of this holder.
	contacted bool
	// clock is the endpoint's steady clock at clockAt.
	clock   time.Duration
	clockAt time.Time
	heardAt time.Time
	// firstSeen is when the holder learned of the process.
	firstSeen time.Time
	// leaseEnd is when every lease that was given to the process has expired.
	leaseEnd time.Time
	// cursor is the last end that was processed, acked the last one whose effect is committed.
	cursor, acked fleet.EndCursor
	holding       bool
	// missed is set while the last renewal has no answer.
	missed bool
	// holdPause is the pause after the last renewal that failed.
	holdPause time.Duration
	// paceAgainAt is when the pace of fill tasks may change again.
	paceAgainAt time.Time
	holdAgainAt time.Time
	runs        map[fleet.TaskID]*assignment
	used        fleet.Capacity
	// failures counts failed runs since the last success, of different jobs.
	failures int
	// asideUntil is until when the worker gets no work because its runs fail.
	asideUntil time.Time
	asideFor   time.Duration
	// stalled counts runs that were stopped for lack of progress since the last success.
	stalled int
	// cordonedUntil is until when the worker gets no work because maintenance was announced.
	cordonedUntil time.Time
	cordonedAt    time.Time
	// patient is set while the tasks on a cordoned worker are left to end by themselves.
	patient bool
	// foreignAgainAt is when a run that is not assigned here may be stopped again.
	foreignAgainAt time.Time
	// full is set when the endpoint rejected a start for lack of room, until it reports an end.
	full bool
}

// Timing of calls to endpoints.
const (
	// LeaseLength is how long an endpoint executes runs without a renewal. It covers the takeover of a
	// lease plus one renewal interval, and bounds the wait for an endpoint that has gone silent.
	LeaseLength = 4 * time.Second
	// HoldWait is how long an endpoint may keep a renewal open while no run ends. Each renewal is charged.
	HoldWait = time.Second
	// silentAfter is the silence beyond an open renewal after which an endpoint gets no new work.
	silentAfter = 600 * time.Millisecond
	// clockDrift is the error of an endpoint's steady clock that the platform states, in percent, plus
	// one for the entry's own.
	clockDrift = 3
	// stopSettle is added to the longest time that a stop takes: the order and the list are under way.
	stopSettle = 300 * time.Millisecond
	// leaseMargin covers the time that an order is under way.
	leaseMargin = 100 * time.Millisecond
	// firstHoldPause and longestHoldPause bound the pause after renewals that failed; it doubles each time.
	firstHoldPause   = 100 * time.Millisecond
	longestHoldPause = 800 * time.Millisecond
	// stopRepeat is the pause between two stop orders for the same run.
	stopRepeat = 500 * time.Millisecond
)

// deadline returns the end of a lease of the given length on the endpoint's clock.
func (w *worker) deadline(now time.Time, length time.Duration) time.Duration {
	return w.clock + now.Sub(w.clockAt) + length
}

// extendLease notes that a lease of the given length may have been granted now.
func (w *worker) extendLease(now time.Time, length time.Duration) {
	w.leaseEnd = later(w.leaseEnd, now.Add(length+length*clockDrift/100+leaseMargin))
}

// reachable reports whether the worker answered recently.
func (w *worker) reachable(now time.Time) bool {
	return w.contacted && now.Sub(w.heardAt) < HoldWait+silentAfter
}

// usable reports whether the worker may get new work.
func (w *worker) usable(now time.Time) bool {
	return w.listed && !w.Draining && w.reachable(now) && !now.Before(w.asideUntil) && !now.Before(w.cordonedUntil) && !w.full
}

// free returns the resources that are not in use.
func (w *worker) free() fleet.Capacity { return w.Capacity.Minus(w.used) }

func (w *worker) add(a *assignment) {
	w.runs[a.id] = a
	w.used = w.used.Plus(a.step.Counted())
}

func (w *worker) remove(id fleet.TaskID) {
	a := w.runs[id]
	if a == nil {
		return
	}
	delete(w.runs, id)
	w.used = w.used.Minus(a.step.Counted())
	w.full = false
}

// count returns how many tasks of one step the worker has.
func (w *worker) count(id fleet.TaskID) int {
	n := 0
	for other := range w.runs {
		if other.Job == id.Job && other.Occurrence == id.Occurrence && other.Step == id.Step {
			n++
		}
	}
	return n
}

func (w *worker) hasLabel(l fleet.Label) bool {
	if l == "" {
		return true
	}
	for _, own := range w.Labels {
		if own == l {
			return true
		}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
