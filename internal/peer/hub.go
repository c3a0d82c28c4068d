package peer

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
	peerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/peer/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	// MaxPeers bounds the links of an entry. At the target size there are 16 zones of 8 entries.
	MaxPeers = 128
	// peerTimeout is how long a peer without a sign of life counts as alive and may adopt tickets.
	peerTimeout = 3 * time.Second
	// maxAdoptions bounds the incarnations whose adoption is remembered.
	maxAdoptions = 1024
)

// StaticPeer is a peer listed in the settings.
type StaticPeer struct {
	ID      fleet.EntryID
	Zone    fleet.ZoneID
	Address fleet.Address
}

// Hub is the duty that owns the state of all peers. It starts a link to each peer in the settings and the
// entry rows, sends the reports and finds a successor for the tickets of this entry.
type Hub struct {
	// The fields are set before Run.
	Entry       fleet.Entry
	StaticPeers []StaticPeer
	Inbox       *ring.Ring[HubEvent]
	View        *ring.Latest[*fleet.View]
	Status      *ring.Latest[dispatch.Status]
	Directory   *ring.Latest[*Directory]
	Dialer      Dialer
	Dispatcher  DispatcherInbox
	Clock       clock.Clock
	Log         *zap.Logger
	Interval    time.Duration
	Rate        fleet.BytesPerSecond
	// Start starts the duty of a new link.
	Start func(duty.Duty)

	hello         ring.Latest[*peerv1.Hello]
	peers         map[fleet.EntryID]*knownPeer
	tickets       ticket.Directory
	adoptionOrder []fleet.Incarnation
	adopted       []string
	sent          sentReports
	cadence       cadence
	live          liveEntries
	// selectors select the peers that get early reports. reportedLeaving and reportedStopping are the state
	// last reported to all peers.
	selectors        peerSelectors
	reportedLeaving  []fleet.VMID
	reportedStopping bool
	// loadPending is set while the dispatcher has not answered for the last report to all peers.
	loadPending  bool
	handOver     HandOverReceiver
	successor    fleet.EntryID
	incarnations []ticket.IncarnationState
	// refusedBy holds the peers that refused the tickets.
	refusedBy map[fleet.EntryID]bool
}

// knownPeer is the state of one peer.
type knownPeer struct {
	link        *Link
	id          fleet.EntryID
	address     *ring.Latest[fleet.Address]
	zone        fleet.ZoneID
	incarnation fleet.Incarnation
	lastSeen    time.Time
	stopping    bool
}

// Name implements duty.Duty.
func (*Hub) Name() fleet.DutyName { return "peers" }

// Run implements duty.Duty.
func (h *Hub) Run(ctx context.Context) error {
	h.peers = map[fleet.EntryID]*knownPeer{}
	h.tickets = ticket.Directory{
		Live: map[fleet.Incarnation]fleet.EntryID{h.Entry.Incarnation: h.Entry.ID}, AdoptedBy: map[fleet.Incarnation]fleet.EntryID{},
	}
	h.setHello()
	h.refresh()
	h.publish()
	h.cadence.start(h.Clock.Now(), h.Interval, h.Rate)
	h.live.startedAt = h.Clock.Now()
	timer := h.Clock.NewTimer(h.Interval)
	defer timer.Stop()
	for {
		ev, ok, err := h.Inbox.PopUntil(ctx, timer.Chan())
		if err != nil {
			return trace.Wrap(err)
		}
		now := h.Clock.Now()
		if ok {
			h.handle(ev)
		}
		if h.cadence.isDue(now) {
			h.refresh()
			h.checkSuccessor()
			h.updateLive(now)
			h.cadence.next(now)
			h.reportAll()
		}
		if h.cadence.isEarlyDue(now) {
			h.cadence.markEarly(now)
			h.requestLoad(selectedPeers)
		}
		timer.Reset(h.cadence.wait(now))
	}
}

func (h *Hub) handle(ev HubEvent) {
	switch v := ev.(type) {
	case helloReceived:
		h.handleHello(v)
	case reportReceived:
		if p := h.peers[v.hello.entry]; p != nil {
			if p.incarnation != v.hello.incarnation {
				h.handleHello(v.hello)
			}
			h.handleReport(p, v)
		}
	case loadReceived:
		h.loadPending = h.loadPending && v.to != allPeers
		h.sendReport(v)
	case earlyReportRequested:
		h.cadence.requestEarly()
	case rowsRequested:
		if view := h.View.Get(); view != nil && view.Configuration.Revision > 0 {
			h.sendRows(v.entry, control.RowsOf(view))
		}
	case rowsRead:
		for id := range h.peers {
			h.sendRows(id, v.rows)
		}
	case loanReceived:
		h.handleLoan(v)
	case frameToAll:
		h.sendAll(v.frame)
	case frameToPeer:
		h.send(v.entry, v.frame)
	case handOverRequested:
		h.startHandOver(v)
	case ticketsAdopted:
		h.handleAdopted(v)
	case handedOver:
		h.handleHandedOver(v)
	}
}

