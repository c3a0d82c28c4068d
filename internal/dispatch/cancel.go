package dispatch

import (
	"cmp"
	"slices"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Cancel cancels requests of an account, by id or by group. Its cost depends only on the number of
// requests that it matches.
func (e *Engine) Cancel(account fleet.ClientAccountID, ids []fleet.RequestID, group fleet.RequestGroup) CancelCount {
	var list []*request.Work
	for _, id := range ids {
		if w := e.work[workKey{account, id}]; w != nil {
			list = append(list, w)
		}
	}
	if group != "" {
		for w := range e.groups[groupKey{account, group}] {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b *request.Work) int { return cmp.Compare(a.Request.ID, b.Request.ID) })
	var count CancelCount
	for _, w := range slices.Compact(list) {
		e.cancel(w, &count)
	}
	return count
}

func (e *Engine) cancel(w *request.Work, count *CancelCount) {
	c := e.running[w]
	if c == nil {
		count.Dequeued++
		e.Queues.Remove(w)
		e.endQueued(w, request.ReasonCancelled)
		return
	}
	if w.CancelRequested {
		return
	}
	count.Stopping++
	w.CancelRequested = true
	e.control(c, ControlStop)
}

// Abandon removes a queued repeatable request whose caller no longer waits.
func (e *Engine) Abandon(account fleet.ClientAccountID, id fleet.RequestID) {
	w := e.work[workKey{account, id}]
	if w != nil && w.Request.Repeatable && e.running[w] == nil {
		e.Queues.Remove(w)
		e.endQueued(w, request.ReasonCancelled)
	}
}
