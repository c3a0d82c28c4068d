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
func (s *PeerSelector) Next(peers []fleet.EntryID, waiting int) []fleet.EntryID {
	if s.selected == nil {
		s.selected = map[fleet.EntryID]bool{}
	}
	var list []fleet.EntryID
	for i := range peers {
		id := peers[(s.offset+i)%len(peers)]
		switch {
		case waiting == 0 && s.selected[id]:
			delete(s.selected, id)
			list = append(list, id)
		case len(list) < waiting:
			s.selected[id] = true
			list = append(list, id)
		}
	}
	if waiting > 0 {
		s.offset += len(list)
	}
	return list
}
