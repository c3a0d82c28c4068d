package allowance

import (
	"slices"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// division is what the services of one entry may use of one account's limit. A part that a service gives up is not used
// any more from the moment at which the write is planned, and one that it takes is used once the write has taken effect:
// so the ledger never says less than what may run, whether or not the answer to a write arrives.
type division struct {
	held map[fleet.ServiceID]*holding
	// known is the least version that the ledger may have.
	known Version
	// planned is the ledger of a planned write whose outcome is not known, based the version that it replaces.
	planned Ledger
	based   Version
	// settled is the last input if nothing had to be written for it, or nil.
	settled *input
	// plannedIn is the round in which a write was last planned.
	plannedIn uint64
}

// holding is what one service may use.
type holding struct {
	epoch fleet.FencingToken
	part  fleet.Capacity
	// blocked is set while more is held of the account than its limit: nothing starts until it fits.
	blocked bool
	// yields is set while parts are set aside for other services. Then what starts has to fit goal as well, since the part
	// that is held cannot be given up as long as one run follows another.
	yields bool
	goal   fleet.Capacity
	// unused counts the plans in a row in which the service held what a task needs in its turn and none ran.
	unused int
}

// maxUnused is the number of plans after which a service that starts nothing in its turn waits for another one. Plans are
// made some times a second.
const maxUnused = 20

// claimant is a service of this entry, with what it uses and wants of the account.
type claimant struct {
	service fleet.ServiceID
	epoch   fleet.FencingToken
	demand  Demand
}

// input is what a division is planned from.
type input struct {
	stored    Stored
	limit     fleet.Capacity
	isLimited bool
	claimants []claimant
	// room bounds the size of the ledger; 0 means that nothing does.
	room fleet.Bytes
}

func (i *input) equal(o *input) bool {
	return i.stored.Version == o.stored.Version && i.limit == o.limit && i.isLimited == o.isLimited && i.room == o.room && slices.Equal(i.claimants, o.claimants)
}

// plan returns the ledger that should replace the stored one, and false when it need not change.
func (d *division) plan(in input) (Ledger, bool) {
	if in.stored.Version < d.known {
		return in.stored.Ledger, false // A late answer.
	}
	d.known = in.stored.Version
	next := in.stored.Ledger.clone()
	// An earlier write without an answer may take effect for as long as the version that it replaces stands. Another
	// write rules that out.
	outstanding := d.isOutstanding(in.stored.Version)
	due := outstanding
	crowded := in.room > 0 && in.stored.Ledger.Size() > in.room/2
	var current []claimant
	for _, c := range in.claimants {
		claim := next[c.service]
		if claim.Epoch > c.epoch {
			delete(d.held, c.service) // Another entry has taken over.
			continue
		}
		h := d.held[c.service]
		if h == nil || h.epoch != c.epoch {
			h = &holding{epoch: c.epoch}
			d.held[c.service] = h
		}
		if claim.Epoch == c.epoch && !outstanding {
			h.part = claim.Held
		}
		isClaimed, isDue := enter(in, next, c, crowded)
		due = due || isDue
		if isClaimed {
			current = append(current, c)
		}
	}
	for _, c := range current {
		due = takeTurn(in, next, c, d.held[c.service]) || due
	}
	for _, raise := range []bool{false, true} { // What one service of this entry gives up, another one may take.
		for _, c := range current {
			due = divide(in, next, c, raise) || due
		}
	}
	return next, due
}

// enter enters a service into the ledger with its epoch, or takes it out: a service that has nothing of the account to run
// leaves a crowded ledger to others. It reports whether the service has a claim, and whether that has to be written.
func enter(in input, next Ledger, c claimant, crowded bool) (isClaimed, isDue bool) {
	claim, claimed := next[c.service]
	switch {
	case !in.isLimited, crowded && c.demand.idle():
		delete(next, c.service)
		return false, claimed
	case !claimed && in.room > 0 && next.Size()+sizeOf(c.service) > in.room:
		return false, false // It waits until other services have nothing of the account left.
	}
	isDue = claim.Epoch < c.epoch
	claim.Epoch, claim.Wanted = c.epoch, bounded(c.demand.Used.Plus(c.demand.Waiting), in.limit)
	next[c.service] = claim
	return true, isDue
}

// isStuck reports whether nothing of the account runs in a service and its share is too small for any waiting task. What is
// above the limit has no turn, nor has what the endpoints cannot start soon.
func isStuck(in input, l Ledger, c claimant) bool {
	used, least := bounded(c.demand.Used, in.limit), bounded(c.demand.Least, in.limit)
	return used == (fleet.Capacity{}) && least != (fleet.Capacity{}) && c.demand.Least.Fits(c.demand.Waiting) && least.Fits(in.limit) &&
		!least.Fits(l.share(c.service, in.limit, nil))
}

// takeTurn gives a service that is stuck a turn, and ends a turn that is over. It reports whether that has to be written.
func takeTurn(in input, next Ledger, c claimant, h *holding) bool {
	claim, least, stuck := next[c.service], bounded(c.demand.Least, in.limit), isStuck(in, next, c)
	old := claim
	if stuck && least.Fits(claim.Held) {
		h.unused++
	} else {
		h.unused = 0
	}
	switch {
	case !stuck:
		claim.Least, claim.Turn = fleet.Capacity{}, 0
	case claim.Turn == 0 || h.unused > maxUnused:
		claim.Least, claim.Turn, h.unused = least, next.nextTurn(), 0
	default:
		claim.Least = least
	}
	next[c.service] = claim
	return claim != old
}

// divide sets what a service holds of the limit, and reports whether that has to be written. It either lowers or raises it.
func divide(in input, next Ledger, c claimant, raise bool) bool {
	claim, demand, limit := next[c.service], c.demand, in.limit
	used, others := bounded(demand.Used, limit), next.held(limit, c.service)
	fair, yields := next.fair(c.service, limit)
	target := lower(fair, limit.Minus(others))
	if !yields && used == (fleet.Capacity{}) && others == (fleet.Capacity{}) {
		// A task above the limit runs when nothing else of its account does, or it would never run.
		target = higher(target, bounded(demand.Least, limit))
	}
	target = higher(target, used)
	old := in.stored.Ledger[c.service]
	if raise {
		target = higher(target, claim.Held)
	} else {
		target = lower(target, claim.Held)
	}
	claim.Held = target
	next[c.service] = claim
	if !raise {
		return target != old.Held && (next.short(c.service) || !others.Plus(old.Held).Fits(limit))
	}
	wasShort, isShort := !old.Wanted.Fits(old.Held), !claim.Wanted.Fits(target)
	switch {
	case !target.Fits(old.Held) && !claim.Wanted.Fits(old.Held):
		return true // More of what is wanted can be had.
	case wasShort != isShort:
		return true
	case isShort:
		return differs(old.Wanted, claim.Wanted)
	}
	return false
}

// restrict lowers what the services may use to what a ledger allows: the one to be written, or the stored one if that
// stays.
func (d *division) restrict(in input, next Ledger, writes bool) {
	d.settled = nil
	if in.stored.Version < d.known {
		return
	}
	outstanding := d.isOutstanding(in.stored.Version)
	l := in.stored.Ledger
	switch {
	case writes:
		d.planned, d.based, l = next, in.stored.Version, next
	case !outstanding:
		d.planned = nil
	}
	for _, c := range in.claimants {
		h := d.held[c.service]
		if h == nil || h.epoch != c.epoch {
			continue
		}
		others := l.held(in.limit, c.service)
		alone := others == (fleet.Capacity{}) && bounded(c.demand.Used, in.limit) == (fleet.Capacity{})
		h.part = lower(h.part, l[c.service].Held)
		h.goal, h.yields = l.fair(c.service, in.limit)
		h.blocked = !alone && !others.Plus(l[c.service].Held).Fits(in.limit)
	}
}

// allowed returns what the service may use.
func (h *holding) allowed() fleet.Capacity {
	if h.yields {
		return lower(h.part, h.goal)
	}
	return h.part
}

// hasTurn reports whether a service of this entry has a turn, which ends after a number of plans.
func (*division) hasTurn(in input) bool {
	return slices.ContainsFunc(in.claimants, func(c claimant) bool { return in.stored.Ledger[c.service].Turn > 0 })
}

// isOutstanding reports whether a write without an answer may still take effect.
func (d *division) isOutstanding(version Version) bool { return d.planned != nil && d.based == version }

// written is called when the planned ledger has been written.
func (d *division) written() {
	for s, claim := range d.planned {
		if h := d.held[s]; h != nil && h.epoch == claim.Epoch {
			h.part = claim.Held
		}
	}
	d.known, d.planned = max(d.known, d.based+1), nil
}

// differs reports whether a demand has changed by more than a quarter.
func differs(a, b fleet.Capacity) bool {
	return far(a.Millicores, b.Millicores) || far(a.Memory, b.Memory) || far(a.Accelerators, b.Accelerators)
}

func far[T quantity](a, b T) bool { return max(a, b)-min(a, b) > max(a, b)/4 }
