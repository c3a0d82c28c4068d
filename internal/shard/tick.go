package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Tick does the work that depends on time: it renews leases, marks runs lost whose lease has expired, repeats
// stops, stops stalled runs, paces fill tasks and evacuates endpoints. While the holder may not grant leases it stops
// nothing, because another holder may have taken over.
func (e *Engine) Tick(now time.Time) {
	for _, w := range e.sorted() {
		e.expire(now, w)
		if e.Permitted(now) {
			e.retryStops(now, w)
			e.stopStalled(now, w)
			e.protectServing(now, w)
			e.evacuate(now, w)
		}
		e.hold(now, w)
		if !w.listed && len(w.runs) == 0 && !w.holdInFlight && !w.reachable(now) {
			e.forget(now, w)
		}
	}
	e.observeWaits(now)
	e.observeRacks(now)
}

// expire marks the runs of an unreachable worker lost once all its leases have expired.
func (e *Engine) expire(now time.Time, w *worker) {
	if len(w.runs) == 0 || w.reachable(now) || now.Before(w.leaseEnd) {
		return
	}
	lost := 0
	for id, a := range w.runs {
		if a.phase == phasePlanned && e.inFlight(id) || now.Before(w.runLeaseEnd(a)) {
			continue
		}
		e.markLost(now, w, a, Loss{Reason: LossLeaseExpired})
		lost++
	}
	if lost > 0 {
		e.Observer.RunsLost(w.Endpoint, lost, LossLeaseExpired)
	}
}

// hold renews the lease of a worker, if the holder may grant one, and requests its lists. After a failed renewal the lease is not extended, so
// that it is certain when it expires, and no end is acknowledged, because another process may answer.
func (e *Engine) hold(now time.Time, w *worker) {
	if w.holdInFlight || now.Before(w.nextHoldAt) || w.Address == "" {
		return
	}
	if w.acked < w.cursor && now.Sub(w.lastAnswerAt) < maxAckWait {
		return
	}
	order := e.order(w, OrderHold, nil)
	if w.contacted && !w.missed {
		if now.Sub(w.clockAt) < maxRenewalGap {
			order.Acknowledged = w.acked
		}
		if e.mayGrant(now, w) {
			order.Deadline = w.deadline(now, e.leaseLength())
			w.extendLease(now, e.leaseLength())
			if order.Acknowledged == w.cursor && !w.awaitsList() && !e.loading {
				order.Wait = HoldWait
			}
		}
	}
	w.holdInFlight = true
	e.out = append(e.out, order)
}

// maxRenewalGap is the longest time since a list after which a renewal acknowledges ends: no endpoint restarts that
// fast, and a next process would forget its own ends by those numbers.
const maxRenewalGap = 300 * time.Millisecond

// awaitsList reports whether the next list settles a run that has been stopped without having been listed.
func (w *worker) awaitsList() bool {
	for _, a := range w.runs {
		if a.stopAcked && a.evidence != EvidenceList {
			return true
		}
	}
	return false
}

// maxAckWait is the longest time that a renewal waits for the commit of the ends that the last one listed.
const maxAckWait = time.Second

// retryStops repeats stop orders that were not answered or took no effect.
func (e *Engine) retryStops(now time.Time, w *worker) {
	if !w.reachable(now) {
		return
	}
	for id, a := range w.runs {
		if a.phase == phaseStopping && !now.Before(a.nextStopAt) {
			e.stop(now, w, id)
		}
	}
}

// stopStalled stops runs without progress, so that their tasks restart elsewhere.
func (e *Engine) stopStalled(now time.Time, w *worker) {
	if !w.reachable(now) {
		return // Nothing is known of their progress.
	}
	stalled := w.stalled
	for id, a := range w.runs {
		if a.phase != phaseStarted || a.step.Lasting || a.startedAt.IsZero() {
			continue
		}
		still := now.Sub(later(a.startedAt, a.progressedAt))
		if still < minStallTime {
			continue
		}
		o := e.occurrence(id)
		if o == nil || still < stallFactor*e.expected(o.Job.Queue, &a.step) {
			continue
		}
		e.avoid[id] = w.Endpoint
		e.stop(now, w, id)
		w.stalled++
	}
	if w.stalled > stalled && w.stalled >= ejectionThreshold {
		e.eject(now, w)
	}
}

// Pacing of fill tasks that share an endpoint with serving tasks, in percent.
const (
	// tailHighPercent is the share of the tail target of a serving task above which fill tasks are slowed.
	tailHighPercent = 80
	// tailLowPercent is the share below which fill tasks may work more.
	tailLowPercent = 50
	// paceStep is by how much the pace is raised, in percent of a fill task's time.
	paceStep = 10
)

