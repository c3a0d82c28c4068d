package allowance

import (
	"cmp"
	"slices"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// fair returns the part of a limit that a service should hold, and whether some of it is set aside for others. Each resource
// is divided by max-min fairness among what the services want; what nobody wants is divided equally, so that the first tasks
// of a service need not wait. Services whose part would be too small for any of their tasks get what one needs, in their
// turn, as far as the limit goes: equal parts of which nobody can use any would keep all of them waiting.
func (l Ledger) fair(s fleet.ServiceID, limit fleet.Capacity) (part fleet.Capacity, setAside bool) {
	left, served := limit, map[fleet.ServiceID]bool{}
	for _, t := range l.turns() {
		least := l[t].Least
		if !least.Fits(left) {
			continue
		}
		if t == s {
			return least, len(served) > 0
		}
		left, served[t] = left.Minus(least), true
	}
	return l.share(s, left, served), len(served) > 0
}

// turns returns the services whose parts are too small for any of their tasks, in the order of their turns.
func (l Ledger) turns() []fleet.ServiceID {
	var list []fleet.ServiceID
	for s, claim := range l {
		if claim.Turn > 0 {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b fleet.ServiceID) int { return cmp.Or(cmp.Compare(l[a].Turn, l[b].Turn), cmp.Compare(a, b)) })
	return list
}

// nextTurn returns a turn behind all others.
func (l Ledger) nextTurn() uint64 {
	last := uint64(0)
	for _, claim := range l {
		last = max(last, claim.Turn)
	}
	return last + 1
}

// share returns the part of a service by max-min fairness among all but some services.
func (l Ledger) share(s fleet.ServiceID, limit fleet.Capacity, without map[fleet.ServiceID]bool) fleet.Capacity {
	wanted := make([]fleet.Capacity, 0, len(l))
	for t, claim := range l {
		if !without[t] {
			wanted = append(wanted, claim.Wanted)
		}
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
