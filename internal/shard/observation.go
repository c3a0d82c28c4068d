package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Evidence is what shows that a run has started.
type Evidence string

// Kinds of evidence.
const (
	// EvidenceNone means that nothing shows that the run has started.
	EvidenceNone Evidence = "none"
	// EvidenceAnswer means that the start order was answered. The answer does not name the process.
	EvidenceAnswer Evidence = "start-answered"
	// EvidenceList means that a process has listed the run.
	EvidenceList Evidence = "listed"
)

// LossReason is why a run was given up before its end was reported.
type LossReason string

// Reasons of losses.
const (
	// LossLeaseExpired means that the lease has expired at an endpoint that does not answer.
	LossLeaseExpired LossReason = "lease-expired"
	// LossRestarted means that another process answers under the endpoint's id.
	LossRestarted LossReason = "restarted"
	// LossGone means that another process listens at the endpoint's address.
	LossGone LossReason = "gone"
	// LossNotListed means that the endpoint no longer lists the run.
	LossNotListed LossReason = "not-listed"
	// LossRejected means that the endpoint rejected the start order.
	LossRejected LossReason = "rejected"
	// LossNotSent means that no start order was sent.
	LossNotSent LossReason = "not-sent"
)

// Loss is a run that was given up before its end was reported. Its task may start elsewhere.
type Loss struct {
	Task   fleet.TaskID
	Run    fleet.RunNumber
	Reason LossReason
	// Answer is set for rejected start orders.
	Answer Answer
	// Assigned is the process to which the run was assigned, Process the one that was last known at the
	// endpoint.
	Assigned, Process fleet.EndpointProcess
	// Inherited is set for a run that the previous holder assigned.
	Inherited bool
	Evidence  Evidence
	// EvidenceAge is the time since the evidence, SinceAnswer the time since the endpoint's last answer; 0
	// when there was none.
	EvidenceAge, SinceAnswer time.Duration
	// LeaseLeft is the time until all leases of the endpoint have expired; it is negative after that.
	LeaseLeft time.Duration
	// ListClock is the clock of the list that lacks the run, StartedClock that of the latest list with the run; 0
	// when there was none.
	ListClock, StartedClock time.Duration
}

// StartTimes describes a start order whose result is known.
type StartTimes struct {
	Answer Answer
	// Stale is set when it was dropped because it had waited for too long.
	Stale bool
	// ToSend is the time from the placement to the sending, or 0 when the run is not known any more; ToAnswer the one
	// from there until the answer was processed.
	ToSend, ToAnswer time.Duration
}

// Restart is the replacement of an endpoint's process by another one under its id.
type Restart struct {
	// Process is the present process.
	Process fleet.EndpointProcess
	// PreviousStartMillis is the start time of the earlier process.
	PreviousStartMillis int64
	// SinceAnswer is the time since the last answer of the earlier process; 0 when there was none.
	SinceAnswer time.Duration
	// Lost counts the runs that were given up, Kept those that the present process may execute.
	Lost, Kept int
	// LeaseLeft is the time until all leases that the present process may have granted have expired.
	LeaseLeft time.Duration
}

// ForeignRun is a run that an endpoint lists and that is not assigned to it.
type ForeignRun struct {
	Task fleet.TaskID
	Run  fleet.RunNumber
	// Process lists the run at Clock.
	Process fleet.EndpointProcess
	Clock   time.Duration
	// CurrentRun is the number of the task's latest run; 0 when the task is not known.
	CurrentRun fleet.RunNumber
	// Current is the process to which the latest run is assigned; empty when it has ended.
	Current  fleet.EndpointProcess
	Evidence Evidence
}

// ClockStep is an answer whose clock does not continue that of the earlier answers of a process.
type ClockStep struct {
	Process fleet.EndpointProcess
	Order   OrderKind
	// Clock is the clock of the answer. It was expected between Earliest and Latest.
	Clock, Earliest, Latest time.Duration
}

