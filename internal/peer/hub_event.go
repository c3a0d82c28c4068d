package peer

import (
	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
	peerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/peer/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// HubEvent is an input of the hub.
type HubEvent interface{ isHubEvent() }

// helloReceived is the hello of a peer.
type helloReceived struct {
	entry       fleet.EntryID
	incarnation fleet.Incarnation
	zone        fleet.ZoneID
	adopted     []string
}

// reportReceived is the report of a peer, which shows that the peer is alive. It repeats the hello, which
// may have come before the peer's address was known.
type reportReceived struct {
	hello    helloReceived
	stopping bool
}

// earlyReportRequested requests a report about waiting work before the next one is due.
type earlyReportRequested struct{}

// loadReceived is the load of this entry, for a report to the given peers.
type loadReceived struct {
	report dispatch.LoanReport
	to     recipients
}

// recipients selects the peers that get a report.
type recipients string

// Recipients of a report.
const (
	// allPeers are the peers of the own zone, and those of other zones if a report to them is due.
	allPeers recipients = "all"
	// selectedPeers are the peers that are asked to lend slots.
	selectedPeers recipients = "asked"
)

// rowsRequested is the request of a peer for all rows.
type rowsRequested struct{ entry fleet.EntryID }

// loanReceived is a loan of slots to this entry.
type loanReceived struct {
	entry fleet.EntryID
	loan  dispatch.SlotLoan
}

// ticketsAdopted lists the incarnations of a stopping peer whose tickets the dispatcher adopted. It is
// empty if the dispatcher refused them.
type ticketsAdopted struct {
	from         fleet.EntryID
	incarnations []fleet.Incarnation
}

// handedOver is the answer of a peer to a hand-over: whether it adopted the tickets of this entry.
type handedOver struct {
	entry    fleet.EntryID
	accepted bool
}

// rowsRead holds rows to send to all peers.
type rowsRead struct{ rows control.PeerRows }

// frameToAll is a frame for all peers; frameToPeer is a frame for one.
type frameToAll struct{ frame *peerv1.Frame }

type frameToPeer struct {
	entry fleet.EntryID
	frame *peerv1.Frame
}

// handOverRequested requests a hand-over of the tickets of this entry to a peer.
type handOverRequested struct {
	incarnations []ticket.IncarnationState
	reply        HandOverReceiver
}

// HandOverReceiver receives the result of a hand-over.
type HandOverReceiver interface {
	Push(HandOverResult) error
}

// HandOverResult names the peer that adopted the tickets of this entry.
type HandOverResult struct {
	// To is empty if no peer has confirmed the adoption.
	To fleet.EntryID
}

func (helloReceived) isHubEvent()        {}
func (reportReceived) isHubEvent()       {}
func (rowsRequested) isHubEvent()        {}
func (earlyReportRequested) isHubEvent() {}
func (loadReceived) isHubEvent()         {}
func (loanReceived) isHubEvent()         {}
func (ticketsAdopted) isHubEvent()       {}
func (handedOver) isHubEvent()           {}
func (rowsRead) isHubEvent()             {}
func (frameToAll) isHubEvent()           {}
func (frameToPeer) isHubEvent()          {}
func (handOverRequested) isHubEvent()    {}
