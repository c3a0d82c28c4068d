package dispatch

import (
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Called takes the result of an attempt.
func (e *Engine) Called(now time.Time, id CallID, result request.Result) {
	c := e.calls[id]
	if c == nil {
		return
	}
	delete(e.calls, id)
	e.Router.Finished(c.target.Endpoint)
	if result.Load != nil {
		e.Reported(c.target.Endpoint, *result.Load)
	}
	if c.work.State == request.StateUnknown {
		e.takeLate(c.work, result)
		e.dispatch(now)
		return
	}
	switch result.Kind {
	case request.ResultAnswered:
		e.end(c.work, request.EventAnswer, request.Answered(request.AnswerStatusOK, result.Body))
	case request.ResultFailed:
		e.end(c.work, request.EventAnswer, request.Answered(request.AnswerStatusFailed, []byte(result.Detail)))
	case request.ResultNotRun:
		e.retryNotRun(now, c.work)
	case request.ResultCheckpointed:
		c.work.Checkpoint = result.Checkpoint
		e.requeue(now, c.work)
	default:
		e.end(c.work, request.EventLose, request.Unknown(result.Reason))
	}
	e.dispatch(now)
}

// retryNotRun queues work again after an attempt that did not run.
func (e *Engine) retryNotRun(now time.Time, w *request.Work) {
	if w.Attempts >= e.MaxAttempts || !now.Before(w.Request.Deadline) {
		e.end(w, request.EventRefuse, request.NotRun(request.ReasonRetriesExhausted, refusalRetry))
		return
	}
	e.requeue(now, w)
}

func (e *Engine) requeue(now time.Time, w *request.Work) {
	e.fire(w, request.EventRequeue)
	e.Queues.Requeue(now, w)
}

// Reported takes an endpoint's own statement about itself.
func (e *Engine) Reported(id fleet.EndpointID, load request.Load) {
	vm := fleet.VMID(id)
	known := slices.Contains(e.leaving, vm)
	switch {
	case load.Leaving && !known:
		e.leaving = append(slices.Clip(e.leaving), vm)
	case !load.Leaving && known:
		e.leaving = slices.DeleteFunc(slices.Clone(e.leaving), func(v fleet.VMID) bool { return v == vm })
	}
	if load.Leaving {
		e.Router.SetLeaving(id)
	}
}

// LeavingVMs returns the VMs whose endpoints told this entry that they leave while the view still
// shows them as serving. Nobody modifies the list.
func (e *Engine) LeavingVMs() []fleet.VMID { return e.leaving }

// forgetLeaving drops the VMs that no longer serve according to the view, which peers learn from the
// table.
func (e *Engine) forgetLeaving() {
	e.leaving = slices.DeleteFunc(slices.Clone(e.leaving), func(id fleet.VMID) bool {
		vm, ok := e.view.VMs[id]
		return !ok || vm.State != fleet.VMStateServing
	})
}
