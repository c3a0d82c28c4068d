package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Tick does what depends on time: it renews leases, gives up runs whose lease has ended, repeats stops,
// and ends runs that make no progress.
func (e *Engine) Tick(now time.Time) {
	for _, w := range e.sorted() {
		e.expire(now, w)
		e.repeatStops(now, w)
		e.stopStalled(now, w)
		e.protectServing(now, w)
		e.evacuate(now, w)
		e.hold(now, w)
		if !w.listed && len(w.runs) == 0 && !w.holding {
			delete(e.workers, w.Endpoint)
			e.byID = nil
		}
	}
}

// Expired returns the ended jobs whose state need not be kept any longer, at most expiredJobs. Their
// progress stays until Forget: a job whose acceptance is still stored would otherwise be taken for one
// that has not run.
func (e *Engine) Expired(now time.Time) []fleet.JobID {
	var list []fleet.JobID
	for id, entry := range e.jobs {
		if len(list) < expiredJobs && entry.shown.Ended() && !entry.endedAt.IsZero() && now.Sub(entry.endedAt) > e.Bounds.StatusLife+statusMargin {
			list = append(list, id)
		}
	}
	return list
}

// expiredJobs bounds the jobs that are forgotten at a time.
const expiredJobs = 32

// Forget removes the progress of a job whose acceptance is no longer stored.
func (e *Engine) Forget(id fleet.JobID) {
	if entry := e.jobs[id]; entry != nil && entry.shown.Ended() {
		e.drop[id] = true
	}
}

// ForgetRow removes a progress row whose job is no longer stored.
func (e *Engine) ForgetRow(key job.Key) { e.orphans[key] = true }

// statusMargin is kept on top of the time that the platform asks for, for clocks that differ.
const statusMargin = 30 * time.Second

// expire gives up the runs of a worker whose leases have all ended.
func (e *Engine) expire(now time.Time, w *worker) {
	if len(w.runs) == 0 || w.reachable(now) || now.Before(w.leaseEnd) {
		return
	}
	lost := 0
	for id, a := range w.runs {
		if a.phase == phasePlanned && e.inFlight(id) {
			continue
		}
		e.lost(now, w, a, id)
		lost++
	}
	if lost > 0 {
		e.Observer.Replaced(w.Endpoint, lost, "lease ended while the endpoint was silent")
	}
}

// hold renews the lease of a worker and asks for its lists. A worker whose last renewal failed is asked
// without an extension, so that its lease has a certain end.
func (e *Engine) hold(now time.Time, w *worker) {
	if w.holding || now.Before(w.holdAgainAt) || w.Address == "" {
		return
	}
	if w.acked < w.cursor && now.Sub(w.heardAt) < holdWhileCommitting {
		return
	}
	order := e.order(w, OrderHold, nil)
	order.Acknowledged = w.acked
	if w.contacted && !w.missed {
		order.Deadline = w.deadline(now, e.leaseLength())
		w.extendLease(now, e.leaseLength())
		if w.acked == w.cursor {
			order.Wait = HoldWait
		}
	}
	w.holding = true
	e.out = append(e.out, order)
}

// holdWhileCommitting is how long a renewal waits for the commit of the ends that the last one listed.
const holdWhileCommitting = time.Second

// repeatStops sends stop orders again that were not answered or took no effect.
func (e *Engine) repeatStops(now time.Time, w *worker) {
	if !w.reachable(now) {
		return
	}
	for id, a := range w.runs {
		if a.phase == phaseStopping && !now.Before(a.stopAgainAt) {
			e.stop(now, w, id)
		}
	}
}

// stopStalled ends runs without progress, so that they start again elsewhere.
func (e *Engine) stopStalled(now time.Time, w *worker) {
	for id, a := range w.runs {
		if a.phase != phaseStarted || a.step.Lasting || a.startedAt.IsZero() {
			continue
		}
		o := e.occurrence(id)
		if o == nil {
			continue
		}
		limit := max(stallMinimum, stallFactor*e.expected(o.Job.Queue, a.step))
		if now.Sub(later(a.startedAt, a.advancedAt)) < limit {
			continue
		}
		e.avoid[id] = w.Endpoint
		e.stop(now, w, id)
		if w.stalled++; w.stalled >= failuresBeforeAside {
			e.setAside(now, w)
		}
	}
}

