package relay_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/relay"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const zones = 6

// site returns endpoints and entries like those of a large site: three large entries and twenty small ones in a zone.
func site(endpoints int) (map[fleet.EndpointID]fleet.ZoneID, []relay.Entry) {
	list := map[fleet.EndpointID]fleet.ZoneID{}
	for n := range endpoints {
		list[fleet.EndpointID(fmt.Sprintf("e-%03d", n))] = fleet.ZoneID(fmt.Sprintf("z%d", n%zones))
	}
	var entries []relay.Entry
	for n := range zones * 23 {
		e := relay.Entry{ID: fleet.EntryID(fmt.Sprintf("entry-%03d", n)), Zone: fleet.ZoneID(fmt.Sprintf("z%d", n%zones)), Millicores: 192}
		if n < zones*3 {
			e.Millicores = 800
		}
		entries = append(entries, e)
	}
	return list, entries
}

// choose returns the relay of each endpoint that has one.
func choose(service fleet.ServiceID, endpoints map[fleet.EndpointID]fleet.ZoneID, entries []relay.Entry) map[fleet.EndpointID]fleet.EntryID {
	counts := map[fleet.ZoneID]int{}
	for _, zone := range endpoints {
		counts[zone]++
	}
	byZone := relay.Choose(service, services, counts, entries)
	chosen := map[fleet.EndpointID]fleet.EntryID{}
	for id, zone := range endpoints {
		if entry, ok := relay.Pick(id, byZone[zone]); ok {
			chosen[id] = entry
		}
	}
	return chosen
}

var services = []fleet.ServiceID{"a", "b", "c", "d", "e"}

// Guards against relays for services whose holder calls all endpoints with little effort, and against relays that come and
// go with the last endpoints.
func TestSmallServiceNeedsNoRelays(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		endpoints         int
		hasRelays, needed bool
	}{{0, true, false}, {49, true, false}, {50, true, true}, {99, false, false}, {100, false, true}} {
		is.Equal(relay.Needed(c.endpoints, c.hasRelays), c.needed)
	}
}

// Guards against calls between zones, and against relays that need their processor time for a duty or have little.
func TestRelayIsLargeEntryOfZoneWithoutLease(t *testing.T) {
	is := is.New(t)
	endpoints, entries := site(250)
	for n := range entries {
		entries[n].HoldsLease = n < 8
	}
	byID := map[fleet.EntryID]relay.Entry{}
	for _, e := range entries {
		byID[e.ID] = e
	}
	chosen := choose("a", endpoints, entries)
	is.Equal(len(chosen), len(endpoints))
	for id, entry := range chosen {
		is.Equal(byID[entry].Zone, endpoints[id])
		is.True(!byID[entry].HoldsLease)
		is.Equal(byID[entry].Millicores, fleet.Millicores(800))
	}
}

// Guards against one entry that relays for several services while others relay for none.
func TestServicesSpreadOverEntries(t *testing.T) {
	is := is.New(t)
	endpoints, entries := site(250)
	used := map[fleet.EntryID]map[fleet.ServiceID]bool{}
	for _, s := range services[:3] {
		for _, entry := range choose(s, endpoints, entries) {
			if used[entry] == nil {
				used[entry] = map[fleet.ServiceID]bool{}
			}
			used[entry][s] = true
		}
	}
	is.Equal(len(used), 3*zones) // three services, three large entries in each zone
}

// Guards against one relay for more endpoints than it can call.
func TestManyEndpointsOfZoneHaveSeveralRelays(t *testing.T) {
	is := is.New(t)
	endpoints, entries := site(600)
	count := map[fleet.EntryID]int{}
	for _, entry := range choose("a", endpoints, entries) {
		count[entry]++
	}
	is.Equal(len(count), 3*zones)
	for _, n := range count {
		is.True(n > 15 && n < 60) // about 33 each
	}
}

// Guards against endpoints that change their relay because another one has left.
func TestFewEndpointsMoveWhenEntryLeaves(t *testing.T) {
	is := is.New(t)
	endpoints, entries := site(250)
	before := choose("c", endpoints, entries)
	for n := range zones * 3 {
		left := entries[n]
		rest := append(append([]relay.Entry{}, entries[:n]...), entries[n+1:]...)
		for id, entry := range choose("c", endpoints, rest) {
			is.True(entry != left.ID)
			is.True(endpoints[id] == left.Zone || entry == before[id])
		}
	}
}

// Guards against endpoints without a relay in a zone without entries.
func TestZoneWithoutEntriesIsServedByOthers(t *testing.T) {
	is := is.New(t)
	endpoints, entries := site(250)
	var rest []relay.Entry
	for _, e := range entries {
		if e.Zone != "z0" {
			rest = append(rest, e)
		}
	}
	is.Equal(len(choose("a", endpoints, rest)), len(endpoints))
	is.Equal(len(choose("a", endpoints, nil)), 0)
}

// Guards against a relay that is chosen again at once after it was lost, and against small entries in its place.
func TestAvoidedEntryIsReplacedByLargeOne(t *testing.T) {
	is := is.New(t)
	endpoints, entries := site(250)
	byID := map[fleet.EntryID]relay.Entry{}
	for n := range entries {
		entries[n].Avoided = n < 2*zones || entries[n].Zone == "z0" && entries[n].Millicores > 192
		byID[entries[n].ID] = entries[n]
	}
	chosen := choose("a", endpoints, entries)
	for id, zone := range endpoints {
		entry, ok := chosen[id]
		is.Equal(ok, zone != "z0") // the holder calls them while all large entries of the zone are avoided
		is.True(!ok || byID[entry].Zone == zone && byID[entry].Millicores == 800 && !byID[entry].Avoided)
	}
}
