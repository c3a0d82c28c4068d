package peer

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// UnknownPeerError reports an entry to which there is no link.
type UnknownPeerError struct {
	Peer fleet.EntryID
}

// Error implements error.
func (e *UnknownPeerError) Error() string { return "no link to entry " + string(e.Peer) }

// Directory is what the hub publishes about the peers. It is never modified.
type Directory struct {
	Own     fleet.EntryID
	Tickets *ticket.Directory
	links   map[fleet.EntryID]*Link
}

func (d *Directory) link(id fleet.EntryID) *Link {
	if d == nil {
		return nil
	}
	return d.links[id]
}

// Forwarder passes ticketed requests to the entries that redeem their tickets. It is safe for
// concurrent use.
type Forwarder struct {
	// The fields are set before use.
	Directory *ring.Latest[*Directory]
	Hub       HubInbox
}

// Forward passes a request to the entry that redeems its ticket. It returns false when this entry
// redeems the ticket, or when the holder is not known and this entry can tell no more than unknown.
func (f *Forwarder) Forward(r *request.Request, reply dispatch.OutcomeReceiver) bool {
	d := f.Directory.Get()
	if d == nil {
		return false
	}
	holder, ok := d.Tickets.Holder(r.Ticket)
	if !ok {
		// The issuer may not have said hello yet, to an entry that has just started. It knows best.
		t, err := ticket.Decode(r.Ticket)
		if err != nil || d.link(t.Issuer) == nil {
			return false
		}
		holder = t.Issuer
	}
	if holder == d.Own {
		return false
	}
	link := d.link(holder)
	if link == nil || link.Forward(r, reply) != nil {
		// An earlier copy of the request may have run there, so nothing else is true.
		_ = reply.Push(request.Unknown(request.ReasonIssuerUnreachable))
	}
	return true
}

// Cancel passes a cancellation to all peers.
func (f *Forwarder) Cancel(c dispatch.CancelRequested) error {
	return trace.Wrap(f.Hub.Push(toAll{frame: toCancel(c)}))
}

// Lend passes a loan of slots to its borrower.
func (f *Forwarder) Lend(borrower fleet.EntryID, l dispatch.SlotLoan) error {
	return trace.Wrap(f.Hub.Push(toOne{entry: borrower, frame: toSlotLoan(l)}))
}

// Return gives slots of a loan back to their lender.
func (f *Forwarder) Return(lender fleet.EntryID, loan dispatch.LoanID, slots map[fleet.EndpointID]fleet.Slots) error {
	return trace.Wrap(f.Hub.Push(toOne{entry: lender, frame: toSlotReturn(loan, slots)}))
}

// ReportSoon asks for a report before the next one is due.
func (f *Forwarder) ReportSoon() error { return trace.Wrap(f.Hub.Push(reportSoon{})) }

// HandOver asks for a peer that takes the tickets over.
func (f *Forwarder) HandOver(incarnations []ticket.IncarnationState, reply HandOverReceiver) error {
	return trace.Wrap(f.Hub.Push(handOverRequested{incarnations: incarnations, reply: reply}))
}

// Waiting returns how many forwarded requests wait for their outcome.
func (f *Forwarder) Waiting() int {
	n := 0
	if d := f.Directory.Get(); d != nil {
		for _, l := range d.links {
			n += l.Waiting()
		}
	}
	return n
}

// PushRows implements control.RowReceiver. Rows for which there is no room are lost; the peers read
// them from the table soon.
func (f *Forwarder) PushRows(rows control.PeerRows) {
	_ = f.Hub.Push(rowsRead{rows: rows})
}

// sentReports remembers when the last reports were sent.
type sentReports struct {
	at   [64]time.Time
	last dispatch.ReportSequence
}

func (s *sentReports) next(now time.Time) dispatch.ReportSequence {
	s.last++
	s.at[int(s.last)%len(s.at)] = now
	return s.last
}

// when returns when a report was sent, or false for one that is too old or was never sent.
func (s *sentReports) when(sequence dispatch.ReportSequence) (time.Time, bool) {
	if sequence == 0 || sequence > s.last || s.last-sequence >= dispatch.ReportSequence(len(s.at)) {
		return time.Time{}, false
	}
	return s.at[int(sequence)%len(s.at)], true
}
