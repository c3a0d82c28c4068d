// Package admission decides which requests wait, in which order, and which are refused.
package admission

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Lane identifies a queue of a service by its class. Long work that endpoints cannot checkpoint has a
// lane of its own, because it waits for slots that other long work need not wait for.
type Lane struct {
	Class  fleet.Class
	Pinned bool
}

// Lanes of requests.
var (
	LaneUrgent = Lane{Class: fleet.ClassUrgent}
	LaneNormal = Lane{Class: fleet.ClassNormal}
	LaneLong   = Lane{Class: fleet.ClassLong}
	LanePinned = Lane{Class: fleet.ClassLong, Pinned: true}
)

// queueKey identifies the queue of one service and lane.
type queueKey struct {
	service fleet.ServiceID
	lane    Lane
}

// Queues are the bounded queues of all services and lanes. One goroutine owns them.
type Queues struct {
	// Capacity bounds each queue.
	Capacity int
	// MaxBytes bounds the total size of the bodies in all queues.
	MaxBytes fleet.Bytes
	// NormalPercent is the share of short work that normal work gets while urgent work waits.
	NormalPercent fleet.Percent

	queues map[queueKey]*queue
	items  map[*request.Work]*item
	// credit is the run time of normal work of a service that may go before urgent work.
	credit map[fleet.ServiceID]time.Duration
	bytes  fleet.Bytes
}

// Offer queues work of an account. When a bound is exceeded, the newest request of the account with the
// largest backlog for its weight is dropped. Offer returns the dropped work, which may be w itself.
func (q *Queues) Offer(now time.Time, w *request.Work, weight fleet.Weight) []*request.Work {
	w.Queued = now
	key := keyOf(w)
	list := q.queueOf(key)
	q.add(list, w, weight, false)
	var dropped []*request.Work
	for list.length > q.Capacity || q.bytes > q.MaxBytes {
		f := list.largest()
		newest := f.items[len(f.items)-1].work
		q.Remove(newest)
		dropped = append(dropped, newest)
		if newest == w {
			break
		}
	}
	return dropped
}

// Requeue puts work that was dispatched back at the head of its flow, even beyond the bounds.
func (q *Queues) Requeue(now time.Time, w *request.Work, weight fleet.Weight) {
	w.Queued = now
	q.add(q.queueOf(keyOf(w)), w, weight, true)
}

func (q *Queues) add(list *queue, w *request.Work, weight fleet.Weight, head bool) {
	if q.items == nil {
		q.items = map[*request.Work]*item{}
	}
	q.items[w] = list.add(w, weight, head)
	q.bytes += fleet.Bytes(len(w.Request.Body))
}

func (q *Queues) queueOf(key queueKey) *queue {
	list := q.queues[key]
	if list == nil {
		if q.queues == nil {
			q.queues = map[queueKey]*queue{}
		}
		list = newQueue()
		q.queues[key] = list
	}
	return list
}

// Peek returns the work that is due next, or nil.
func (q *Queues) Peek(service fleet.ServiceID, lane Lane) *request.Work {
	if list := q.queues[queueKey{service, lane}]; list != nil && list.length > 0 {
		return list.busy.First().items[0].work
	}
	return nil
}

// Pop removes the work that Peek returns and charges it to its account.
func (q *Queues) Pop(service fleet.ServiceID, lane Lane) {
	it := q.queues[queueKey{service, lane}].advance()
	q.charge(service, lane.Class, it.expected)
	q.Remove(it.work)
}

// Remove removes work from its queue. It returns false when the work is not queued.
func (q *Queues) Remove(w *request.Work) bool {
	it := q.items[w]
	if it == nil {
		return false
	}
	delete(q.items, w)
	q.bytes -= fleet.Bytes(len(w.Request.Body))
	it.queue.remove(it)
	return true
}

// maxCredit bounds the run time of normal work that goes before urgent work at one time.
const maxCredit = time.Second

// charge updates the credit of normal work after a dispatch.
func (q *Queues) charge(service fleet.ServiceID, class fleet.Class, expected time.Duration) {
	if q.credit == nil {
		q.credit = map[fleet.ServiceID]time.Duration{}
	}
	switch {
	case class == fleet.ClassUrgent && q.Depth(service, fleet.ClassNormal) > 0:
		share := expected * time.Duration(q.NormalPercent) / time.Duration(max(100-q.NormalPercent, 1))
		q.credit[service] = min(q.credit[service]+share, maxCredit)
	case class == fleet.ClassNormal:
		q.credit[service] = max(q.credit[service]-expected, 0)
	}
}

// NextShort returns the lane of the short work that is due next, or false when no short work waits. Urgent
// work goes first, apart from the minimum share of normal work.
func (q *Queues) NextShort(service fleet.ServiceID) (Lane, bool) {
	urgent, normal := q.Peek(service, LaneUrgent), q.Peek(service, LaneNormal)
	switch {
	case urgent == nil && normal == nil:
		return Lane{}, false
	case urgent == nil, normal != nil && q.credit[service] >= max(normal.Expected, 1):
		return LaneNormal, true
	default:
		return LaneUrgent, true
	}
}

// ExpectedWait returns how long new work of an account is expected to wait when slots run the work of its
// service. Fair queueing bounds the wait by the account's own backlog and share.
func (q *Queues) ExpectedWait(w *request.Work, weight fleet.Weight, slots fleet.Slots) time.Duration {
	var ahead time.Duration
	if list := q.queues[keyOf(w)]; list != nil {
		ahead = list.backlog
		own, weights := w.Expected, max(weight, 1)
		if f := list.flows[w.Request.Account]; f != nil {
			own += f.backlog
			if f.index >= 0 {
				weights = 0
			}
		}
		fair := own.Seconds() * float64(list.weights+weights) / float64(max(weight, 1))
		ahead = min(ahead, time.Duration(fair*float64(time.Second)))
	}
	if w.Request.Class == fleet.ClassNormal {
		if urgent := q.queues[queueKey{w.Request.Service, LaneUrgent}]; urgent != nil {
			ahead += urgent.backlog
		}
	}
	return ahead / time.Duration(max(slots, 1))
}

// Depth returns how many requests of a service and class are queued.
func (q *Queues) Depth(service fleet.ServiceID, class fleet.Class) int {
	n := q.length(service, Lane{Class: class})
	if class == fleet.ClassLong {
		n += q.length(service, LanePinned)
	}
	return n
}

func (q *Queues) length(service fleet.ServiceID, lane Lane) int {
	if list := q.queues[queueKey{service, lane}]; list != nil {
		return list.length
	}
	return 0
}

// ShortDepth returns how many short requests of a service are queued.
func (q *Queues) ShortDepth(service fleet.ServiceID) int {
	return q.Depth(service, fleet.ClassUrgent) + q.Depth(service, fleet.ClassNormal)
}

// Backlog returns the expected run time of the queued short requests of a service.
func (q *Queues) Backlog(service fleet.ServiceID) time.Duration {
	var sum time.Duration
	for _, lane := range []Lane{LaneUrgent, LaneNormal} {
		if list := q.queues[queueKey{service, lane}]; list != nil {
			sum += list.backlog
		}
	}
	return sum
}

// Len returns how many requests are queued in all queues.
func (q *Queues) Len() int { return len(q.items) }

func keyOf(w *request.Work) queueKey {
	r := w.Request
	return queueKey{r.Service, Lane{Class: r.Class, Pinned: r.Class == fleet.ClassLong && !r.Checkpointable}}
}
