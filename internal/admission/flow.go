package admission

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/heap"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// item is one request in its flow. Its work is nil after removal.
type item struct {
	work *request.Work
	// expected is the run time that the backlog counts for the request.
	expected time.Duration
	flow     *flow
	queue    *queue
}

// flow holds the requests of one client account in a queue, the oldest first. The items at its ends are
// never removed ones.
type flow struct {
	account fleet.ClientAccountID
	weight  fleet.Weight
	items   []*item
	// start is the virtual time at which the head is due. It is the key of the flow in the heap.
	start float64
	// finish is the virtual time at which the last dispatched request ends.
	finish  float64
	arrived uint64
	backlog time.Duration
	// index is the index in the heap, -1 while the flow is empty.
	index int
}

// weightedBacklog is the backlog of the flow relative to its weight.
func (f *flow) weightedBacklog() float64 { return f.cost(f.backlog) }

func (f *flow) cost(d time.Duration) float64 { return d.Seconds() / float64(f.weight) }

// trim drops removed items at both ends.
func (f *flow) trim() {
	for len(f.items) > 0 && f.items[0].work == nil {
		f.items = f.items[1:]
	}
	for n := len(f.items); n > 0 && f.items[n-1].work == nil; n-- {
		f.items = f.items[:n-1]
	}
}

// queue is the queue of one service and class. It serves its flows by start-time fair queueing.
type queue struct {
	flows map[fleet.ClientAccountID]*flow
	// busy is a heap of the flows that hold requests.
	busy    heap.Heap[*flow]
	virtual float64
	arrived uint64
	length  int
	backlog time.Duration
	// weights is the sum of the weights of the flows that hold requests.
	weights fleet.Weight
}

func newQueue() *queue {
	return &queue{
		flows: map[fleet.ClientAccountID]*flow{},
		busy:  heap.Heap[*flow]{Less: isDueBefore, Index: func(f *flow) *int { return &f.index }},
	}
}

// isDueBefore orders flows by start, the earlier arrival first.
func isDueBefore(a, b *flow) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.arrived < b.arrived
}

func (q *queue) flowOf(account fleet.ClientAccountID, weight fleet.Weight) *flow {
	f := q.flows[account]
	if f == nil {
		f = &flow{account: account, index: -1}
		q.flows[account] = f
	}
	if f.index < 0 {
		f.weight = max(weight, 1)
	}
	return f
}

// add puts work at the tail or the head of the flow of its account.
func (q *queue) add(w *request.Work, weight fleet.Weight, head bool) *item {
	f := q.flowOf(w.Request.Account, weight)
	it := &item{work: w, expected: w.Expected, flow: f, queue: q}
	if head {
		f.items = append([]*item{it}, f.items...)
	} else {
		f.items = append(f.items, it)
	}
	q.length++
	q.backlog += it.expected
	f.backlog += it.expected
	if f.index < 0 {
		q.arrived++
		f.arrived = q.arrived
		f.start = max(q.virtual, f.finish)
		q.weights += f.weight
		q.busy.Push(f)
	}
	return it
}

// remove removes an item, wherever it is in its flow.
func (q *queue) remove(it *item) {
	f := it.flow
	it.work = nil
	q.length--
	q.backlog -= it.expected
	f.backlog -= it.expected
	f.trim()
	if len(f.items) == 0 {
		q.busy.Remove(f)
		q.weights -= f.weight
	}
	if q.length == 0 {
		// An empty queue restarts its virtual time and drops its flows, which also frees the memory of
		// accounts that send no more requests.
		q.virtual = 0
		q.flows = map[fleet.ClientAccountID]*flow{}
	}
}

// advance returns the head of the flow that is due and charges it to the flow. The caller removes it.
func (q *queue) advance() *item {
	f := q.busy.First()
	it := f.items[0]
	q.virtual = f.start
	f.finish = f.start + f.cost(it.expected)
	f.start = f.finish
	q.busy.Fix(f)
	return it
}

// largest returns the flow with the largest weighted backlog.
func (q *queue) largest() *flow {
	var best *flow
	for _, f := range q.busy.Items() {
		if best == nil || f.weightedBacklog() > best.weightedBacklog() || f.weightedBacklog() == best.weightedBacklog() && f.account < best.account {
			best = f
		}
	}
	return best
}
