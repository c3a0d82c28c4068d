package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// endpoint is the router's state of one endpoint.
type endpoint struct {
	vm   fleet.VM
	pool *pool
	// own is set when the endpoint is in the entry's availability zone.
	own bool
	// share is how many slots belong to this entry; reserved of them are kept free of long work.
	share, reserved fleet.Slots
	// lent counts slots of the share on loan to others, borrowed those on loan from others.
	lent, borrowed fleet.Slots
	// running counts the attempts of this entry in flight; long of them are long.
	running, long fleet.Slots
	// work is the sum of the expected run times of the attempts in flight.
	work time.Duration
	// excess counts the slots that other entries use beyond their shares, according to the endpoint's
	// load reports.
	excess      fleet.Slots
	excessUntil time.Time
	// leaving is set by the view, reportedLeaving by a report of the endpoint until its row changes.
	leaving, reportedLeaving bool
	health                   health
	// rank breaks ties between endpoints, differently at each entry.
	rank uint64
	// index is the index in each ranking of the pool, -1 outside.
	index [orderCount]int
}

// limit returns how many attempts this entry may have in flight at the endpoint.
func (e *endpoint) limit() fleet.Slots {
	if e.leaving || e.reportedLeaving {
		return 0
	}
	free := max(e.share-e.lent+e.borrowed-e.excess, 0)
	switch e.health.state {
	case healthStateEjected:
		return 0
	case healthStateProbing:
		return min(free, 1)
	default:
		return free
	}
}

// room returns how many more attempts of an order the endpoint can take.
func (e *endpoint) room(o order) fleet.Slots {
	room := e.limit() - e.running
	if o == orderLong {
		// Long work does not use borrowed slots, because it would outlive the loan.
		room = min(room, e.limit()-e.borrowed-e.reserved-e.long)
	}
	return room
}

func (e *endpoint) target() Target {
	return Target{
		Endpoint:        e.vm.Endpoint(),
		VM:              e.vm.ID,
		Address:         e.vm.Address,
		Pool:            e.vm.Pool,
		AssignmentEpoch: e.vm.AssignmentEpoch,
	}
}

// rendezvousHash returns the hash by which entries are ordered at an endpoint.
func rendezvousHash(entry fleet.EntryID, id fleet.EndpointID) uint64 {
	return xxhash.Sum64String(string(entry) + "\x00" + string(id))
}

// divide returns this entry's share of the slots of an endpoint, and how many of the reserved slots are
// among them. Slot i belongs to the entry at position i modulo the number of entries, ordered by
// rendezvous hash, so that all entries compute the same division without coordination.
func (r *Router) divide(vm fleet.VM, entries []fleet.EntryID) (share, reserved fleet.Slots) {
	n := len(entries)
	if n == 0 {
		return vm.Slots / fleet.Slots(max(r.entryCount, 1)), min(r.Reserved, vm.Slots) / fleet.Slots(max(r.entryCount, 1))
	}
	own, position, member := rendezvousHash(r.Entry, vm.Endpoint()), 0, false
	for _, other := range entries {
		h := rendezvousHash(other, vm.Endpoint())
		switch {
		case other == r.Entry:
			member = true
		case h < own || h == own && other < r.Entry:
			position++
		}
	}
	if !member {
		return 0, 0
	}
	return slotsAt(vm.Slots, position, n), slotsAt(min(r.Reserved, vm.Slots), position, n)
}

// slotsAt counts the slots that belong to a position: those whose index is the position modulo n.
func slotsAt(slots fleet.Slots, position, n int) fleet.Slots {
	return (slots - fleet.Slots(position) + fleet.Slots(n) - 1) / fleet.Slots(n)
}
