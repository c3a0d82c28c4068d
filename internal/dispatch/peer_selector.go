package dispatch

import "github.com/mimosawharf/mimosawharf/pkg/fleet"

// PeerSelector selects the peers that get an early report. It selects at most as many peers as requests
// wait, in round-robin order, because each of them may lend a slot that only one request can use.
type PeerSelector struct {
	offset   int
	selected map[fleet.EntryID]bool
}

// Next returns the peers that get the next report. Once no request waits, it returns the peers selected
// before, so that they learn that no slots are wanted any more.
func (a *PeerSelector) Next(peers []fleet.EntryID, waiting int) []fleet.EntryID {
	if a.selected == nil {
		a.selected = map[fleet.EntryID]bool{}
	}
	var list []fleet.EntryID
	for i := range peers {
		id := peers[(a.offset+i)%len(peers)]
		switch {
		case waiting == 0 && a.selected[id]:
			delete(a.selected, id)
			list = append(list, id)
		case len(list) < waiting:
			a.selected[id] = true
			list = append(list, id)
		}
	}
	if waiting > 0 {
		a.offset += len(list)
	}
	return list
}
