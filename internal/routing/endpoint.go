package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// endpoint is what the router knows of one endpoint.
type endpoint struct {
	vm   fleet.VM
	pool *pool
	// own says that the endpoint is in the entry's availability zone.
	own bool
	// share is how many slots belong to this entry; reserved of them are kept free of long work.
	share, reserved fleet.Slots
	// lent counts slots of the share on loan to others, borrowed those on loan from others.
	lent, borrowed fleet.Slots
	// running counts the attempts of this entry in flight; long of them are long.
	running, long fleet.Slots
	// work is the expected run time of the attempts in flight.
	work time.Duration
	// excess counts slots that others use beyond their shares, by the endpoint's own statement.
	excess      fleet.Slots
	excessUntil time.Time
	// leaving is set by the view, stated by the endpoint itself until its row changes.
	leaving, stated bool
	health          health
	// rank spreads the choice among equal endpoints, differently at each entry.
	rank uint64
	// index is the place in each order of the pool, -1 outside.
	index [orders]int
}

// limit returns how many attempts this entry may have in flight.
func (e *endpoint) limit() fleet.Slots {
	if e.leaving || e.stated {
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

// room returns how many more attempts of an order fit.
func (e *endpoint) room(o order) fleet.Slots {
	room := e.limit() - e.running
	if o == orderLong {
		// Long work would outlive a loan.
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

// rendezvous returns the hash by which entries are ordered at an endpoint.
func rendezvous(entry fleet.EntryID, id fleet.EndpointID) uint64 {
	return xxhash.Sum64String(string(entry) + "\x00" + string(id))
}

// divide returns this entry's share of the slots of an endpoint, and how many of the reserved slots
// are among them. Slot i belongs to the entry at position i modulo the number of entries, ordered by
// rendezvous hash, so that all entries come to the same division without agreement.
func (r *Router) divide(vm fleet.VM, entries []fleet.EntryID) (share, reserved fleet.Slots) {
	n := len(entries)
	if n == 0 {
		return vm.Slots / fleet.Slots(max(r.count, 1)), min(r.Reserved, vm.Slots) / fleet.Slots(max(r.count, 1))
	}
	own, position, member := rendezvous(r.Entry, vm.Endpoint()), 0, false
	for _, other := range entries {
		h := rendezvous(other, vm.Endpoint())
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

// slotsAt counts the slots below a number that belong to a position modulo n.
func slotsAt(slots fleet.Slots, position, n int) fleet.Slots {
	return (slots - fleet.Slots(position) + fleet.Slots(n) - 1) / fleet.Slots(n)
}
