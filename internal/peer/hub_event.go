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

// heard is the hello of a peer.
type heard struct {
	entry       fleet.EntryID
	incarnation fleet.Incarnation
	zone        fleet.ZoneID
	tookOver    []string
}

// reported says that a peer is alive. It repeats the hello, which may have come before the peer's
// address was known.
type reported struct {
	hello    heard
	stopping bool
}

// reportSoon says that peers should learn of waiting work before the next report is due.
type reportSoon struct{}

// loadTaken is the load of this entry, for a report to some peers.
type loadTaken struct {
	report dispatch.LoanReport
	to     recipients
}

// recipients says which peers get a report.
type recipients string

// Recipients of a report.
const (
	// allPeers are the peers of the own zone, and those of other zones when their report is due.
	allPeers recipients = "all"
	// askedPeers are some peers that may lend slots.
	askedPeers recipients = "asked"
)

// rowsWanted is the wish of a peer for all rows.
type rowsWanted struct{ entry fleet.EntryID }

// lent is a loan of slots to this entry.
type lent struct {
	entry fleet.EntryID
	loan  dispatch.SlotLoan
}

// adopted says which tickets of a stopping peer the dispatcher took over.
type adopted struct {
	from         fleet.EntryID
	incarnations []fleet.Incarnation
}

// handedOver says whether a peer took the tickets of this entry over.
type handedOver struct {
	entry fleet.EntryID
	taken bool
}

// rowsRead are rows for all peers.
type rowsRead struct{ rows control.PeerRows }

// toAll is a frame for all peers; toOne is a frame for one.
type toAll struct{ frame *peerv1.Frame }

type toOne struct {
	entry fleet.EntryID
	frame *peerv1.Frame
}

// handOverRequested asks the hub to hand the tickets of this entry over to a peer.
type handOverRequested struct {
	incarnations []ticket.IncarnationState
	reply        HandOverReceiver
}

// HandOverReceiver learns who took the tickets of this entry over, or that there was nobody.
type HandOverReceiver interface {
	Push(HandOverResult) error
}

// HandOverResult is what a hand-over came to.
type HandOverResult struct {
	// To is empty when no peer could take the tickets over.
	To fleet.EntryID
}

func (heard) isHubEvent()             {}
func (reported) isHubEvent()          {}
func (rowsWanted) isHubEvent()        {}
func (reportSoon) isHubEvent()        {}
func (loadTaken) isHubEvent()         {}
func (lent) isHubEvent()              {}
func (adopted) isHubEvent()           {}
func (handedOver) isHubEvent()        {}
func (rowsRead) isHubEvent()          {}
func (toAll) isHubEvent()             {}
func (toOne) isHubEvent()             {}
func (handOverRequested) isHubEvent() {}
