package shard

import (
	"cmp"
	"slices"
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
			w = e.newWorker(now, endpoint)
			e.setWorker(w)
		}
		if !e.loaded && endpoint.Restarted {
			e.noteRestart(now, w, endpoint.Settled)
		}
		w.setRow(now, endpoint)
		w.listed = true
		w.describe()
	}
	for id, w := range e.workers {
		if !listed[id] {
			w.listed = false
			w.describe()
		}
	}
	e.mean = nil
}

// markLost ends a run whose end was not reported.
func (e *Engine) markLost(now time.Time, w *worker, a *assignment, loss Loss) {
	w.remove(a.id)
	if o := e.occurrence(a.id); o != nil && o.MarkLost(a.id, a.run) {
		e.dirty[o.Key()] = true
		e.markUnavailable(now, a.id, a)
		e.observeLoss(now, w, a, loss)
	}
}

func (e *Engine) markUnavailable(now time.Time, id fleet.TaskID, a *assignment) {
	if !a.step.Lasting {
		return
	}
	if e.unavailableSince[id].IsZero() {
		e.unavailableSince[id] = now
	}
	if a.evidence != EvidenceNone || a.inherited {
		e.beginWait(now, id, a.run, false)
	}
}

func (e *Engine) occurrence(id fleet.TaskID) *job.Occurrence {
	entry := e.jobs[id.Job]
	if entry == nil {
		return nil
	}
	return entry.open[id.Occurrence]
}

// sorted returns the workers sorted by id, so that schedules are reproducible.
func (e *Engine) sorted() []*worker {
	if e.byID != nil {
		return e.byID
	}
	list := make([]*worker, 0, len(e.workers))
	for _, w := range e.workers {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *worker) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	e.byID = list
	return list
}