// Shares of time at which fill tasks work beside a serving task.
const (
	// tailAlarm is the share of its target in percent from which on a tail counts as threatened.
	tailAlarm = 80
	// tailCalm is the share below which fill tasks may work more.
	tailCalm = 50
	// paceStep is by how much the pace is raised, in percent of a fill task's time.
	paceStep = 10
)

// protectServing slows the fill tasks of a worker while a serving task beside them nears its target. The
// pace falls at once and rises slowly.
func (e *Engine) protectServing(now time.Time, w *worker) {
	threatened, calm := false, true
	for _, a := range w.runs {
		if a.step.TailTarget == 0 || a.phase != phaseStarted {
			continue
		}
		threatened = threatened || a.tail*100 > a.step.TailTarget*tailAlarm
		calm = calm && a.tail*100 < a.step.TailTarget*tailCalm
	}
	if now.Before(w.paceAgainAt) || !threatened && !calm {
		return
	}
	for _, a := range w.runs {
		if !a.step.Fill || a.phase != phaseStarted {
			continue
		}
		next := a.pace
		if threatened {
			next = a.pace / 2
			if next < paceStep {
				next = 0
			}
		} else if calm {
			next = min(100, a.pace+paceStep)
		}
		if next == a.pace {
			continue
		}
		a.pace = next
		order := e.order(w, OrderPace, a)
		order.Percent = next
		e.out = append(e.out, order)
		w.paceAgainAt = now.Add(paceInterval)
	}
}

// paceInterval is the time between changes of pace: the reported tail covers half a second.
const paceInterval = 600 * time.Millisecond

// Vacate asks for an endpoint without work. It lapses unless it is repeated. With patience, tasks that are
// not lasting are left to end by themselves. It returns true when
// maintenance may begin: nothing runs that it could end, and no end is left to be listed.
func (e *Engine) Vacate(now time.Time, id fleet.EndpointID, patient bool) bool {
	w := e.workers[id]
	if w == nil {
		return true
	}
	if !now.Before(w.cordonedUntil) {
		w.cordonedAt = now
	}
	w.cordonedUntil, w.patient = now.Add(cordonLife), patient
	return len(w.runs) == 0
}

const (
	// cordonLife is how long an endpoint gets no work after a request to vacate it.
	cordonLife = 3 * time.Second
	// vacatePatience is how long maintenance waits for tasks to end by themselves before it stops them.
	vacatePatience = 2500 * time.Millisecond
)

// evacuate moves lasting tasks away from an endpoint that is leaving or due for maintenance, as many at a
// time as their step's budget allows, and after a while the other tasks too.
func (e *Engine) evacuate(now time.Time, w *worker) {
	if !w.Draining && !now.Before(w.cordonedUntil) {
		return
	}
	settled := !now.Before(e.evacuateFrom)
	impatient := settled && now.Before(w.cordonedUntil) && !w.patient && now.Sub(w.cordonedAt) >= vacatePatience
	for id, a := range w.runs {
		switch {
		case a.phase != phaseStarted:
		case a.step.Lasting && (w.Draining || settled && e.mayStop(now, id, a)):
			e.stop(now, w, id)
			e.away[id] = now
		case !a.step.Lasting && impatient:
			e.stop(now, w, id)
		}
	}
}

// mayStop reports whether a planned action may end one more task of a lasting step: the step's budget
// holds, and another endpoint has room.
func (e *Engine) mayStop(now time.Time, id fleet.TaskID, a *assignment) bool {
	o := e.occurrence(id)
	if o == nil || o.State.Ended() {
		return true
	}
	away := 0
	for t := range o.Tasks[id.Step] {
		other := o.ID(id.Step, fleet.TaskIndex(t))
		if other != id && !e.atWork(now, o, other) {
			away++
		}
	}
	if away >= max(1, a.step.MaxUnavailable) || a.step.MaxUnavailable == 0 && away > 0 {
		return false
	}
	return e.choose(now, id, a.step, nil) != nil
}

// atWork reports whether a lasting task is known to work. A run that the previous holder started counts
// only once its endpoint has listed it, and none counts whose endpoint is silent.
func (e *Engine) atWork(now time.Time, o *job.Occurrence, id fleet.TaskID) bool {
	w := e.workers[o.Task(id).At.Endpoint]
	if w == nil || w.runs[id] == nil {
		return false
	}
	a := w.runs[id]
	return w.reachable(now) && a.phase == phaseStarted && a.progress >= 100 && e.away[id].IsZero()
}
