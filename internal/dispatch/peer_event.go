package dispatch

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// OutcomeReceiver takes the one outcome of a request.
type OutcomeReceiver interface {
	Push(request.Outcome) error
}

// ReportSequence counts the reports of one entry.
type ReportSequence uint64

// LoanID names a loan of slots among those of its lender.
type LoanID uint64

// ServiceLoad is the load of one service at one entry.
type ServiceLoad struct {
	Service                                fleet.ServiceID
	QueuedUrgent, QueuedNormal, QueuedLong int
	Running                                fleet.Slots
	// Wanted is how many slots the entry could use at once but lacks.
	Wanted fleet.Slots
}

// PeerReported is the state of another entry.
type PeerReported struct {
	Peer         fleet.EntryID
	Incarnation  fleet.Incarnation
	Zone         fleet.ZoneID
	Sequence     ReportSequence
	Acknowledged fleet.TableRevision
	Services     []ServiceLoad
	// Leaving holds the VMs that the peer heard to be leaving.
	Leaving  []fleet.VMID
	Stopping bool
}

// SlotLoan is a bounded number of slots that one entry lends to another.
type SlotLoan struct {
	ID LoanID
	// Report is the report of the borrower that the loan answers.
	Report    ReportSequence
	Duration  time.Duration
	Endpoints map[fleet.EndpointID]fleet.Slots
}

// SlotsLent says that a peer lends slots to this entry.
type SlotsLent struct {
	Lender fleet.EntryID
	Loan   SlotLoan
	// Until is when the loan ends, counted from the moment that this entry sent the report.
	Until time.Time
}

// SlotsReturned says that a peer gives slots of a loan back early.
type SlotsReturned struct {
	Borrower  fleet.EntryID
	Loan      LoanID
	Endpoints map[fleet.EndpointID]fleet.Slots
}

// HandOverWanted makes the dispatcher stop redeeming and asks for its tickets.
type HandOverWanted struct {
	Reply ShelfReceiver
}

// ShelfReceiver takes the tickets of a stopping entry.
type ShelfReceiver interface {
	Push([]ticket.Shelf) error
}

// TicketsHandedOver gives the tickets of a stopping peer to this entry.
type TicketsHandedOver struct {
	Shelves []ticket.Shelf
	Reply   AdoptionReceiver
}

// AdoptionReceiver takes the incarnations whose tickets this entry redeems from now on.
type AdoptionReceiver interface {
	Push([]fleet.Incarnation) error
}

func (PeerReported) isEvent()      {}
func (SlotsLent) isEvent()         {}
func (SlotsReturned) isEvent()     {}
func (HandOverWanted) isEvent()    {}
func (TicketsHandedOver) isEvent() {}

// handleTickets takes drains and tickets of peers.
func (d *Dispatcher) handleTickets(now time.Time, ev Event) {
	switch v := ev.(type) {
	case PeerReported:
		for _, vm := range v.Leaving {
			// It is not reported on, so that two entries do not keep it alive for each other.
			d.Engine.Router.SetLeaving(fleet.EndpointID(vm))
		}
	case HandOverWanted:
		_ = v.Reply.Push(d.Engine.HandOver())
	case TicketsHandedOver:
		d.Engine.Tickets.Expire(now)
		var taken []fleet.Incarnation
		for _, s := range v.Shelves {
			if d.Engine.Adopt(s) {
				taken = append(taken, s.Incarnation)
			}
		}
		_ = v.Reply.Push(taken)
	}
}
