package shard

import "time"

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
