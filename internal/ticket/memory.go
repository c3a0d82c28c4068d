package ticket

import (
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// recordState tells a ticket whose request is under way from one whose outcome is known.
type recordState string

// States of a redeemed ticket.
const (
	recordStateRunning recordState = "running"
	recordStateEnded   recordState = "ended"
)

// record remembers a redeemed ticket.
type record struct {
	name    Name
	account fleet.ClientAccountID
	expires time.Time
	state   recordState
	// outcome is set when state is recordStateEnded.
	outcome request.Outcome
	// forgotten says that the book no longer holds the record.
	forgotten bool
}

// recordBytes is an estimate of the memory of a record without its texts.
const recordBytes = 256

func (r *record) size() fleet.Bytes {
	return fleet.Bytes(recordBytes + len(r.outcome.Body) + len(r.outcome.FreshTicket) + len(r.outcome.Detail))
}

// memory orders the ended tickets of a book and accounts for the bytes of all of them.
type memory struct {
	// ended is ordered by expiry, the earliest first.
	ended []*record
	// bodies holds the answers with a body, the oldest first. It may name forgotten records.
	bodies []*record
	bytes  fleet.Bytes
}

// keep takes a record that has ended, for the first time or with a late answer.
func (m *memory) keep(r *record, first bool) {
	if first {
		at, _ := slices.BinarySearchFunc(m.ended, r, func(a, b *record) int { return a.expires.Compare(b.expires) })
		m.ended = slices.Insert(m.ended, at, r)
	}
	for len(m.bodies) > 0 && m.bodies[0].forgotten {
		m.bodies[0], m.bodies = nil, m.bodies[1:]
	}
	if len(r.outcome.Body) > 0 {
		m.bodies = append(m.bodies, r)
	}
}

// dropBody makes the oldest answer with a body unknown. It returns false when there is none.
func (m *memory) dropBody() bool {
	for len(m.bodies) > 0 {
		r := m.bodies[0]
		m.bodies[0], m.bodies = nil, m.bodies[1:]
		if r.forgotten {
			continue
		}
		m.bytes -= r.size()
		r.outcome = request.Outcome{Kind: request.OutcomeUnknown, Reason: request.ReasonOutcomeDropped}
		m.bytes += r.size()
		return true
	}
	return false
}
