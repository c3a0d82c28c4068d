package dispatch

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/heap"
	"github.com/mimosawharf/mimosawharf/internal/request"
)

// timer is the next instant at which the engine looks at a request: its retry or deadline while it
// is queued, its straggler bound while it runs.
type timer struct {
	at    time.Time
	work  *request.Work
	place int
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
			Index: func(t *timer) *int { return &t.place },
		},
		byWork: map[*request.Work]*timer{},
	}
}

// set replaces the timer of a request.
func (t *timers) set(w *request.Work, at time.Time) {
	if one := t.byWork[w]; one != nil {
		one.at = at
		t.order.Fix(one)
		return
	}
	one := &timer{at: at, work: w}
	t.byWork[w] = one
	t.order.Push(one)
}

// remove drops the timer of a request, if it has one.
func (t *timers) remove(w *request.Work) {
	if one := t.byWork[w]; one != nil {
		delete(t.byWork, w)
		t.order.Remove(one)
	}
}

// due takes a request whose timer has passed, or returns nil.
func (t *timers) due(now time.Time) *request.Work {
	if t.order.Len() == 0 || now.Before(t.order.First().at) {
		return nil
	}
	w := t.order.First().work
	t.remove(w)
	return w
}
