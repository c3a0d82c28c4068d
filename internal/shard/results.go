package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Apply processes the response to an order.
func (e *Engine) Apply(now time.Time, r Result) {
	if r.Order.Kind == OrderStart {
		e.starts.answered(now, r)
		e.observeStart(now, r)
	}
	w := e.workers[r.Order.Process.Endpoint]
	if w == nil {
		return
	}
	if w.isForEarlierProcess(r.Order) {
		e.applyForEarlierProcess(now, w, r)
		return
	}
	if r.Order.Kind == OrderHold && r.Order.Address == w.Address {
		w.holdInFlight = false
	}
	if r.Answer == AnswerFenced {
		e.fenced = true
		return
	}
	if r.Answer == AnswerGone && w.Address == r.Order.Address && !r.SentAt.Before(w.lastAnswerAt) && (!w.contacted || w.heldAt == w.Address) {
		e.Observer.RunsLost(w.Endpoint, len(w.runs), LossGone)
		successor := e.replaceWorker(now, w, w.EndpointInfo, LossGone)
		successor.holdBackoff = min(max(minHoldBackoff, 2*w.holdBackoff), maxHoldBackoff)
		successor.nextHoldAt = now.Add(successor.holdBackoff)
		return
	}
	if r.Answer == AnswerGone {
		r.Clock, r.StartMillis = 0, 0 // They are those of another endpoint.
	}
	if r.StartMillis != 0 && r.StartMillis != w.StartMillis {
		if w.StartMillis != 0 {
			// The list may be older than orders that are on their way. The next one, with the token of the
			// new process, is not.
			e.hold(now, e.handleRestart(now, w, r.StartMillis))
			return
		}
		w.StartMillis = r.StartMillis
		w.describe()
	}
	if r.Clock > 0 {
		e.observeClock(now, w, r)
		w.updateClock(now, r)
	}
	if r.Order.Kind == OrderHold && r.Answer != AnswerDone {
		e.Observer.RenewalMissed()
	}
	// Of consecutive failed renewals only the first is reported.
	repeated := r.Order.Kind == OrderHold && w.missed
	switch r.Order.Kind {
	case OrderHold:
		e.applyHold(now, w, r)
	case OrderStart:
		e.applyStart(now, w, r)
	case OrderStop:
		e.applyStop(now, w, r)
	}
	if r.Answer != AnswerDone && !repeated {
		e.Observer.Rejected(r.Order, r.Answer, since(now, r.SentAt))
	}
}

// updateClock updates the estimate of the endpoint's clock from a list: each process has a clock of its own, and
// other answers do not name theirs. The clock was read before the answer arrived, so an estimate from the time of
// arrival never runs ahead of the endpoint, and a lease never lasts longer than assumed.
func (w *worker) updateClock(now time.Time, r Result) {
	w.lastAnswerAt = later(w.lastAnswerAt, now)
	if r.Order.Kind == OrderHold && r.Answer == AnswerDone && r.Clock >= w.clock {
		w.clock, w.clockAt = r.Clock, now
	}
}

// applyForEarlierProcess processes the answer to an order that was created for an earlier process. Either process
// may have given it, so only a rejection settles anything: the next list shows whether a start was accepted.
func (e *Engine) applyForEarlierProcess(now time.Time, w *worker, r Result) {
	if a := w.runs[r.Order.Task]; r.Order.Kind == OrderStart && a != nil && a.run == r.Order.Run && r.Answer.isRejection() {
		e.markLost(now, w, a, Loss{Reason: LossRejected, Answer: r.Answer})
	}
}

