package peer

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// maxFarPeers bounds the entries of other zones that get an early report. They lend slots that their own
// zone does not need. The bound does not grow with the fleet.
const maxFarPeers = 2

// peerSelectors select the peers of the own zone and of other zones that get early reports.
type peerSelectors struct {
	near, far dispatch.PeerSelector
}

// loadReply passes the load of this entry to the hub.
type loadReply struct {
	hub HubInbox
	to  recipients
}

// Push implements dispatch.LoanReportReceiver.
func (l *loadReply) Push(r dispatch.LoanReport) error {
	return l.hub.Push(loadReceived{report: r, to: l.to})
}

// reportAll starts a report to all peers to which one is due. If the dispatcher has not answered for the
// last report or its ring is full, it sends a report without the load, because peers regard an entry
// without reports as dead.
func (h *Hub) reportAll() {
	if h.loadPending || !h.requestLoad(allPeers) {
		h.sendReport(loadReceived{to: allPeers})
		return
	}
	h.loadPending = true
}

// requestLoad requests the load of this entry from the dispatcher. It returns false if its ring is full.
func (h *Hub) requestLoad(to recipients) bool {
	return h.Dispatcher.Push(dispatch.LoanReportRequested{Reply: &loadReply{hub: h.Inbox, to: to}}) == nil
}

// sendReport sends the load of this entry to peers. The duration of loans granted in answer counts from
// now. Only the selected peers are asked for slots, because each peer may lend a slot that only one request
// can use.
func (h *Hub) sendReport(v loadReceived) {
	now, status, view := h.Clock.Now(), h.Status.Get(), h.View.Get()
	near, far := h.splitByZone()
	selected := h.selectors.near.Next(near, v.report.Waiting)
	selected = append(selected, h.selectors.far.Next(far, min(v.report.Waiting, maxFarPeers))...)
	sequence := h.sent.next(now)
	f := toReport(view, status, v.report.Services, sequence)
	for _, id := range selected {
		h.send(id, f)
	}
	if v.to == selectedPeers {
		h.cadence.consume(now, proto.Size(f))
		return
	}
	rest := toReport(view, status, dispatch.WithoutWanted(v.report.Services), sequence)
	for _, id := range append(near, h.dueFar(now, far, status)...) {
		if !slices.Contains(selected, id) {
			h.send(id, rest)
		}
	}
}

// dueFar returns the peers of other zones if a report to them is due, which is at once when the leaving VMs
// or the stopping state have changed.
func (h *Hub) dueFar(now time.Time, far []fleet.EntryID, status dispatch.Status) []fleet.EntryID {
	changed := status.Stopping != h.reportedStopping || !slices.Equal(status.Leaving, h.reportedLeaving)
	h.reportedStopping, h.reportedLeaving = status.Stopping, status.Leaving
	if h.cadence.includeFar(now) || changed {
		return far
	}
	return nil
}

// splitByZone returns the peers of the own zone and those of other zones, ordered by id.
func (h *Hub) splitByZone() (near, far []fleet.EntryID) {
	for _, id := range slices.Sorted(maps.Keys(h.peers)) {
		if h.peers[id].zone == h.Entry.Zone {
			near = append(near, id)
		} else {
			far = append(far, id)
		}
	}
	return near, far
}

// handleReport records that a peer is alive.
func (h *Hub) handleReport(p *knownPeer, v reportReceived) {
	now := h.Clock.Now()
	changed := p.stopping != v.stopping || now.Sub(p.lastSeen) > peerTimeout
	p.lastSeen, p.stopping = now, v.stopping
	if changed {
		h.updateLive(now)
	}
}

// updateLive notifies the dispatcher if the live entries have changed.
func (h *Hub) updateLive(now time.Time) {
	if h.View.Get() == nil {
		// Without entry rows, other zones would seem to have no entries.
		return
	}
	if live, changed := h.live.update(now, h.Entry, h.peers, h.View.Get()); changed {
		if h.Dispatcher.Push(dispatch.EntriesChanged{Live: live}) != nil {
			// The ring is full; the next update notifies it again.
			h.live.invalidate()
		}
	}
}
