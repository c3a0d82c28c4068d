package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// EndpointInfo is an endpoint as the platform's registry lists it.
type EndpointInfo struct {
	Endpoint    fleet.EndpointID
	Service     fleet.ServiceID
	Address     fleet.Address
	Zone        fleet.ZoneID
	Rack        fleet.RackID
	Labels      []fleet.Label
	Capacity    fleet.Capacity
	Draining    bool
	StartMillis int64
	// Restarted is set when the registry has shown another process under the endpoint's id before.
	Restarted bool
	// Settled is set when a holder has outwaited the longest lease that this process may have been granted by deadlines
	// on an earlier process's clock.
	Settled bool
}

// Process returns the process that the registry lists.
func (i EndpointInfo) Process() fleet.EndpointProcess {
	return fleet.EndpointProcess{Endpoint: i.Endpoint, StartMillis: i.StartMillis}
}

// phase is the stage that a run has reached.
type phase string

const (
	// phasePlanned waits for the commit that records the assignment.
	phasePlanned phase = "planned"
	// phaseOrdered has been sent a start order.
	phaseOrdered phase = "ordered"
	// phaseStarted was confirmed by the endpoint.
	phaseStarted phase = "started"
	// phaseStopping has been sent a stop order.
	phaseStopping phase = "stopping"
)

// assignment is a run that an endpoint executes or may come to execute.
type assignment struct {
	id  fleet.TaskID
	run fleet.RunNumber
	// account is the client account of the job.
	account fleet.ClientAccountID
	// process is the process to which the run was assigned.
	process fleet.EndpointProcess
	step    fleet.Step
	phase   phase
	// evidence is the latest evidence that the run has started.
	evidence   Evidence
	evidenceAt time.Time
	// listedClock is the endpoint's clock in the latest list with the run.
	listedClock time.Duration
	startedAt   time.Time
	// plannedAt is when this holder assigned the run; zero for an inherited one.
	plannedAt time.Time
	// progressedAt is when the reported progress last rose.
	progressedAt time.Time
	// inherited is set for an assignment that the previous holder made.
	inherited bool
	// hasOldToken is set when the start carried the token of the previous holder or of an earlier process: a process
	// that has answered an order with the present token rejects it.
	hasOldToken bool
	// inDoubt is set for a run that is being stopped only because its start had no answer.
	inDoubt bool
	// stopAcked is set when the endpoint has answered a stop order for the run, stopAckedAt is when.
	stopAcked   bool
	stopAckedAt time.Time
	// progress is the reported percentage, tailLatency the reported tail latency of a serving task.
	progress    int
	tailLatency time.Duration
	// pace is the share of time, in percent, during which the task may work.
	pace int
	// nextStopAt is when the next stop order may be sent.
	nextStopAt time.Time
	// isFar is set for a run away from its data, or of a step on several racks: it takes longer.
	isFar bool
	// trial is set for a run that was assigned while the worker was on probation.
	trial bool
}

// worker is the state of one endpoint process.
type worker struct {
	// EndpointInfo has only the id, the service and the address until the registry lists the process.
	EndpointInfo
	// row is the registry's latest row of the endpoint, which may be of another process.
	row EndpointInfo
	// token is the fencing token of the orders to the process.
	token fleet.FencingToken
	// listed is false for an endpoint that left the registry or is known from an assignment only. described is set
	// while the registry lists the process itself: the next process of an endpoint may have other labels and another
	// capacity, and its lists do not name them.
	listed, described bool
	// hasOwnRow is set once a row that names the process has described it. isNamed is set while the latest list names
	// the process: a list without a start time may be that of the next one.
	hasOwnRow, isNamed bool
	// contacted is set once the process has answered a renewal of this holder.
	contacted bool
	// heldAt is the address at which the process last answered a renewal. Another process at a different address
	// doesn't show that this one is gone.
	heldAt fleet.Address
	// clock is the endpoint's monotonic clock at clockAt.
	clock        time.Duration
	clockAt      time.Time
	lastAnswerAt time.Time
	// firstSeen is when the holder learned of the process, or of the first one of those that never answered.
	firstSeen time.Time
	// clockStepped is set while answers do not continue the clock.
	clockStepped bool
	// leaseEnd is when all leases that were granted to the process have expired. unprovenLeaseEnd is the same for
	// a process that may have taken starts in its place: it counts for runs that no list has shown.
	leaseEnd, unprovenLeaseEnd time.Time
	// replaced holds the start times of the earlier processes of the endpoint that this holder has known.
	replaced []int64
	// hasRestarted is set when the endpoint is known to have had another process. A start without an answer may then
	// have reached a next one, until the longest lease of the present one has been outwaited.
	hasRestarted bool
	// mayHoldLongestLease is set until the first answer to a renewal where the endpoint may have had another process:
	// deadlines that were set on the clock of that one may have granted the longest lease.
	mayHoldLongestLease bool
	// cursor is the last end that was processed, acked the last one whose effect is committed.
	cursor, acked fleet.EndCursor
	holdInFlight  bool
	// missed is set when the last renewal failed.
	missed bool
	// holdBackoff is the pause after the last failed renewal.
	holdBackoff time.Duration
	// nextPaceAt is when the pace of fill tasks may change again.
	nextPaceAt time.Time
	nextHoldAt time.Time
	// openIndex is the worker's index in Engine.open.
	openIndex int
	runs      map[fleet.TaskID]*assignment
	used      fleet.Capacity
	// ends is when the runs are expected to end, as of endsAt; zero after a change of the runs.
	ends   []expectedEnd
	endsAt time.Time
	// usage is what the runs of accounts use on all workers.
	usage accountUsage
	// failures counts the jobs that failed on the worker since its last success.
	failures int
	// ejectedUntil is when the last ejection ends, ejectedFor its duration.
	ejectedUntil time.Time
	ejectedFor   time.Duration
	// stalled counts runs that were stopped for lack of progress since the last success.
	stalled int
	// cordonedUntil is when the cordon for maintenance ends.
	cordonedUntil time.Time
	cordonedAt    time.Time
	// patient is set while the tasks on a cordoned worker are left to end by themselves.
	patient bool
	// nextForeignStopAt is when a run that is not assigned here may be stopped again.
	nextForeignStopAt time.Time
	// foreign holds the runs of the latest list that are not assigned here.
	foreign map[fleet.TaskID]fleet.RunNumber
	// fullUntil is when a worker that rejected a start for lack of room is tried again, unless one of its runs ends
	// before. fullFor is the pause, which doubles with each rejection until a start is accepted.
	fullUntil time.Time
	fullFor   time.Duration
}

