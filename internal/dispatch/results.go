package dispatch

import (
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/routing"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// blameThreshold is on how many healthy endpoints a request must fail to be considered the cause of its
// failures.
const blameThreshold = 2

// AttemptEnded handles the result of an attempt.
func (e *Engine) AttemptEnded(now time.Time, id CallID, result request.Result) {
	c := e.calls[id]
	if c == nil {
		return
	}
	p := e.pools[c.target.Pool]
	e.accrue(now, p)
	delete(e.calls, id)
	delete(e.running, c.work)
	e.loads.ended(c)
	e.invalidateAcknowledged(c)
	p.removeLong(c)
	e.timers.remove(c.work)
	c.work.CheckpointRequested = false
	e.Router.Finished(c.target.Endpoint, c.attempt)
	if result.Load != nil {
		e.Reported(now, c.target.Endpoint, *result.Load)
	}
	if c.work.State == request.StateUnknown {
		e.handleLate(c.work, result)
		e.dispatchPool(now, p)
		return
	}
	ran := result.Elapsed
	if ran <= 0 {
		ran = now.Sub(c.started)
	}
	e.conclude(now, c, result, ran)
	e.dispatchPool(now, p)
}

// conclude applies a result to the request and to the health of the endpoint.
func (e *Engine) conclude(now time.Time, c *call, result request.Result, ran time.Duration) {
	w := c.work
	switch result.Kind {
	case request.ResultAnswered:
		e.recordVerdict(now, c, routing.VerdictAnswered, ran)
		e.Estimates.Observe(w.Request.Service, e.ruleOf(w), w.Ran+ran)
		e.end(w, request.EventAnswer, request.Answered(request.AnswerStatusOK, result.Body))
	case request.ResultFailed:
		e.failed(now, c, result, ran)
	case request.ResultNotRun:
		e.notRun(now, c, result, ran)
	case request.ResultCheckpointed:
		e.checkpointed(now, c, result, ran)
	default:
		e.lost(now, c, result, ran)
	}
}

func (e *Engine) recordVerdict(now time.Time, c *call, verdict routing.Verdict, ran time.Duration) {
	e.Router.RecordVerdict(now, c.target.Endpoint, verdict, ran, c.work.Expected)
}

// failed handles a failure that the endpoint reported. A failure that is not blamed on the endpoint is
// the answer of the application.
func (e *Engine) failed(now time.Time, c *call, result request.Result, ran time.Duration) {
	w := c.work
	w.MayHaveRun = true
	answer := request.Answered(request.AnswerStatusFailed, []byte(result.Detail))
	if result.Blame != request.BlameEndpoint || w.CancelRequested {
		e.end(w, request.EventAnswer, answer)
		return
	}
	e.recordVerdict(now, c, routing.VerdictFailed, ran)
	w.FailedOn = append(w.FailedOn, c.target.Endpoint)
	if e.isCause(now, w) || !w.Request.Repeatable || !e.retry(now, w) {
		e.end(w, request.EventAnswer, answer)
	}
}

// isCause reports whether a request itself is the cause of its failures: it failed on endpoints that
// serve other requests well. The failures are then removed from the health records of its endpoints.
func (e *Engine) isCause(now time.Time, w *request.Work) bool {
	well := 0
	for _, id := range w.FailedOn {
		if e.Router.ServesWell(id) {
			well++
		}
	}
	if well < blameThreshold {
		return false
	}
	for _, id := range w.FailedOn {
		e.Router.RetractFailure(now, id)
	}
	return true
}

// lost handles an attempt without a complete answer.
func (e *Engine) lost(now time.Time, c *call, result request.Result, ran time.Duration) {
	w := c.work
	w.MayHaveRun = true
	// A timeout of the caller is no failure of the endpoint unless the attempt ran beyond its straggler
	// bound.
	bound := e.Estimates.StragglerBound(w.Request.Service, e.ruleOf(w))
	if result.Reason != request.ReasonTimeout || ran > bound {
		e.recordVerdict(now, c, routing.VerdictFailed, ran)
		w.FailedOn = append(w.FailedOn, c.target.Endpoint)
	}
	switch {
	case w.CancelRequested:
		e.end(w, request.EventLose, request.Unknown(request.ReasonStopRequested))
	case !w.Request.Repeatable:
		e.end(w, request.EventLose, request.Unknown(result.Reason))
	case e.isCause(now, w):
		e.end(w, request.EventAnswer, request.Answered(request.AnswerStatusFailed, []byte("the request failed on several healthy endpoints")))
	case !e.retry(now, w):
		e.end(w, request.EventLose, request.Unknown(result.Reason))
	}
}

// notRun handles an attempt that certainly did not run.
func (e *Engine) notRun(now time.Time, c *call, result request.Result, ran time.Duration) {
	w := c.work
	switch result.Refusal {
	case request.RefusalLeaving, request.RefusalWrongAssignment:
		e.Router.SetLeaving(c.target.Endpoint)
	case request.RefusalBusy:
		e.Router.Busy(now, c.target.Endpoint)
	case request.RefusalUnreachable:
		e.recordVerdict(now, c, routing.VerdictFailed, ran)
	}
	reason := request.ReasonRetriesExhausted
	if w.CancelRequested {
		reason = request.ReasonCancelled
	} else if e.retry(now, w) {
		return
	}
	e.endQueued(w, reason)
}

// checkpointed requeues a run that the endpoint has checkpointed. Resuming it continues the same run, so
// it costs no attempt and may go to the same endpoint.
func (e *Engine) checkpointed(now time.Time, c *call, result request.Result, ran time.Duration) {
	w := c.work
	w.MayHaveRun = true
	w.Checkpoint = result.Checkpoint
	w.Ran += ran
	w.Attempts--
	w.Tried = slices.DeleteFunc(w.Tried, func(id fleet.EndpointID) bool { return id == c.target.Endpoint })
	switch {
	case w.CancelRequested:
		e.end(w, request.EventLose, request.Unknown(request.ReasonStopRequested))
	case !now.Before(w.Request.Deadline):
		e.end(w, request.EventLose, request.Unknown(request.ReasonTimeout))
	default:
		e.fire(w, request.EventRequeue)
		e.Queues.Requeue(now, w, e.weightOf(w))
		e.timers.set(w, w.Request.Deadline)
	}
}

// retry queues work for another attempt at another endpoint. It returns false when no further
// attempt is allowed.
func (e *Engine) retry(now time.Time, w *request.Work) bool {
	at := now.Add(e.Retries.Backoff(w.Attempts))
	if w.Attempts >= e.MaxAttempts || !at.Before(w.Request.Deadline) ||
		!e.Router.HasUntried(e.poolOf(w), w.Tried) || !e.Retries.Take(now) {
		return false
	}
	e.fire(w, request.EventRequeue)
	e.retryAt(w, at)
	return true
}

// retryAt keeps work out of its queue until a point in time, or until its deadline if that is earlier.
func (e *Engine) retryAt(w *request.Work, at time.Time) {
	w.NotBefore = at
	if w.Request.Deadline.Before(at) {
		at = w.Request.Deadline
	}
	e.timers.set(w, at)
}

// Reported handles the load report of an endpoint.
func (e *Engine) Reported(now time.Time, id fleet.EndpointID, load request.Load) {
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
	e.Router.RecordRunning(now, id, load.Running)
}

// LeavingVMs returns the VMs whose endpoints reported to this entry that they are leaving while the view
// still shows them as serving. The returned slice is never modified.
func (e *Engine) LeavingVMs() []fleet.VMID { return e.leaving }

// forgetLeaving drops the VMs that the view no longer shows as serving. Peers learn about these from the
// table.
func (e *Engine) forgetLeaving() {
	e.leaving = slices.DeleteFunc(slices.Clone(e.leaving), func(id fleet.VMID) bool {
		vm, ok := e.view.VMs[id]
		return !ok || vm.State != fleet.VMStateServing
	})
}
