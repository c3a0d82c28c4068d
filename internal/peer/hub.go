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
	// MaxPeers bounds the links of an entry.
	// At the target size there are 16 zones of 8 entries.
	MaxPeers = 128
	// silence is how long a peer may say nothing until it takes no tickets over.
	silence = 3 * time.Second
	// maxTakenOver bounds what is remembered of tickets that were taken over.
	maxTakenOver = 1024
)

// Neighbor is a peer known at start.
type Neighbor struct {
	ID      fleet.EntryID
	Zone    fleet.ZoneID
	Address fleet.Address
}

// Hub is the duty that owns what this entry knows of its peers. It starts a link for each peer of the
// settings and of the entry rows, sends the reports and finds an heir for the tickets.
type Hub struct {
	// The fields are set before Run.
	Entry      fleet.Entry
	Neighbors  []Neighbor
	Inbox      *ring.Ring[HubEvent]
	View       *ring.Latest[*fleet.View]
	Status     *ring.Latest[dispatch.Status]
	Directory  *ring.Latest[*Directory]
	Dialer     Dialer
	Dispatcher DispatcherInbox
	Clock      clock.Clock
	Log        *zap.Logger
	Interval   time.Duration
	Rate       fleet.BytesPerSecond
	// Start runs the duty of a new link.
	Start func(duty.Duty)

	hello   ring.Latest[*peerv1.Hello]
	peers   map[fleet.EntryID]*knownPeer
	tickets ticket.Directory
	order   []fleet.Incarnation
	adopted []string
	sent    sentReports
	cadence cadence
	live    liveEntries
	// selectors select the peers that get early reports; toldLeaving and toldStopping are what all peers
	// know.
	selectors    peerSelectors
	toldLeaving  []fleet.VMID
	toldStopping bool
	// awaiting says that the dispatcher has not answered for the last report to all peers yet.
	awaiting     bool
	handOver     HandOverReceiver
	heir         fleet.EntryID
	incarnations []ticket.IncarnationState
	// refusedBy holds the peers that refused the tickets.
	refusedBy map[fleet.EntryID]bool
}

// knownPeer is what the hub knows of one peer.
type knownPeer struct {
	link        *Link
	id          fleet.EntryID
	address     *ring.Latest[fleet.Address]
	zone        fleet.ZoneID
	incarnation fleet.Incarnation
	heardAt     time.Time
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
			h.checkHeir()
			h.follow(now)
			h.cadence.next(now)
			h.reportAll()
		}
		if h.cadence.isEarlyDue(now) {
			h.cadence.early(now)
			h.wantReport(askedPeers)
		}
		timer.Reset(h.cadence.wait(now))
	}
}

func (h *Hub) handle(ev HubEvent) {
	switch v := ev.(type) {
	case heard:
		h.takeHello(v)
	case reported:
		if p := h.peers[v.hello.entry]; p != nil {
			if p.incarnation != v.hello.incarnation {
				h.takeHello(v.hello)
			}
			h.hear(p, v)
		}
	case loadTaken:
		h.awaiting = h.awaiting && v.to != allPeers
		h.sendReport(v)
	case reportSoon:
		h.cadence.hurry()
	case rowsWanted:
		if view := h.View.Get(); view != nil && view.Configuration.Revision > 0 {
			h.sendRows(v.entry, control.RowsOf(view))
		}
	case rowsRead:
		for id := range h.peers {
			h.sendRows(id, v.rows)
		}
	case lent:
		h.takeLoan(v)
	case toAll:
		h.sendAll(v.frame)
	case toOne:
		h.send(v.entry, v.frame)
	case handOverRequested:
		h.startHandOver(v)
	case adopted:
		h.takeAdopted(v)
	case handedOver:
		h.takeHandedOver(v)
	}
}

// takeHello learns who redeems which tickets.
func (h *Hub) takeHello(v heard) {
	p := h.peers[v.entry]
	if p == nil {
		// Its address comes with its row, and its reports repeat the hello.
		return
	}
	if p.incarnation != v.incarnation {
		delete(h.tickets.Live, p.incarnation)
	}
	p.incarnation, p.zone, p.heardAt = v.incarnation, v.zone, h.Clock.Now()
	h.tickets.Live[v.incarnation] = v.entry
	for _, incarnation := range v.tookOver {
		h.recordAdoption(fleet.Incarnation(incarnation), v.entry)
	}
	h.publish()
	if view := h.View.Get(); view == nil || view.Configuration.Revision == 0 {
		h.send(v.entry, &peerv1.Frame{Message: &peerv1.Frame_RowsWanted{RowsWanted: &peerv1.RowsWanted{}}})
	}
}

func (h *Hub) recordAdoption(incarnation fleet.Incarnation, by fleet.EntryID) {
	if _, known := h.tickets.AdoptedBy[incarnation]; !known {
		h.order = append(h.order, incarnation)
	}
	h.tickets.AdoptedBy[incarnation] = by
	if len(h.order) > maxTakenOver {
		delete(h.tickets.AdoptedBy, h.order[0])
		h.order = slices.Delete(h.order, 0, 1)
	}
}

// takeLoan passes a loan on. Its duration counts from the moment that the report which asked for it was
// sent, so that it ends here before it ends at the lender.
func (h *Hub) takeLoan(v lent) {
	if at, ok := h.sent.when(v.loan.Report); ok {
		_ = h.Dispatcher.Push(dispatch.SlotsLent{Lender: v.entry, Loan: v.loan, ReportedAt: at})
	}
}

// refresh starts links to new peers and follows changes of addresses.
func (h *Hub) refresh() {
	before := len(h.peers)
	for _, n := range h.Neighbors {
		h.know(n.ID, n.Zone, n.Address)
	}
	if view := h.View.Get(); view != nil {
		for id, e := range view.Entries {
			h.know(id, e.Zone, e.PeerAddress)
		}
	}
	if len(h.peers) != before {
		h.publish()
	}
}

func (h *Hub) know(id fleet.EntryID, zone fleet.ZoneID, address fleet.Address) {
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

// send queues a frame for a peer. A frame for which there is no room is lost; reports and rows come
// again, and requests are answered unknown by their deadline.
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
