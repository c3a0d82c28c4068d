// Package relay decides which entries pass the orders of a service on to its endpoints. It does no I/O.
package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	// minEndpoints is the number of endpoints from which on a service has relays. Calls to fewer take little of a
	// holder's processor time, and a relay costs a hop. A service that has relays keeps them down to half of it.
	minEndpoints = 100
	// endpointsPerRelay bounds the endpoints of one relay.
	endpointsPerRelay = 48
)

// Needed reports whether a service with a number of endpoints has relays.
func Needed(endpoints int, hasRelays bool) bool {
	return endpoints >= minEndpoints || hasRelays && 2*endpoints >= minEndpoints
}

// Entry is an entry that may be a relay.
type Entry struct {
	ID         fleet.EntryID
	Zone       fleet.ZoneID
	Millicores fleet.Millicores
	// HoldsLease is set for an entry whose processor time is needed for a duty.
	HoldsLease bool
	// Avoided is set for an entry that stops or was lost as a relay a moment ago.
	Avoided bool
}

// Choose returns the relays of a service by the zone of its endpoints, of which there are as many as counts says. An
// endpoint in a zone without a relay is called by the holder. services are all services that may have a holder: all
// holders choose by the same rule and so spread the relays of their services without a message.
func Choose(service fleet.ServiceID, services []fleet.ServiceID, counts map[fleet.ZoneID]int, entries []Entry) map[fleet.ZoneID][]fleet.EntryID {
	chosen := map[fleet.ZoneID][]fleet.EntryID{}
	for zone, endpoints := range counts {
		n := (endpoints + endpointsPerRelay - 1) / endpointsPerRelay
		for _, e := range assign(service, services, n, suitable(zone, entries)) {
			chosen[zone] = append(chosen[zone], e.ID)
		}
	}
	return chosen
}

// Pick returns the relay of an endpoint among those of its zone, and false when there is none.
func Pick(endpoint fleet.EndpointID, relays []fleet.EntryID) (fleet.EntryID, bool) {
	if len(relays) == 0 {
		return "", false
	}
	return slices.MaxFunc(relays, func(a, b fleet.EntryID) int {
		return cmp.Or(cmp.Compare(score(string(endpoint), a), score(string(endpoint), b)), cmp.Compare(a, b))
	}), true
}

// suitable returns the entries that may relay to a zone: those of the zone, or all others when it has none; of these the
// ones without a lease, if any, and of these the ones with at least half of the largest processor capacity. While all of
// them are avoided there is none: a smaller entry would be overloaded, and another zone reaches the endpoints no better.
func suitable(zone fleet.ZoneID, entries []Entry) []Entry {
	list := prefer(entries, func(e Entry) bool { return e.Zone == zone })
	list = prefer(list, func(e Entry) bool { return !e.HoldsLease })
	var most fleet.Millicores
	for _, e := range list {
		most = max(most, e.Millicores)
	}
	return filter(list, func(e Entry) bool { return 2*e.Millicores >= most && !e.Avoided })
}

// prefer returns the entries that fulfil a condition, or all when none does.
func prefer(entries []Entry, fulfils func(Entry) bool) []Entry {
	if list := filter(entries, fulfils); len(list) > 0 {
		return list
	}
	return entries
}

func filter(entries []Entry, fulfils func(Entry) bool) []Entry {
	var list []Entry
	for _, e := range entries {
		if fulfils(e) {
			list = append(list, e)
		}
	}
	return list
}

// assign returns the relays of one service. The services choose in the order of their names, each the entries that the
// ones before use least; equal ones are ranked by hash.
func assign(service fleet.ServiceID, services []fleet.ServiceID, count int, entries []Entry) []Entry {
	ordered := slices.Sorted(slices.Values(services))
	if !slices.Contains(ordered, service) {
		ordered = append(ordered, service)
	}
	used := map[fleet.EntryID]int{}
	for _, s := range ordered {
		// How many relays the other services need is not known: one in each zone, at most sites.
		n := 1
		if s == service {
			n = count
		}
		ranked := slices.SortedFunc(slices.Values(entries), func(a, b Entry) int {
			return cmp.Or(cmp.Compare(used[a.ID], used[b.ID]), cmp.Compare(score(string(s), b.ID), score(string(s), a.ID)), cmp.Compare(a.ID, b.ID))
		})
		ranked = ranked[:min(n, len(ranked))]
		if s == service {
			return ranked
		}
		for _, e := range ranked {
			used[e.ID]++
		}
	}
	return nil
}

// score is the weight of an entry for a key (rendezvous hashing).
func score(key string, e fleet.EntryID) uint64 { return xxhash.Sum64String(key + "/" + string(e)) }
