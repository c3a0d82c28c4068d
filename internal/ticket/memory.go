package ticket

import (
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// recordState distinguishes a ticket whose request is in progress from one whose outcome is recorded.
type recordState string

// States of a redeemed ticket.
const (
	recordStateRunning recordState = "running"
	recordStateEnded   recordState = "ended"
)

// record is the state of a redeemed ticket.
type record struct {
	id      ID
	account fleet.ClientAccountID
	expires time.Time
	state   recordState
	// outcome is set when state is recordStateEnded.
	outcome request.Outcome
	// evicted is set once the book no longer holds the record.
	evicted bool
}

// recordBytes is the estimated memory of a record without its fields of variable length.
const recordBytes = 256

func (r *record) size() fleet.Bytes {
	return fleet.Bytes(recordBytes + len(r.outcome.Body) + len(r.outcome.FreshTicket) + len(r.outcome.Detail))
}

// outcomeCache orders the records of ended tickets for eviction and accounts for the memory of all records.
type outcomeCache struct {
	// ended is ordered by expiry, the earliest first.
	ended []*record
	// bodies holds the answers with a body, the oldest first. It may contain evicted records.
	bodies []*record
	bytes  fleet.Bytes
}

// add inserts a record that has ended. first is false for a late answer, whose record is in the cache already.
func (c *outcomeCache) add(r *record, first bool) {
	if first {
		at, _ := slices.BinarySearchFunc(c.ended, r, func(a, b *record) int { return a.expires.Compare(b.expires) })
		c.ended = slices.Insert(c.ended, at, r)
	}
	for len(c.bodies) > 0 && c.bodies[0].evicted {
		c.bodies[0], c.bodies = nil, c.bodies[1:]
	}
	if len(r.outcome.Body) > 0 {
		c.bodies = append(c.bodies, r)
	}
}

// dropBody drops the oldest answer with a body and sets its outcome to unknown. It returns false when there
// is none.
func (c *outcomeCache) dropBody() bool {
	for len(c.bodies) > 0 {
		r := c.bodies[0]
		c.bodies[0], c.bodies = nil, c.bodies[1:]
		if r.evicted {
			continue
		}
		c.bytes -= r.size()
		r.outcome = request.Outcome{Kind: request.OutcomeUnknown, Reason: request.ReasonOutcomeDropped}
		c.bytes += r.size()
		return true
	}
	return false
}
