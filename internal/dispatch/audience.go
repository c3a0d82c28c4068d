package dispatch

import "github.com/mimosawharf/mimosawharf/pkg/fleet"

// Audience chooses the peers of the zone that get an early report. It asks no more peers than requests
// wait, in turn, because each of them may lend a slot that only one request can use.
type Audience struct {
	turn  int
	asked map[fleet.EntryID]bool
}

// Next returns the peers that get the next report. When nothing waits any more, those that were asked
// learn it.
func (a *Audience) Next(peers []fleet.EntryID, waiting int) []fleet.EntryID {
	if a.asked == nil {
		a.asked = map[fleet.EntryID]bool{}
	}
	var list []fleet.EntryID
	for i := range peers {
		id := peers[(a.turn+i)%len(peers)]
		switch {
		case waiting == 0 && a.asked[id]:
			delete(a.asked, id)
			list = append(list, id)
		case len(list) < waiting:
			a.asked[id] = true
			list = append(list, id)
		}
	}
	if waiting > 0 {
		a.turn += len(list)
	}
	return list
}
