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

// Directory is the view of the peers that the hub publishes. It is immutable.
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

// Forwarder sends requests, cancellations, loans, rows and tickets to other entries. It is safe for
// concurrent use.
type Forwarder struct {
	// The fields are set before use.
	Directory *ring.Latest[*Directory]
	Hub       HubInbox
}

// Forward forwards a request to the entry that redeems its ticket. It returns false if this entry redeems
// the ticket, or if no holder is known, in which case this entry can only answer unknown.
func (f *Forwarder) Forward(r *request.Request, reply dispatch.OutcomeReceiver) bool {
	d := f.Directory.Get()
	if d == nil {
		return false
	}
	holder, ok := d.Tickets.Holder(r.Ticket)
	if !ok {
		// An entry that has just started may not have received the issuer's hello yet. The issuer itself
		// knows which entry redeems the ticket.
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
		// An earlier copy of the request may have run there, so the outcome is unknown.
		_ = reply.Push(request.Unknown(request.ReasonIssuerUnreachable))
	}
	return true
}

// Cancel sends a cancellation to all peers.
func (f *Forwarder) Cancel(c dispatch.CancellationRequested) error {
	return trace.Wrap(f.Hub.Push(frameToAll{frame: toCancel(c)}))
}

// Lend sends a loan of slots to its borrower.
func (f *Forwarder) Lend(borrower fleet.EntryID, l dispatch.SlotLoan) error {
	return trace.Wrap(f.Hub.Push(frameToPeer{entry: borrower, frame: toSlotLoan(l)}))
}

// Return returns slots of a loan to their lender.
func (f *Forwarder) Return(lender fleet.EntryID, loan dispatch.LoanID, slots map[fleet.EndpointID]fleet.Slots) error {
	return trace.Wrap(f.Hub.Push(frameToPeer{entry: lender, frame: toSlotReturn(loan, slots)}))
}

// ReportSoon requests a report before the next one is due.
func (f *Forwarder) ReportSoon() error { return trace.Wrap(f.Hub.Push(earlyReportRequested{})) }

// HandOver requests a hand-over of the tickets to a peer.
func (f *Forwarder) HandOver(incarnations []ticket.IncarnationState, reply HandOverReceiver) error {
	return trace.Wrap(f.Hub.Push(handOverRequested{incarnations: incarnations, reply: reply}))
}

// Waiting returns the number of forwarded requests that have no outcome yet.
func (f *Forwarder) Waiting() int {
	n := 0
	if d := f.Directory.Get(); d != nil {
		for _, l := range d.links {
			n += l.Waiting()
		}
	}
	return n
}

// PushRows implements control.RowReceiver. Rows are dropped if the ring of the hub is full; the peers read
// them from the table.
func (f *Forwarder) PushRows(rows control.PeerRows) {
	_ = f.Hub.Push(rowsRead{rows: rows})
}

// sentReports records when the last reports were sent.
type sentReports struct {
	times [64]time.Time
	last  dispatch.ReportSequence
}

func (s *sentReports) next(now time.Time) dispatch.ReportSequence {
	s.last++
	s.times[int(s.last)%len(s.times)] = now
	return s.last
}

// timeOf returns when a report was sent, or false if it is too old or was never sent.
func (s *sentReports) timeOf(sequence dispatch.ReportSequence) (time.Time, bool) {
	if sequence == 0 || sequence > s.last || s.last-sequence >= dispatch.ReportSequence(len(s.times)) {
		return time.Time{}, false
	}
	return s.times[int(sequence)%len(s.times)], true
}