func (e *Engine) applyStart(now time.Time, w *worker, r Result) {
	a := w.runs[r.Order.Task]
	if a == nil || a.run != r.Order.Run {
		return
	}
	switch r.Answer {
	case AnswerDone:
		e.markStarted(a.id.Job)
		if a.phase == phaseOrdered {
			a.markSeen(now, EvidenceAnswer)
			a.phase, a.startedAt, w.fullFor = phaseStarted, now, 0
			e.endWait(now, w, a)
			// Whichever process answered, its clock shows the lease that it granted.
			w.extendUnprovenLease(now, min(r.Order.Deadline-r.Clock, e.Bounds.MaxLease))
		}
	case AnswerOld:
		// The endpoint lists the run as ended, or a stop for it arrived first.
		e.markLost(now, w, a, Loss{Reason: LossRejected, Answer: r.Answer})
	case AnswerNoRoom:
		e.markLost(now, w, a, Loss{Reason: LossRejected, Answer: r.Answer})
		w.fullFor = min(max(minFullPause, 2*w.fullFor), maxFullPause)
		w.fullUntil = now.Add(w.fullFor)
	case AnswerNoTicket:
		e.dropTicket(now, a.id, w)
		e.markLost(now, w, a, Loss{Reason: LossRejected, Answer: r.Answer})
	case AnswerLate, AnswerBusy, AnswerInvalid, AnswerUnsent, AnswerGone:
		e.avoid[a.id] = w.Endpoint
		e.markLost(now, w, a, Loss{Reason: LossRejected, Answer: r.Answer})
		if r.Answer == AnswerBusy {
			e.recordFailure(now, w, a.id.Job)
		}
	default:
		if a.evidence == EvidenceList {
			return // Only the answer was lost.
		}
		// The start may still be executed later. A stop that is answered rules that out.
		if w.hasRestarted && w.mayHoldLongLease(now, e.leaseLength()) {
			w.extendUnprovenLease(now, e.Bounds.MaxLease)
		}
		e.avoid[a.id] = w.Endpoint
		a.inDoubt = true
		e.stop(now, w, a.id)
	}
}

// applyStop records that a run can no longer start. If it ran, the endpoint lists its end.
func (e *Engine) applyStop(now time.Time, w *worker, r Result) {
	a := w.runs[r.Order.Task]
	if a != nil && a.run == r.Order.Run && r.Answer == AnswerDone && a.phase == phaseStopping && !a.stopAcked {
		a.stopAcked, a.stopAckedAt = true, now
	}
}

// applyHold reconciles the endpoint's lists with the assignments.
func (e *Engine) applyHold(now time.Time, w *worker, r Result) {
	if r.Answer != AnswerDone {
		w.missed = true
		w.holdBackoff = min(max(minHoldBackoff, 2*w.holdBackoff), maxHoldBackoff)
		w.nextHoldAt = now.Add(w.holdBackoff)
		return
	}
	if w.missed {
		e.Observer.Reconnected(w.Endpoint)
	}
	w.missed, w.holdBackoff, w.heldAt = false, 0, r.Order.Address
	if !w.contacted {
		w.contacted = true
		w.nextHoldAt = now
		e.mean = nil
	}
	if w.mayHoldLongestLease {
		// From now on the process rejects orders that were meant for an earlier one.
		w.mayHoldLongestLease = false
		e.outwaitLongestLease(now, w)
	}
	if !e.mayGrant(now, w) {
		w.nextHoldAt = now.Add(withheldInterval)
	}
	if e.loading {
		if r.Order.Deadline > 0 {
			w.nextHoldAt = now.Add(loadingInterval)
		}
		return
	}
	for _, end := range r.Ends {
		if end.Number > w.cursor {
			w.cursor = end.Number
			e.applyEnd(now, w, end)
		}
	}
	listed := make(map[fleet.TaskID]fleet.RunNumber, len(r.Running))
	for _, run := range r.Running {
		listed[run.Task] = run.Run
		e.applyRunning(now, w, run, r.Clock)
	}
	w.forgetForeign(listed)
	for id, a := range w.runs {
		if run, ok := listed[id]; ok && run == a.run {
			continue
		}
		if a.isMissing(r) {
			e.markLost(now, w, a, Loss{Reason: LossNotListed, ListClock: r.Clock})
		}
	}
}

// isMissing reports whether a run that an endpoint does not list is certainly not executing there. A list says
// nothing about an answer that arrived after it was requested, and nothing about a run whose end it may lack.
func (a *assignment) isMissing(r Result) bool {
	switch {
	case a.phase == phasePlanned || r.MoreEnds:
		return false
	case a.evidence == EvidenceList:
		return r.Clock > a.listedClock
	case a.hasOldToken:
		return true
	case a.phase == phaseStopping:
		// An answered stop rules out a later start.
		return a.stopAcked && r.SentAt.After(a.stopAckedAt)
	}
	return a.evidence == EvidenceAnswer && r.SentAt.After(a.evidenceAt)
}

