package routing

import (
	"slices"

	"github.com/mimosawharf/mimosawharf/internal/heap"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// order is one of the rankings of a pool's endpoints.
type order int

// Orders of a pool.
const (
	orderShort order = 0
	orderLong  order = 1
	orderCount       = 2
)

// pool keeps the endpoints of one pool ranked, so that a choice takes logarithmic time.
type pool struct {
	id   fleet.PoolID
	byID map[fleet.EndpointID]*endpoint
	// ranked are heaps with the best endpoint first.
	ranked [orderCount]*heap.Heap[*endpoint]
	// slots is the sum of the limits of all endpoints, own that of the endpoints in the entry's zone,
	// and running the sum of the attempts in flight.
	slots, own, running fleet.Slots
	// ejected counts the endpoints that are ejected or being probed.
	ejected int
	// borrowed is the sum of the slots on loan from others, lent that of the slots on loan to others.
	borrowed, lent fleet.Slots
}

func newPool(id fleet.PoolID) *pool {
	p := &pool{id: id, byID: map[fleet.EndpointID]*endpoint{}}
	for o := range p.ranked {
		p.ranked[o] = newRanking(order(o))
	}
	return p
}

func (p *pool) add(e *endpoint) {
	e.pool = p
	p.byID[e.vm.Endpoint()] = e
	p.count(e, 1)
	if e.health.state != healthStateHealthy {
		p.ejected++
	}
	for _, ranking := range p.ranked {
		ranking.Push(e)
	}
}

// count adds an endpoint to the sums of the pool, or subtracts it when sign is -1.
func (p *pool) count(e *endpoint, sign fleet.Slots) {
	p.slots += sign * e.limit()
	if e.own {
		p.own += sign * e.limit()
	}
	p.running += sign * e.running
	p.borrowed += sign * e.borrowed
	p.lent += sign * e.lent
}

// best returns the first endpoint in the ranking that has room and was not tried, or nil.
func (p *pool) best(o order, tried []fleet.EndpointID) *endpoint {
	ranking := p.ranked[o]
	var skipped []*endpoint
	var found *endpoint
	for ranking.Len() > 0 && found == nil {
		e := ranking.First()
		if e.room(o) <= 0 {
			break
		}
		if !slices.Contains(tried, e.vm.Endpoint()) {
			found = e
			break
		}
		ranking.Remove(e)
		skipped = append(skipped, e)
	}
	for _, e := range skipped {
		ranking.Push(e)
	}
	return found
}

// newRanking returns an empty ranking: endpoints with room come first, then those of the entry's own
// zone, then the least expected work for each slot.
func newRanking(o order) *heap.Heap[*endpoint] {
	less := func(a, b *endpoint) bool {
		if roomA, roomB := a.room(o) > 0, b.room(o) > 0; roomA != roomB {
			return roomA
		}
		if a.own != b.own {
			return a.own
		}
		if loadA, loadB := a.load(), b.load(); loadA != loadB {
			return loadA < loadB
		}
		return a.rank < b.rank
	}
	return &heap.Heap[*endpoint]{Less: less, Index: func(e *endpoint) *int { return &e.index[o] }}
}

// load is the expected work in flight for each slot, in seconds.
func (e *endpoint) load() float64 {
	return e.work.Seconds() / float64(max(e.limit(), 1))
}