// Timing of calls to endpoints.
const (
	// LeaseLength is how long an endpoint executes runs without a renewal. It covers the takeover of the
	// service's lease plus one renewal interval, and bounds the wait for an endpoint that has stopped answering.
	LeaseLength = 4 * time.Second
	// HoldWait is how long an endpoint may keep a renewal open while no run ends. Each renewal is charged.
	HoldWait = time.Second
	// silenceTimeout is the time without an answer, beyond HoldWait, after which an endpoint gets no new tasks.
	silenceTimeout = 600 * time.Millisecond
	// clockDriftPercent is the stated drift of an endpoint's monotonic clock, plus one percent for this entry's
	// clock.
	clockDriftPercent = 3
	// stopSettle is added to Bounds.StopTime for the time that the order and the list are in transit.
	stopSettle = 300 * time.Millisecond
	// leaseMargin covers the time that an order is in transit.
	leaseMargin = 100 * time.Millisecond
	// minHoldBackoff and maxHoldBackoff bound the pause after failed renewals, which doubles each time.
	minHoldBackoff = 100 * time.Millisecond
	maxHoldBackoff = 800 * time.Millisecond
	// minFullPause and maxFullPause bound the pause after a start was rejected for lack of room.
	minFullPause = 500 * time.Millisecond
	maxFullPause = 8 * time.Second
	// orderTransit bounds the time from the creation of an order to its answer or timeout.
	orderTransit = time.Second
	// stopRetryInterval is the pause between two stop orders for the same run.
	stopRetryInterval = 500 * time.Millisecond
)

// deadline returns the end of a lease of the given length on the endpoint's clock, which may be slow.
func (w *worker) deadline(now time.Time, length time.Duration) time.Duration {
	elapsed := now.Sub(w.clockAt)
	return w.clock + elapsed - elapsed*clockDriftPercent/100 + length
}

// extendLease records that a lease of the given length may have been granted now.
func (w *worker) extendLease(now time.Time, length time.Duration) {
	w.leaseEnd = later(w.leaseEnd, leaseEnd(now, length))
}

// extendUnprovenLease does the same for a process that may have taken a start in place of the worker's.
func (w *worker) extendUnprovenLease(now time.Time, length time.Duration) {
	w.unprovenLeaseEnd = later(w.unprovenLeaseEnd, leaseEnd(now, length))
}

// leaseEnd returns when a lease of the given length that is granted now has expired on any endpoint's clock.
func leaseEnd(now time.Time, length time.Duration) time.Time {
	return now.Add(length + length*clockDriftPercent/100 + leaseMargin)
}

// LeaseEnd returns when the leases have expired on any endpoint's clock that a holder grants until the given time.
func LeaseEnd(lastGrant time.Time) time.Time { return leaseEnd(lastGrant, LeaseLength) }

// runLeaseEnd returns when the lease of a run has expired.
func (w *worker) runLeaseEnd(a *assignment) time.Time {
	if a.evidence == EvidenceList {
		return w.leaseEnd
	}
	return later(w.leaseEnd, w.unprovenLeaseEnd)
}

// reachable reports whether the worker answered recently.
func (w *worker) reachable(now time.Time) bool {
	return w.contacted && now.Sub(w.lastAnswerAt) < HoldWait+silenceTimeout
}

func (w *worker) free() fleet.Capacity { return w.Capacity.Minus(w.used) }

func (w *worker) add(a *assignment) {
	a.trial = w.onProbation()
	w.runs[a.id] = a
	w.used = w.used.Plus(a.step.CountedDemand())
	w.endsAt = time.Time{}
	w.usage.add(a)
}

func (w *worker) remove(id fleet.TaskID) {
	a := w.runs[id]
	if a == nil {
		return
	}
	delete(w.runs, id)
	w.used = w.used.Minus(a.step.CountedDemand())
	w.endsAt = time.Time{}
	w.usage.remove(a)
	w.fullUntil = time.Time{}
}

// count returns how many tasks of one step the worker has.
func (w *worker) count(id fleet.TaskID) int {
	n := 0
	for other := range w.runs {
		if sameStep(other, id) {
			n++
		}
	}
	return n
}

// sameStep reports whether two tasks belong to the same step of the same occurrence.
func sameStep(a, b fleet.TaskID) bool {
	return a.Job == b.Job && a.Occurrence == b.Occurrence && a.Step == b.Step
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
