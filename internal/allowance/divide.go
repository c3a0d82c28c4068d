package allowance

import (
	"slices"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// fair returns the part of a limit that a service should hold. Each resource is divided by max-min fairness among what
// the services want; what nobody wants is divided equally, so that the first tasks of a service need not wait.
func (l Ledger) fair(s fleet.ServiceID, limit fleet.Capacity) fleet.Capacity {
	wanted := make([]fleet.Capacity, 0, len(l))
	for _, claim := range l {
		wanted = append(wanted, claim.Wanted)
	}
	own := l[s].Wanted
	return fleet.Capacity{
		Millicores:   part(limit.Millicores, own.Millicores, wanted, func(c fleet.Capacity) fleet.Millicores { return c.Millicores }),
		Memory:       part(limit.Memory, own.Memory, wanted, func(c fleet.Capacity) fleet.Megabytes { return c.Memory }),
		Accelerators: part(limit.Accelerators, own.Accelerators, wanted, func(c fleet.Capacity) fleet.Accelerators { return c.Accelerators }),
	}
}

// quantity is the amount of one resource.
type quantity interface{ ~int | ~int64 }

// part returns the part of one resource that is due to a service which wants own.
func part[T quantity](limit, own T, wanted []fleet.Capacity, of func(fleet.Capacity) T) T {
	if limit == 0 {
		return 0
	}
	list := make([]T, 0, len(wanted))
	for _, w := range wanted {
		list = append(list, of(w))
	}
	slices.Sort(list)
	left := limit
	for i, w := range list {
		level := left / T(len(list)-i)
		if w > level {
			return min(own, level) // All further services want more than what is left for each.
		}
		left -= w
	}
	return own + left/T(max(1, len(list)))
}