// maxClockStep is the difference, beyond the drift of clocks, that is attributed to transit.
const maxClockStep = time.Second

// observeStart reports the result of a start order.
func (e *Engine) observeStart(now time.Time, r Result) {
	s := StartTimes{Answer: r.Answer, Stale: r.Stale, ToAnswer: now.Sub(r.SentAt)}
	if w := e.workers[r.Order.Process.Endpoint]; w != nil {
		if a := w.runs[r.Order.Task]; a != nil && a.run == r.Order.Run && !a.plannedAt.IsZero() {
			s.ToSend = r.SentAt.Sub(a.plannedAt)
		}
	}
	e.Observer.StartAnswered(s)
}

// markSeen records evidence that a run has started.
func (a *assignment) markSeen(now time.Time, evidence Evidence) {
	a.evidence, a.evidenceAt = evidence, now
}

// observeClock reports an answer that does not continue the clock of a worker, once until one does.
func (e *Engine) observeClock(now time.Time, w *worker, r Result) {
	if w.clock == 0 {
		return
	}
	margin := maxClockStep + now.Sub(w.clockAt)*clockDriftPercent/100
	step := ClockStep{
		Process: w.Process(), Order: r.Order.Kind, Clock: r.Clock,
		Earliest: w.deadline(r.SentAt, -margin), Latest: w.deadline(now, margin),
	}
	stepped := step.Clock < step.Earliest || step.Clock > step.Latest
	if stepped && !w.clockStepped {
		e.Observer.ClockStepped(step)
	}
	w.clockStepped = stepped
}

// observeLoss reports a run that is given up.
func (e *Engine) observeLoss(now time.Time, w *worker, a *assignment, loss Loss) {
	loss.Task, loss.Run, loss.Assigned, loss.Process, loss.Inherited = a.id, a.run, a.process, w.Process(), a.inherited
	loss.Evidence, loss.EvidenceAge, loss.StartedClock = a.evidence, since(now, a.evidenceAt), a.listedClock
	loss.SinceAnswer, loss.LeaseLeft = since(now, w.lastAnswerAt), -since(now, w.leaseEnd)
	e.Observer.RunLost(loss)
}

// observeRestart reports that a worker was replaced by a successor.
func (e *Engine) observeRestart(now time.Time, w, successor *worker, lost int) {
	e.Observer.Restarted(Restart{
		Process: successor.Process(), PreviousStartMillis: w.StartMillis, SinceAnswer: since(now, w.lastAnswerAt),
		Lost: lost, Kept: len(successor.runs), LeaseLeft: -since(now, successor.leaseEnd),
	})
}

// observeForeign reports a run that is not assigned to the worker that lists it, once for each run.
func (e *Engine) observeForeign(w *worker, run ListedRun, o *job.Occurrence, clock time.Duration) {
	if w.foreign[run.Task] == run.Run {
		return
	}
	if w.foreign == nil {
		w.foreign = map[fleet.TaskID]fleet.RunNumber{}
	}
	w.foreign[run.Task] = run.Run
	f := ForeignRun{Task: run.Task, Run: run.Run, Process: w.Process(), Clock: clock, Evidence: EvidenceNone}
	if o != nil && o.Task(run.Task) != nil {
		t := o.Task(run.Task)
		f.CurrentRun, f.Current = t.Run, t.Process
		if current := e.workers[t.Process.Endpoint]; current != nil && current.runs[run.Task] != nil {
			f.Evidence = current.runs[run.Task].evidence
		}
	}
	e.Observer.ForeignListed(f)
}

// forgetForeign forgets the foreign runs that a worker no longer lists.
func (w *worker) forgetForeign(listed map[fleet.TaskID]fleet.RunNumber) {
	for id, run := range w.foreign {
		if listed[id] != run {
			delete(w.foreign, id)
		}
	}
}

// since returns the time since an event, or 0 when there was none.
func since(now, at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}
