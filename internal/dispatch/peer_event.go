package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/routing"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// OutcomeReceiver receives the single outcome of a request.
type OutcomeReceiver interface {
	Push(request.Outcome) error
}

// ReportSequence counts the reports of one entry.
type ReportSequence uint64

// LoanID identifies a loan of slots among those of its lender.
type LoanID uint64

// ServiceLoad is the load of one service at one entry.
type ServiceLoad struct {
	Service                                fleet.ServiceID
	QueuedUrgent, QueuedNormal, QueuedLong int
	Running                                fleet.Slots
	// Wanted is how many slots the entry requests from the receiver of the report.
	Wanted fleet.Slots
}

// ServiceStatus is the load of one service at this entry, for the status page.
type ServiceStatus struct {
	ServiceLoad
	// Ejected counts the endpoints that are ejected or being probed because their requests failed.
	Ejected int
	// ShortWaitP99 is the 99th percentile of the recent waits of short work.
	ShortWaitP99 time.Duration
}

// PeerReported is a report of another entry about its state.
type PeerReported struct {
	Peer         fleet.EntryID
	Incarnation  fleet.Incarnation
	Zone         fleet.ZoneID
	Sequence     ReportSequence
	Acknowledged fleet.TableRevision
	Services     []ServiceLoad
	// Leaving lists the VMs whose endpoints reported to the peer that they are leaving.
	Leaving  []fleet.VMID
	Stopping bool
}

// SlotLoan is a loan of slots from one entry to another for a limited time.
type SlotLoan struct {
	ID LoanID
	// Report is the report of the borrower that the loan answers.
	Report    ReportSequence
	Duration  time.Duration
	Endpoints map[fleet.EndpointID]fleet.Slots
}

// SlotsLent reports that a peer lends slots to this entry.
type SlotsLent struct {
	Lender fleet.EntryID
	Loan   SlotLoan
	// ReportedAt is when this entry sent the report that the loan answers.
	ReportedAt time.Time
}

// SlotsReturned reports that a peer gives slots of a loan back early.
type SlotsReturned struct {
	Borrower  fleet.EntryID
	Loan      LoanID
	Endpoints map[fleet.EndpointID]fleet.Slots
}

// HandOverRequested makes the dispatcher stop redeeming tickets and requests its tickets for a hand-over.
type HandOverRequested struct {
	Reply IncarnationStateReceiver
}

// IncarnationStateReceiver receives the tickets of a stopping entry, by incarnation.
type IncarnationStateReceiver interface {
	Push([]ticket.IncarnationState) error
}

// TicketsHandedOver transfers the tickets of a stopping peer to this entry.
type TicketsHandedOver struct {
	Incarnations []ticket.IncarnationState
	Reply        AdoptionReceiver
}

// AdoptionReceiver receives the incarnations whose tickets this entry redeems from now on.
type AdoptionReceiver interface {
	Push([]fleet.Incarnation) error
}

func (PeerReported) isEvent()      {}
func (SlotsLent) isEvent()         {}
func (SlotsReturned) isEvent()     {}
func (HandOverRequested) isEvent() {}
func (TicketsHandedOver) isEvent() {}

// toLoans converts a message to loans, one for each endpoint.
func toLoans(lender, borrower fleet.EntryID, number LoanID, duration time.Duration, endpoints map[fleet.EndpointID]fleet.Slots) []routing.Loan {
	var list []routing.Loan
	for _, id := range slices.Sorted(maps.Keys(endpoints)) {
		list = append(list, routing.Loan{
			Lender: lender, Borrower: borrower, Endpoint: id, Slots: endpoints[id], Number: routing.LoanNumber(number), Duration: duration,
		})
	}
	return list
}

// toSlotLoan converts the loans of one grant to a message.
func toSlotLoan(l LoanGrant) SlotLoan {
	m := SlotLoan{Report: l.Report, Endpoints: map[fleet.EndpointID]fleet.Slots{}}
	for _, loan := range l.Loans {
		m.ID, m.Duration = LoanID(loan.Number), loan.Duration
		m.Endpoints[loan.Endpoint] = loan.Slots
	}
	return m
}

// handleTickets handles the events of a ticket hand-over.
func (d *Dispatcher) handleTickets(now time.Time, ev Event) {
	switch v := ev.(type) {
	case HandOverRequested:
		_ = v.Reply.Push(d.Engine.HandOver())
	case TicketsHandedOver:
		d.Engine.Tickets.Expire(now)
		var adopted []fleet.Incarnation
		for _, s := range v.Incarnations {
			if d.Engine.Adopt(s) {
				adopted = append(adopted, s.Incarnation)
			}
		}
		_ = v.Reply.Push(adopted)
	}
}
