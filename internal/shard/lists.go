package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

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
	w.missed, w.holdBackoff, w.heldAt, w.isNamed = false, 0, r.Order.Address, r.StartMillis == w.StartMillis
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
	a.isFar = e.runsFar(o, w, a) // While the other runs of its step can still be seen.
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
			e.recordRunTime(now, o, a, e.nearTime(o, w, a, ran))
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
