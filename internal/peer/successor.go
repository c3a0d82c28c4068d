package peer

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	peerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/peer/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// startHandOver starts handing the tickets of this entry over to a peer. It replies at once with an empty
// result if a hand-over is in progress.
func (h *Hub) startHandOver(v handOverRequested) {
	if h.handOver != nil {
		_ = v.reply.Push(HandOverResult{})
		return
	}
	h.handOver, h.incarnations, h.refusedBy = v.reply, v.incarnations, map[fleet.EntryID]bool{}
	h.trySuccessor()
}

// trySuccessor sends the tickets to one peer. Another one is tried only after a refusal, because a peer may
// have adopted them although its confirmation is lost.
func (h *Hub) trySuccessor() {
	h.successor = h.chooseSuccessor()
	if h.successor == "" {
		h.endHandOver("")
		return
	}
	for _, f := range toHandOver(h.incarnations) {
		if err := h.peers[h.successor].link.Send(f); err != nil {
			// Without its last frame the hand-over has no effect.
			h.Log.Error("peer: tickets could not be handed over", zap.String("peer", string(h.successor)), zap.Error(err))
			h.endHandOver("")
			return
		}
	}
}

func (h *Hub) endHandOver(to fleet.EntryID) {
	_ = h.handOver.Push(HandOverResult{To: to})
	h.handOver, h.incarnations = nil, nil
}

// checkSuccessor ends the hand-over if the successor has been silent for longer than peerTimeout.
func (h *Hub) checkSuccessor() {
	if h.handOver != nil && h.Clock.Now().Sub(h.peers[h.successor].lastSeen) > peerTimeout {
		h.endHandOver("")
	}
}

// chooseSuccessor returns a live peer that has not refused the tickets, preferably in the own zone, or an
// empty id if there is none.
func (h *Hub) chooseSuccessor() fleet.EntryID {
	var best fleet.EntryID
	for _, id := range slices.Sorted(maps.Keys(h.peers)) {
		p := h.peers[id]
		if p.lastSeen.IsZero() || p.stopping || h.refusedBy[id] || h.Clock.Now().Sub(p.lastSeen) > peerTimeout {
			continue
		}
		if best == "" || p.zone == h.Entry.Zone && h.peers[best].zone != h.Entry.Zone {
			best = id
		}
	}
	return best
}

// handleHandedOver completes the hand-over, after which requests with these tickets are forwarded to the
// successor. If the successor has refused, it tries another peer.
func (h *Hub) handleHandedOver(v handedOver) {
	if h.handOver == nil || v.entry != h.successor {
		return
	}
	if !v.accepted {
		h.refusedBy[h.successor] = true
		h.trySuccessor()
		return
	}
	for _, s := range h.incarnations {
		h.recordAdoption(s.Incarnation, h.successor)
	}
	h.publish()
	h.endHandOver(h.successor)
}

// handleAdopted announces to all peers which adopted tickets this entry redeems from now on, and answers
// the peer that handed them over.
func (h *Hub) handleAdopted(v ticketsAdopted) {
	for _, incarnation := range v.incarnations {
		h.recordAdoption(incarnation, h.Entry.ID)
		h.adopted = append(h.adopted, string(incarnation))
	}
	if extra := len(h.adopted) - maxAdoptions; extra > 0 {
		h.adopted = slices.Delete(h.adopted, 0, extra)
	}
	h.setHello()
	h.publish()
	h.sendAll(&peerv1.Frame{Message: &peerv1.Frame_Hello{Hello: h.hello.Get()}})
	confirmation := &peerv1.HandedOver{}
	if len(v.incarnations) > 0 {
		confirmation.Incarnation = string(v.incarnations[0])
	}
	h.send(v.from, &peerv1.Frame{Message: &peerv1.Frame_HandedOver{HandedOver: confirmation}})
}
