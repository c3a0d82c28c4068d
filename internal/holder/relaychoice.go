package holder

import (
	"maps"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/relay"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// choose chooses the relays of the service, and opens and closes connections.
func (r *routes) choose(now time.Time) {
	r.chosenAt = now
	s := r.scheduler
	if s.Relays == nil || r.held.releasing {
		return
	}
	count, counts := 0, map[fleet.ZoneID]int{}
	for _, info := range s.endpoints {
		if info.Service == r.held.service {
			counts[info.Zone]++
			count++
		}
	}
	r.byZone = nil
	entries := r.entries(now)
	if relay.Needed(count, len(r.relays) > 0) {
		r.byZone = relay.Choose(r.held.service, s.services(), counts, entries)
	}
	used := map[fleet.EntryID]bool{}
	for _, relays := range r.byZone {
		for _, entry := range relays {
			used[entry] = true
			if r.relays[entry] == nil {
				r.open(now, entry)
			}
		}
	}
	r.forget(entries, used)
	for entry, k := range r.relays {
		if !used[entry] && len(k.outstanding) == 0 {
			r.close(k, "not needed")
		}
	}
}

// forget forgets the choice of endpoints whose relay may be none any more or is in another zone than a chosen one, and
// marks the other relays as used.
func (r *routes) forget(entries []relay.Entry, used map[fleet.EntryID]bool) {
	mayRelay := map[fleet.EntryID]fleet.ZoneID{}
	for _, e := range entries {
		if len(r.byZone) > 0 && r.relays[e.ID] != nil && !e.HoldsLease && !e.Avoided {
			mayRelay[e.ID] = e.Zone
		}
	}
	for id, entry := range r.chosen {
		// The zone of an endpoint that the registry lists no more is not known; it has no other relay.
		info, listed := r.scheduler.endpoints[id]
		zone, ok := mayRelay[entry]
		if !slices.Contains(r.byZone[info.Zone], entry) && (!ok || listed && zone != info.Zone) {
			delete(r.chosen, id)
		}
	}
	for _, entry := range r.chosen {
		used[entry] = true
	}
}

// entries returns the entries that may be relays.
func (r *routes) entries(now time.Time) []relay.Entry {
	s := r.scheduler
	holders := s.election.Holders(now)
	var list []relay.Entry
	for id, n := range s.election.Nodes {
		if id == s.Self.Entry || n.Address == "" {
			continue
		}
		k := r.relays[id]
		list = append(list, relay.Entry{
			ID: id, Zone: n.Zone, Millicores: n.Millicores, HoldsLease: holders[id] > 0,
			Avoided: n.Stopping || now.Before(r.avoided[id].until) || k != nil && (k.leaving || k.address != n.Address),
		})
	}
	return list
}

// services returns the services that may have a holder.
func (s *Scheduler) services() []fleet.ServiceID {
	list := slices.Collect(maps.Keys(s.queued))
	for _, d := range s.election.Duties() {
		if service, ok := serviceOf(d); ok && !s.queued[service] {
			list = append(list, service)
		}
	}
	return list
}
