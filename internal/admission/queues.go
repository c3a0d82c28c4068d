// Package admission decides which requests wait, in which order, and which are refused.
package admission

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// queueKey names the queue of one service and class.
type queueKey struct {
	service fleet.ServiceID
	class   fleet.Class
}

// Queues are the bounded queues of all services and classes. One goroutine owns them.
type Queues struct {
	// Capacity bounds each queue.
	Capacity int
	// MaxBytes bounds the bodies in all queues.
	MaxBytes fleet.Bytes

	queues map[queueKey][]*request.Work
	bytes  fleet.Bytes
}

// Offer appends work to its queue. It returns false when the queue has no room.
func (q *Queues) Offer(now time.Time, w *request.Work) bool {
	key := keyOf(w)
	size := fleet.Bytes(len(w.Request.Body))
	if len(q.queues[key]) >= q.Capacity || q.bytes+size > q.MaxBytes {
		return false
	}
	if q.queues == nil {
		q.queues = map[queueKey][]*request.Work{}
	}
	w.Queued = now
	q.queues[key] = append(q.queues[key], w)
	q.bytes += size
	return true
}

// Requeue puts work that was dispatched back at the head of its queue, beyond the bounds if need be.
func (q *Queues) Requeue(now time.Time, w *request.Work) {
	key := keyOf(w)
	w.Queued = now
	q.queues[key] = append([]*request.Work{w}, q.queues[key]...)
	q.bytes += fleet.Bytes(len(w.Request.Body))
}

// Peek returns the work that is due next, or nil.
func (q *Queues) Peek(service fleet.ServiceID, class fleet.Class) *request.Work {
	if list := q.queues[queueKey{service, class}]; len(list) > 0 {
		return list[0]
	}
	return nil
}

// Pop removes the work that Peek returns.
func (q *Queues) Pop(service fleet.ServiceID, class fleet.Class) {
	key := queueKey{service, class}
	q.bytes -= fleet.Bytes(len(q.queues[key][0].Request.Body))
	q.queues[key] = q.queues[key][1:]
}

// Remove takes the matching work off all queues in one step.
func (q *Queues) Remove(match func(*request.Work) bool) []*request.Work {
	var removed []*request.Work
	for key, list := range q.queues {
		kept := list[:0:0]
		for _, w := range list {
			if match(w) {
				removed = append(removed, w)
				q.bytes -= fleet.Bytes(len(w.Request.Body))
			} else {
				kept = append(kept, w)
			}
		}
		q.queues[key] = kept
	}
	return removed
}

// Depth returns how much work of a service and class waits.
func (q *Queues) Depth(service fleet.ServiceID, class fleet.Class) int {
	return len(q.queues[queueKey{service, class}])
}

// Len returns how much work waits in all queues.
func (q *Queues) Len() int {
	n := 0
	for _, list := range q.queues {
		n += len(list)
	}
	return n
}

func keyOf(w *request.Work) queueKey {
	return queueKey{service: w.Request.Service, class: w.Request.Class}
}