// protectServing slows the fill tasks of a worker while the tail latency of a serving task beside them nears
// its target. The pace is halved at once and raised in small steps.
func (e *Engine) protectServing(now time.Time, w *worker) {
	tailHigh, tailLow := false, true
	for _, a := range w.runs {
		if a.step.TailTarget == 0 || a.phase != phaseStarted {
			continue
		}
		tailHigh = tailHigh || a.tailLatency*100 > a.step.TailTarget*tailHighPercent
		tailLow = tailLow && a.tailLatency*100 < a.step.TailTarget*tailLowPercent
	}
	if now.Before(w.nextPaceAt) || !tailHigh && !tailLow {
		return
	}
	for _, a := range w.runs {
		if !a.step.Fill || a.phase != phaseStarted {
			continue
		}
		next := a.pace
		if tailHigh {
			next = a.pace / 2
			if next < paceStep {
				next = 0
			}
		} else if tailLow {
			next = min(100, a.pace+paceStep)
		}
		if next == a.pace {
			continue
		}
		a.pace = next
		order := e.order(w, OrderPace, a)
		order.Percent = next
		e.out = append(e.out, order)
		w.nextPaceAt = now.Add(paceInterval)
	}
}

// paceInterval is the time between changes of pace: the reported tail latency covers half a second.
const paceInterval = 600 * time.Millisecond

// Vacate cordons an endpoint for maintenance. The request expires unless it is repeated. With patient set,
// tasks that are not lasting are left to end by themselves. Vacate returns true when maintenance may begin:
// no run is left that it could interrupt, and no end is left to be listed. A holder that may not grant leases does not
// know what runs there.
func (e *Engine) Vacate(now time.Time, id fleet.EndpointID, patient bool) bool {
	if !e.Permitted(now) {
		return false
	}
	w := e.workers[id]
	if w == nil {
		return true
	}
	if !now.Before(w.cordonedUntil) {
		w.cordonedAt = now
	}
	w.cordonedUntil, w.patient = now.Add(cordonTTL), patient
	return len(w.runs) == 0
}

const (
	// cordonTTL is how long an endpoint gets no tasks after a request to vacate it.
	cordonTTL = 3 * time.Second
	// vacateGrace is how long tasks on a cordoned endpoint may end by themselves before they are stopped.
	vacateGrace = 2500 * time.Millisecond
)

// evacuate stops lasting tasks on an endpoint so that they move: all of them when it is draining, as many at a
// time as their step's budget allows when it is cordoned for maintenance. After vacateGrace it stops the other
// tasks of a cordoned endpoint too, unless patient is set.
func (e *Engine) evacuate(now time.Time, w *worker) {
	if !w.Draining && !now.Before(w.cordonedUntil) {
		return
	}
	settled := !now.Before(e.evacuateFrom)
	stopOthers := settled && now.Before(w.cordonedUntil) && !w.patient && now.Sub(w.cordonedAt) >= vacateGrace
	for id, a := range w.runs {
		switch {
		case a.phase != phaseStarted:
		case a.step.Lasting && (w.Draining || settled && e.mayStop(now, id, a)):
			e.stop(now, w, id)
			e.unavailableSince[id] = now
		case !a.step.Lasting && stopOthers:
			e.stop(now, w, id)
		}
	}
}

// mayStop reports whether a planned action may stop one more task of a lasting step: the step's budget allows
// it, and another endpoint has room.
func (e *Engine) mayStop(now time.Time, id fleet.TaskID, a *assignment) bool {
	o := e.occurrence(id)
	if o == nil || o.State.IsFinal() {
		return true
	}
	unavailable := 0
	for t := range o.Tasks[id.Step] {
		other := o.ID(id.Step, fleet.TaskIndex(t))
		if other != id && !e.isAvailable(now, o, other) {
			unavailable++
		}
	}
	if unavailable >= max(1, a.step.MaxUnavailable) || a.step.MaxUnavailable == 0 && unavailable > 0 {
		return false
	}
	return e.choose(now, id, a.step, nil) != nil
}

// isAvailable reports whether a lasting task is known to be available. A run that the previous holder started
// counts only once its endpoint has listed it, and no run counts whose endpoint does not answer.
func (e *Engine) isAvailable(now time.Time, o *job.Occurrence, id fleet.TaskID) bool {
	w := e.workers[o.Task(id).Process.Endpoint]
	if w == nil || w.runs[id] == nil {
		return false
	}
	a := w.runs[id]
	return w.reachable(now) && a.phase == phaseStarted && a.progress >= 100 && e.unavailableSince[id].IsZero()
}
