package peer

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// maxFarPeers is how many entries of other zones get an early report. They lend what their own zone
// does not need; their number does not grow with the fleet.
const maxFarPeers = 2

// peerSelectors select the peers that get early reports.
type peerSelectors struct {
	near, far dispatch.PeerSelector
}

// loadReply returns the load of this entry to the hub.
type loadReply struct {
	hub HubInbox
	to  recipients
}

// Push implements dispatch.LoanReportReceiver.
func (l *loadReply) Push(r dispatch.LoanReport) error {
	return l.hub.Push(loadTaken{report: r, to: l.to})
}

// reportAll reports to all peers that are due. A dispatcher that is late does not keep the reports
// back, because peers take silence for the death of this entry; they learn nothing of its load then.
func (h *Hub) reportAll() {
	if h.awaiting || !h.wantReport(allPeers) {
		h.sendReport(loadTaken{to: allPeers})
		return
	}
	h.awaiting = true
}

// wantReport asks the dispatcher for the load of this entry. It returns false when its ring is full.
func (h *Hub) wantReport(to recipients) bool {
	return h.Dispatcher.Push(dispatch.LoanReportRequested{Reply: &loadReply{hub: h.Inbox, to: to}}) == nil
}

// sendReport sends the load of this entry. The duration of what it borrows counts from now on. Only the
// selected peers are asked for slots, because each peer may lend a slot that only one request can use.
func (h *Hub) sendReport(v loadTaken) {
	now, status, view := h.Clock.Now(), h.Status.Get(), h.View.Get()
	near, far := h.byZone()
	asked := h.selectors.near.Next(near, v.report.Waiting)
	asked = append(asked, h.selectors.far.Next(far, min(v.report.Waiting, maxFarPeers))...)
	sequence := h.sent.next(now)
	f := toReport(view, status, v.report.Services, sequence)
	for _, id := range asked {
		h.send(id, f)
	}
	if v.to == askedPeers {
		h.cadence.spend(now, proto.Size(f))
		return
	}
	rest := toReport(view, status, dispatch.WithoutWanted(v.report.Services), sequence)
	for _, id := range append(near, h.dueFar(now, far, status)...) {
		if !slices.Contains(asked, id) {
			h.send(id, rest)
		}
	}
}

// dueFar returns the peers of other zones when their report is due. News of leaving VMs and of a stop
// goes to them at once.
func (h *Hub) dueFar(now time.Time, far []fleet.EntryID, status dispatch.Status) []fleet.EntryID {
	news := status.Stopping != h.toldStopping || !slices.Equal(status.Leaving, h.toldLeaving)
	h.toldStopping, h.toldLeaving = status.Stopping, status.Leaving
	if h.cadence.takeFar(now) || news {
		return far
	}
	return nil
}

// byZone returns the peers of the own zone and those of other zones, in a fixed order.
func (h *Hub) byZone() (near, far []fleet.EntryID) {
	for _, id := range slices.Sorted(maps.Keys(h.peers)) {
		if h.peers[id].zone == h.Entry.Zone {
			near = append(near, id)
		} else {
			far = append(far, id)
		}
	}
	return near, far
}

// hear notes that a peer is alive.
func (h *Hub) hear(p *knownPeer, v reported) {
	now := h.Clock.Now()
	changed := p.stopping != v.stopping || now.Sub(p.heardAt) > silence
	p.heardAt, p.stopping = now, v.stopping
	if changed {
		h.follow(now)
	}
}

// follow tells the dispatcher when other entries are alive than before.
func (h *Hub) follow(now time.Time) {
	if h.View.Get() == nil {
		// Without entry rows, other zones would seem to have no entries.
		return
	}
	if live, changed := h.live.next(now, h.Entry, h.peers, h.View.Get()); changed {
		if h.Dispatcher.Push(dispatch.EntriesChanged{Live: live}) != nil {
			// The ring is full; it is told again at the next report.
			h.live.forget()
		}
	}
}
