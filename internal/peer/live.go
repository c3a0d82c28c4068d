package peer

import (
	"maps"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// liveEntries determines which entries are alive. An entry is alive while its last report or row renewal
// is at most peerTimeout old; a stopping entry keeps its share of the endpoints until then. In a zone
// without any such entry, entries count as alive for the duration in their rows: the endpoints of a zone
// without live entries are shared by other zones, and its entries may be unreachable from this one only.
type liveEntries struct {
	startedAt time.Time
	rows      map[fleet.EntryID]observedRow
	last      map[fleet.ZoneID][]fleet.EntryID
}

// observedRow is the version of an entry's row and when it was first seen, by the clock of this entry.
type observedRow struct {
	version fleet.RowVersion
	at      time.Time
}

// update returns the live entries of each zone and whether they have changed.
func (l *liveEntries) update(now time.Time, own fleet.Entry, peers map[fleet.EntryID]*knownPeer, view *fleet.View) (map[fleet.ZoneID][]fleet.EntryID, bool) {
	if view == nil {
		view = fleet.NewView()
	}
	l.observe(now, view)
	live := map[fleet.ZoneID][]fleet.EntryID{own.Zone: {own.ID}}
	silent := map[fleet.ZoneID][]fleet.EntryID{}
	for _, id := range slices.Sorted(maps.Keys(peers)) {
		p := peers[id]
		switch age := l.age(now, p); {
		case age <= peerTimeout:
			live[p.zone] = append(live[p.zone], id)
		case age <= view.Entries[id].Duration:
			silent[p.zone] = append(silent[p.zone], id)
		}
	}
	for zone, list := range silent {
		if len(live[zone]) == 0 {
			live[zone] = list
		}
	}
	for _, list := range live {
		slices.Sort(list)
	}
	if maps.EqualFunc(live, l.last, slices.Equal) {
		return nil, false
	}
	l.last = live
	return live, true
}

// observe records which rows were renewed.
func (l *liveEntries) observe(now time.Time, view *fleet.View) {
	if l.rows == nil {
		l.rows = map[fleet.EntryID]observedRow{}
	}
	for id, e := range view.Entries {
		if seen, ok := l.rows[id]; !ok || seen.version != e.RowVersion {
			l.rows[id] = observedRow{version: e.RowVersion, at: now}
		}
	}
	maps.DeleteFunc(l.rows, func(id fleet.EntryID, _ observedRow) bool {
		_, ok := view.Entries[id]
		return !ok
	})
}

// age returns the time since the last sign of life of an entry. The start of this entry counts as a sign
// of life of all entries.
func (l *liveEntries) age(now time.Time, p *knownPeer) time.Duration {
	at := l.startedAt
	for _, other := range []time.Time{p.lastSeen, l.rows[p.id].at} {
		if other.After(at) {
			at = other
		}
	}
	return now.Sub(at)
}

// invalidate makes the next update report a change.
func (l *liveEntries) invalidate() { l.last = nil }
