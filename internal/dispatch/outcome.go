package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// dispatchWaiting dispatches again from the pools that have queued requests.
func (e *Engine) dispatchWaiting(now time.Time) {
	for _, p := range e.sortedWaiting() {
		e.dispatchPool(now, p)
	}
}

func (e *Engine) sortedWaiting() []*poolState {
	var list []*poolState
	for _, id := range slices.Sorted(maps.Keys(e.waiting)) {
		list = append(list, e.waiting[id])
	}
	return list
}

// Stop makes the engine refuse new work.
func (e *Engine) Stop() { e.stopping = true }

// InFlight returns how many requests are queued or running.
func (e *Engine) InFlight() int { return len(e.work) }

// AcknowledgedRevision returns the highest applied table revision for which this entry has nothing in
// flight on any VM whose drain had begun by that revision.
func (e *Engine) AcknowledgedRevision() fleet.TableRevision {
	if e.acknowledgedValid {
		return e.acknowledged
	}
	e.acknowledged, e.acknowledgedValid = e.view.Revision, true
	for _, vm := range e.draining {
		if e.Router.Running(vm.Endpoint()) > 0 {
			e.acknowledged = min(e.acknowledged, fleet.TableRevision(vm.RowVersion)-1)
		}
	}
	return e.acknowledged
}

// invalidateAcknowledged drops the cached acknowledged revision when an attempt on a draining VM has
// ended. Other attempts do not change the revision, because a draining VM gets no new ones.
func (e *Engine) invalidateAcknowledged(c *call) {
	if e.view.VMs[c.target.VM].State == fleet.VMStateDraining {
		e.acknowledgedValid = false
	}
}

// countVMs collects the draining VMs of a new view and counts the slots of the serving ones.
func (e *Engine) countVMs() {
	e.acknowledgedValid, e.draining, e.loads.slots = false, e.draining[:0], 0
	for _, vm := range e.view.VMs {
		switch vm.State {
		case fleet.VMStateDraining:
			e.draining = append(e.draining, vm)
		case fleet.VMStateServing:
			e.loads.slots += vm.Slots
		}
	}
}

func keyOf(w *request.Work) workKey { return workKey{w.Request.Account, w.Request.ID} }

func (e *Engine) poolOf(w *request.Work) fleet.PoolID {
	return e.view.Configuration.Services[w.Request.Service].Pool
}

func (e *Engine) ruleOf(w *request.Work) fleet.RequestTypeRule {
	rule := e.view.Configuration.Services[w.Request.Service].RequestTypes[w.Request.Type]
	rule.Name = w.Request.Type
	return rule
}

func (e *Engine) weightOf(w *request.Work) fleet.Weight {
	return e.view.Configuration.Accounts[w.Request.Account].Weight
}

// refuse ends work that was never queued.
func (e *Engine) refuse(w *request.Work, reason request.Reason, retryAfter time.Duration) {
	e.end(w, request.EventRefuse, request.NotRun(reason, retryAfter))
}

// endQueued ends queued work. Work of which an earlier attempt may have run is never reported as not-run.
func (e *Engine) endQueued(w *request.Work, reason request.Reason) {
	if w.MayHaveRun {
		e.end(w, request.EventLose, request.Unknown(reason))
		return
	}
	e.end(w, request.EventRefuse, request.NotRun(reason, refusalRetry))
}

// end sets the single outcome of work and returns it to the callers.
func (e *Engine) end(w *request.Work, event request.Event, o request.Outcome) {
	e.fire(w, event)
	e.unregister(w)
	e.reply(w.Replies, e.endTicket(w, o))
}

func (e *Engine) reply(ids []request.ReplyID, o request.Outcome) {
	for _, id := range ids {
		e.out.Replies = append(e.out.Replies, Reply{ID: id, Outcome: o})
	}
}

// fire applies an event to the state of the work. An event that the state does not allow is a programming
// error.
func (e *Engine) fire(w *request.Work, event request.Event) {
	state, err := e.states.Next(w.State, event)
	if err != nil {
		panic(err.Error())
	}
	w.State = state
}
