package peer

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	peerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/peer/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// startHandOver looks for a peer that takes the tickets over.
func (h *Hub) startHandOver(v handOverRequested) {
	if h.handOver != nil {
		_ = v.reply.Push(HandOverResult{})
		return
	}
	h.handOver, h.incarnations, h.refusedBy = v.reply, v.incarnations, map[fleet.EntryID]bool{}
	h.tryHeir()
}

// tryHeir sends the tickets to one peer. Another one is tried only after a refusal, because a peer may
// have taken them over although its confirmation is lost.
func (h *Hub) tryHeir() {
	h.heir = h.chooseHeir()
	if h.heir == "" {
		h.endHandOver("")
		return
	}
	for _, f := range toHandOver(h.incarnations) {
		if err := h.peers[h.heir].link.Send(f); err != nil {
			// Without its last frame the hand-over has no effect.
			h.Log.Error("peer: tickets were not handed over", zap.String("peer", string(h.heir)), zap.Error(err))
			h.endHandOver("")
			return
		}
	}
}

func (h *Hub) endHandOver(to fleet.EntryID) {
	_ = h.handOver.Push(HandOverResult{To: to})
	h.handOver, h.incarnations = nil, nil
}

// checkHeir ends the wait for a peer that is silent.
func (h *Hub) checkHeir() {
	if h.handOver != nil && h.Clock.Now().Sub(h.peers[h.heir].heardAt) > silence {
		h.endHandOver("")
	}
}

// chooseHeir returns a live peer, of the own zone when there is one, or nothing.
func (h *Hub) chooseHeir() fleet.EntryID {
	var best fleet.EntryID
	for _, id := range slices.Sorted(maps.Keys(h.peers)) {
		p := h.peers[id]
		if p.heardAt.IsZero() || p.stopping || h.refusedBy[id] || h.Clock.Now().Sub(p.heardAt) > silence {
			continue
		}
		if best == "" || p.zone == h.Entry.Zone && h.peers[best].zone != h.Entry.Zone {
			best = id
		}
	}
	return best
}

// takeHandedOver ends the hand-over; requests that still come are passed on to the heir.
func (h *Hub) takeHandedOver(v handedOver) {
	if h.handOver == nil || v.entry != h.heir {
		return
	}
	if !v.taken {
		h.refusedBy[h.heir] = true
		h.tryHeir()
		return
	}
	for _, s := range h.incarnations {
		h.recordAdoption(s.Incarnation, h.heir)
	}
	h.publish()
	h.endHandOver(h.heir)
}

// takeAdopted tells all peers which tickets this entry redeems from now on.
func (h *Hub) takeAdopted(v adopted) {
	for _, incarnation := range v.incarnations {
		h.recordAdoption(incarnation, h.Entry.ID)
		h.adopted = append(h.adopted, string(incarnation))
	}
	if extra := len(h.adopted) - maxTakenOver; extra > 0 {
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
