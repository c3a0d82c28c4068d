package peer

import (
	"maps"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// liveEntries finds out which entries are alive. An entry is alive while a report of it or a renewal of
// its row is at most the silence old; a stopping one keeps its share until it is silent. For a zone
// without any live entry the rows count for as long as they say, because its endpoints are then shared
// by other zones and its entries may be cut off from this one only.
type liveEntries struct {
	startedAt time.Time
	rows      map[fleet.EntryID]rowSighting
	last      map[fleet.ZoneID][]fleet.EntryID
}

// rowSighting is when a version of an entry's row was first seen, by the own clock.
type rowSighting struct {
	version fleet.RowVersion
	at      time.Time
}

// next returns the live entries of each zone and whether they changed.
func (l *liveEntries) next(now time.Time, own fleet.Entry, peers map[fleet.EntryID]*knownPeer, view *fleet.View) (map[fleet.ZoneID][]fleet.EntryID, bool) {
	if view == nil {
		view = fleet.NewView()
	}
	l.observe(now, view)
	live := map[fleet.ZoneID][]fleet.EntryID{own.Zone: {own.ID}}
	silent := map[fleet.ZoneID][]fleet.EntryID{}
	for _, id := range slices.Sorted(maps.Keys(peers)) {
		p := peers[id]
		switch age := l.age(now, p); {
		case age <= silence:
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

// observe notes which rows were renewed.
func (l *liveEntries) observe(now time.Time, view *fleet.View) {
	if l.rows == nil {
		l.rows = map[fleet.EntryID]rowSighting{}
	}
	for id, e := range view.Entries {
		if seen, ok := l.rows[id]; !ok || seen.version != e.RowVersion {
			l.rows[id] = rowSighting{version: e.RowVersion, at: now}
		}
	}
	maps.DeleteFunc(l.rows, func(id fleet.EntryID, _ rowSighting) bool {
		_, ok := view.Entries[id]
		return !ok
	})
}

// age returns how long ago an entry gave a sign of life. At the start of this entry all that it knows
// count as alive.
func (l *liveEntries) age(now time.Time, p *knownPeer) time.Duration {
	at := l.startedAt
	for _, other := range []time.Time{p.heardAt, l.rows[p.id].at} {
		if other.After(at) {
			at = other
		}
	}
	return now.Sub(at)
}

// forget makes the next call report a change.
func (l *liveEntries) forget() { l.last = nil }
