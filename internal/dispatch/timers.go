package dispatch

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/heap"
	"github.com/mimosawharf/mimosawharf/internal/request"
)

// timer is when the engine next acts on a request: at its retry or deadline while it is queued, at its
// straggler bound while it runs.
type timer struct {
	at    time.Time
	work  *request.Work
	index int
}

// timers keeps one timer for each request, the earliest first.
type timers struct {
	order  heap.Heap[*timer]
	byWork map[*request.Work]*timer
}

func newTimers() *timers {
	return &timers{
		order: heap.Heap[*timer]{
			Less:  func(a, b *timer) bool { return a.at.Before(b.at) },
			Index: func(t *timer) *int { return &t.index },
		},
		byWork: map[*request.Work]*timer{},
	}
}

// set replaces the timer of a request.
func (t *timers) set(w *request.Work, at time.Time) {
	if existing := t.byWork[w]; existing != nil {
		existing.at = at
		t.order.Fix(existing)
		return
	}
	added := &timer{at: at, work: w}
	t.byWork[w] = added
	t.order.Push(added)
}

// remove removes the timer of a request, if it has one.
func (t *timers) remove(w *request.Work) {
	if existing := t.byWork[w]; existing != nil {
		delete(t.byWork, w)
		t.order.Remove(existing)
	}
}

// due removes a timer that has expired and returns its request, or nil when there is none.
func (t *timers) due(now time.Time) *request.Work {
	if t.order.Len() == 0 || now.Before(t.order.First().at) {
		return nil
	}
	w := t.order.First().work
	t.remove(w)
	return w
}
