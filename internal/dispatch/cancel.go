package dispatch

import (
	"slices"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Cancel cancels requests of an account, by id or by group.
func (e *Engine) Cancel(account fleet.ClientAccountID, ids []fleet.RequestID, group fleet.RequestGroup) CancelCount {
	match := func(w *request.Work) bool {
		r := w.Request
		return r.Account == account && (slices.Contains(ids, r.ID) || group != "" && r.Group == group)
	}
	var count CancelCount
	for _, w := range e.Queues.Remove(match) {
		count.Dequeued++
		e.end(w, request.EventRefuse, request.NotRun(request.ReasonCancelled, 0))
	}
	for _, c := range e.calls {
		if !match(c.work) || c.work.CancelRequested {
			continue
		}
		count.Stopping++
		c.work.CancelRequested = true
		e.out.Controls = append(e.out.Controls, Control{Target: c.target, Request: c.work.Request.ID, Action: ControlStop})
	}
	return count
}

// Leave takes a queued request without a ticket off its queue, because nobody waits for it any more.
func (e *Engine) Leave(account fleet.ClientAccountID, id fleet.RequestID) {
	gone := e.Queues.Remove(func(w *request.Work) bool {
		return w.Request.Account == account && w.Request.ID == id && w.Sequence == 0
	})
	for _, w := range gone {
		e.end(w, request.EventRefuse, request.NotRun(request.ReasonCancelled, 0))
	}
}