// handleHello records which tickets a peer redeems. An entry without a configuration requests the rows of
// the peer.
func (h *Hub) handleHello(v helloReceived) {
	p := h.peers[v.entry]
	if p == nil {
		// The peer is added with its entry row, which has its address. Its reports repeat the hello.
		return
	}
	if p.incarnation != v.incarnation {
		delete(h.tickets.Live, p.incarnation)
	}
	p.incarnation, p.zone, p.lastSeen = v.incarnation, v.zone, h.Clock.Now()
	h.tickets.Live[v.incarnation] = v.entry
	for _, incarnation := range v.adopted {
		h.recordAdoption(fleet.Incarnation(incarnation), v.entry)
	}
	h.publish()
	if view := h.View.Get(); view == nil || view.Configuration.Revision == 0 {
		h.send(v.entry, &peerv1.Frame{Message: &peerv1.Frame_RowsWanted{RowsWanted: &peerv1.RowsWanted{}}})
	}
}

func (h *Hub) recordAdoption(incarnation fleet.Incarnation, by fleet.EntryID) {
	if _, known := h.tickets.AdoptedBy[incarnation]; !known {
		h.adoptionOrder = append(h.adoptionOrder, incarnation)
	}
	h.tickets.AdoptedBy[incarnation] = by
	if len(h.adoptionOrder) > maxAdoptions {
		delete(h.tickets.AdoptedBy, h.adoptionOrder[0])
		h.adoptionOrder = slices.Delete(h.adoptionOrder, 0, 1)
	}
}

// handleLoan passes a loan to the dispatcher. The duration of the loan counts from the time at which the
// report that requested it was sent, so that the loan ends here before it ends at the lender.
func (h *Hub) handleLoan(v loanReceived) {
	if at, ok := h.sent.timeOf(v.loan.Report); ok {
		_ = h.Dispatcher.Push(dispatch.SlotsLent{Lender: v.entry, Loan: v.loan, ReportedAt: at})
	}
}

// refresh starts links to new peers and updates changed addresses.
func (h *Hub) refresh() {
	before := len(h.peers)
	for _, n := range h.StaticPeers {
		h.ensurePeer(n.ID, n.Zone, n.Address)
	}
	if view := h.View.Get(); view != nil {
		for id, e := range view.Entries {
			h.ensurePeer(id, e.Zone, e.PeerAddress)
		}
	}
	if len(h.peers) != before {
		h.publish()
	}
}

func (h *Hub) ensurePeer(id fleet.EntryID, zone fleet.ZoneID, address fleet.Address) {
	if id == h.Entry.ID || address == "" {
		return
	}
	p := h.peers[id]
	if p == nil {
		if len(h.peers) >= MaxPeers {
			return
		}
		p = &knownPeer{id: id, address: &ring.Latest[fleet.Address]{}, zone: zone}
		p.address.Set(address)
		p.link = &Link{Peer: id, Address: p.address, Hello: &h.hello, Dialer: h.Dialer, Clock: h.Clock, Log: h.Log, Rate: h.Rate}
		p.link.Prepare()
		h.peers[id] = p
		h.Start(p.link)
	}
	if p.address.Get() != address {
		p.address.Set(address)
	}
}

func (h *Hub) setHello() {
	h.hello.Set(&peerv1.Hello{
		Entry: string(h.Entry.ID), Incarnation: string(h.Entry.Incarnation), Zone: string(h.Entry.Zone), TookOver: slices.Clone(h.adopted),
	})
}

func (h *Hub) publish() {
	d := &Directory{
		Own:     h.Entry.ID,
		Tickets: &ticket.Directory{Live: maps.Clone(h.tickets.Live), AdoptedBy: maps.Clone(h.tickets.AdoptedBy)},
		links:   map[fleet.EntryID]*Link{},
	}
	for id, p := range h.peers {
		d.links[id] = p.link
	}
	h.Directory.Set(d)
}

// send queues a frame for a peer. The frame is dropped if the queue of the link is full: reports are
// repeated, rows are also read from the table, loans expire, and requests end by their deadlines.
func (h *Hub) send(id fleet.EntryID, f *peerv1.Frame) {
	if p := h.peers[id]; p != nil {
		_ = p.link.Send(f)
	}
}

func (h *Hub) sendAll(f *peerv1.Frame) {
	for id := range h.peers {
		h.send(id, f)
	}
}

func (h *Hub) sendRows(id fleet.EntryID, rows control.PeerRows) {
	for _, f := range toRows(rows) {
		h.send(id, f)
	}
}