func (e *Engine) applyRunning(now time.Time, w *worker, run ListedRun, clock time.Duration) {
	e.markStarted(run.Task.Job)
	a := w.runs[run.Task]
	o := e.occurrence(run.Task)
	if a == nil || a.run != run.Run || o == nil {
		e.observeForeign(w, run, o, clock)
		e.stopForeign(now, w, run, o)
		return
	}
	a.markSeen(now, EvidenceList)
	a.listedClock = max(a.listedClock, clock)
	if run.Checkpoint != "" {
		o.Task(run.Task).Checkpoint = run.Checkpoint
	}
	if a.phase == phaseOrdered || a.phase == phaseStopping && a.inDoubt && !a.stopAcked {
		a.phase, a.inDoubt = phaseStarted, false
		e.endWait(now, w, a)
		if a.startedAt.IsZero() {
			a.startedAt = now
		}
	}
	if run.Progress > a.progress {
		a.progressedAt = now
		if a.step.Lasting && run.Progress >= 100 {
			w.recordSuccess(a) // A lasting task has no other success.
		}
	}
	a.progress = run.Progress
	if a.step.TailTarget > 0 {
		a.tailLatency = time.Duration(run.Load) * time.Millisecond
	}
	if a.step.Lasting && a.phase == phaseStarted {
		if a.progress >= 100 {
			delete(e.unavailableSince, a.id)
		} else if e.unavailableSince[a.id].IsZero() {
			e.unavailableSince[a.id] = now
		}
	}
	if o.State.IsFinal() {
		e.stop(now, w, run.Task)
	}
}

// stopForeign stops a run that is not assigned to the endpoint.
func (e *Engine) stopForeign(now time.Time, w *worker, run ListedRun, o *job.Occurrence) {
	if o != nil {
		if t := o.Task(run.Task); t != nil && t.Run < run.Run {
			// The run number is taken, whichever holder assigned it.
			t.Run = run.Run
			e.dirty[o.Key()] = true
		}
	}
	if !e.Permitted(now) || now.Before(w.nextForeignStopAt) {
		return
	}
	w.nextForeignStopAt = now.Add(stopRetryInterval / 5)
	order := e.order(w, OrderStop, nil)
	order.Task, order.Run = run.Task, run.Run
	e.out = append(e.out, order)
}

// applyEnd records the end of a run.
func (e *Engine) applyEnd(now time.Time, w *worker, end ListedEnd) {
	e.markStarted(end.Task.Job)
	a := w.runs[end.Task]
	o := e.occurrence(end.Task)
	if o == nil {
		return
	}
	if a == nil || a.run != end.Run {
		e.applyLateEnd(now, w, o, end)
		return
	}
	w.remove(end.Task)
	e.dirty[o.Key()] = true
	var ran time.Duration
	if !a.startedAt.IsZero() {
		ran = now.Sub(a.startedAt)
	}
	e.Observer.RunEnded(end.Task, end.Run, w.Process(), end.How, ran)
	wasEnded := o.State.IsFinal()
	if !o.End(now, end.Task, end.Run, end.How, end.Checkpoint, e.policy(o.Job).MaxAttempts) {
		return
	}
	e.markUnavailable(now, end.Task, a)
	switch end.How {
	case fleet.RunEndDone:
		w.recordSuccess(a)
		if !a.startedAt.IsZero() && !a.step.Lasting {
			e.recordRunTime(o, a, ran)
		}
		delete(e.avoid, end.Task)
		if a.step.Gang {
			e.releaseGang(o, end.Task.Step)
		}
	case fleet.RunEndFailed:
		e.avoid[end.Task] = w.Endpoint
		if !a.step.Lasting {
			e.recordFailure(now, w, end.Task.Job)
		}
	}
	if !wasEnded && o.State.IsFinal() {
		e.finish(now, o)
	}
}

// applyLateEnd records the end of a run that was marked lost before. If it completes the task, the task's
// current run is stopped.
func (e *Engine) applyLateEnd(now time.Time, w *worker, o *job.Occurrence, end ListedEnd) {
	wasEnded := o.State.IsFinal()
	if !o.EndLate(now, end.Task, end.Run, end.How, e.policy(o.Job).MaxAttempts) {
		return
	}
	e.dirty[o.Key()] = true
	e.Observer.LateEnd(end.Task, end.Run, w.Process(), end.How)
	if t := o.Task(end.Task); t.Done && t.Running() {
		if other := e.workers[t.Process.Endpoint]; other != nil {
			e.stop(now, other, end.Task)
		}
	}
	if !wasEnded && o.State.IsFinal() {
		e.finish(now, o)
	}
}

// releaseGang drops the assignments of the other members of a gang after one member has completed it.
func (e *Engine) releaseGang(o *job.Occurrence, step fleet.StepIndex) {
	for t := range o.Tasks[step] {
		id := o.ID(step, fleet.TaskIndex(t))
		if w := e.workers[o.Task(id).Process.Endpoint]; w != nil && w.runs[id] != nil {
			w.remove(id)
			o.MarkLost(id, o.Task(id).Run)
		}
	}
}
