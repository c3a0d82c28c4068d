package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// SetEndpoints applies the registry's list of the service's endpoints. An endpoint that left the list keeps
// its runs until its lease has expired or another process answers under its id.
func (e *Engine) SetEndpoints(now time.Time, endpoints []EndpointInfo) {
	listed := map[fleet.EndpointID]bool{}
	for _, endpoint := range endpoints {
		listed[endpoint.Endpoint] = true
		w := e.workers[endpoint.Endpoint]
		if w == nil {
			w = &worker{EndpointInfo: endpoint, runs: map[fleet.TaskID]*assignment{}, firstSeen: now}
			e.setWorker(w)
		}
		if endpoint.StartMillis > w.StartMillis && w.StartMillis != 0 {
			e.handleRestart(now, w, endpoint)
			w = e.workers[endpoint.Endpoint]
		}
		if w.Address != endpoint.Address {
			w.holdInFlight = false
		}
		if endpoint.StartMillis >= w.StartMillis {
			w.EndpointInfo = endpoint
		}
		w.listed = true
	}
	for id, w := range e.workers {
		if !listed[id] {
			w.listed = false
		}
	}
}

// handleRestart drops the runs of a process that was replaced by another one under the endpoint's id. A start
// that has no answer yet may reach the new process, which cannot tell that it was meant for the previous one:
// such a run is kept until the new process lists it or has been told to stop it.
func (e *Engine) handleRestart(now time.Time, w *worker, next EndpointInfo) {
	var kept []*assignment
	for id, a := range w.runs {
		if a.phase == phaseOrdered || a.phase == phaseStopping && a.startedAt.IsZero() {
			w.remove(id)
			kept = append(kept, a)
		}
	}
	e.replaceWorker(now, w, next, "restarted")
	successor := e.workers[w.Endpoint]
	for _, a := range kept {
		a.maybeMisdirected, a.stopAcked, a.startedClock, a.nextStopAt = !a.inherited, false, 0, time.Time{}
		successor.add(a)
		// The deadline of the start was set on the clock of the previous process, which was ahead, so the new
		// process may grant the longest lease.
		successor.extendLease(now, e.Bounds.MaxLease)
	}
}

// replaceWorker marks the runs of a process that no longer exists as lost and adds a worker for the next one.
func (e *Engine) replaceWorker(now time.Time, w *worker, next EndpointInfo, reason string) {
	lost := len(w.runs)
	for id, a := range w.runs {
		e.markLost(now, w, a, id)
	}
	firstSeen := now
	if !w.contacted {
		firstSeen = w.firstSeen
	}
	e.setWorker(&worker{EndpointInfo: next, listed: w.listed, runs: map[fleet.TaskID]*assignment{}, firstSeen: firstSeen, cordonedUntil: w.cordonedUntil})
	e.Observer.RunsLost(w.Endpoint, lost, reason)
}

// markLost ends a run whose end was not reported.
func (e *Engine) markLost(now time.Time, w *worker, a *assignment, id fleet.TaskID) {
	w.remove(id)
	if o := e.occurrence(id); o != nil && o.MarkLost(id, a.run) {
		e.dirty[o.Key()] = true
		e.markUnavailable(now, id, a)
	}
}

func (e *Engine) markUnavailable(now time.Time, id fleet.TaskID, a *assignment) {
	if a.step.Lasting && e.unavailableSince[id].IsZero() {
		e.unavailableSince[id] = now
	}
}

func (e *Engine) occurrence(id fleet.TaskID) *job.Occurrence {
	entry := e.jobs[id.Job]
	if entry == nil || int(id.Occurrence) >= len(entry.occurrences) {
		return nil
	}
	return entry.occurrences[id.Occurrence]
}
