package allowance

import (
	"maps"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Report is what one service of this entry uses and wants.
type Report struct {
	Service fleet.ServiceID
	// Epoch is that of the service's lease, which this entry holds.
	Epoch    fleet.FencingToken
	Accounts map[fleet.ClientAccountID]Demand
}

// Book decides what the services that one entry holds may start. A part of a limit that it gives up is not used any
// more from the moment at which the write is planned, and one that it takes is used once the write has taken effect:
// so the ledger never says less than what may run, whether or not the answer to a write arrives. It is not safe for
// concurrent use.
type Book struct {
	limits Limits
	held   map[fleet.ServiceID]*holding
	// known is the least version that the ledger may have.
	known Version
	// planned is the ledger of a planned write whose outcome is not known, based the version that it replaces.
	planned Ledger
	based   Version
}

// holding is what the services of this entry may use.
type holding struct {
	epoch    fleet.FencingToken
	accounts map[fleet.ClientAccountID]fleet.Capacity
	// blocked holds the accounts of which more is held than their limit: nothing starts until it fits.
	blocked map[fleet.ClientAccountID]bool
}

// NewBook returns a book that allows nothing to accounts with a limit until a ledger is known.
func NewBook() *Book { return &Book{held: map[fleet.ServiceID]*holding{}} }

// SetLimits replaces the limits. One that was removed bounds nothing from now on, others are in force with the next Plan.
func (b *Book) SetLimits(l Limits) { b.limits = l }

// Allows reports whether the tasks of an account may use so much in a service.
func (b *Book) Allows(s fleet.ServiceID, epoch fleet.FencingToken, account fleet.ClientAccountID, used fleet.Capacity) bool {
	limit, ok := b.limits[account]
	if !ok {
		return true
	}
	h := b.held[s]
	return h != nil && h.epoch == epoch && !h.blocked[account] && bounded(used, limit).Fits(h.accounts[account])
}

// Allowed returns what the tasks of an account may use in a service, whether the account has a limit at all, and whether
// nothing starts because more of it is held than there is.
func (b *Book) Allowed(s fleet.ServiceID, epoch fleet.FencingToken, account fleet.ClientAccountID) (allowed fleet.Capacity, isLimited, isBlocked bool) {
	if _, isLimited = b.limits[account]; !isLimited {
		return fleet.Capacity{}, false, false
	}
	if h := b.held[s]; h != nil && h.epoch == epoch {
		return h.accounts[account], true, h.blocked[account]
	}
	return fleet.Capacity{}, true, false
}

// WithinLimit reports whether the limit of an account is at least so much.
func (b *Book) WithinLimit(account fleet.ClientAccountID, used fleet.Capacity) bool {
	limit, ok := b.limits[account]
	return !ok || bounded(used, limit).Fits(limit)
}

// Plan returns the ledger to be written in place of the given one, and false when it need not change. The caller writes
// it on condition that the given one still holds, and calls Written when the write has taken effect. Until then the
// services use only what both ledgers allow.
func (b *Book) Plan(l Ledger, version Version, reports []Report) (Ledger, bool) {
	if version < b.known {
		return l, false // A late answer.
	}
	b.known = version
	next := l.Clone()
	// An earlier write without an answer may take effect for as long as the version that it replaces stands. Another
	// write rules that out.
	outstanding := b.planned != nil && b.based == version
	due := outstanding
	current := make([]Report, 0, len(reports))
	for _, r := range reports {
		claim := next[r.Service]
		if claim.Epoch > r.Epoch {
			delete(b.held, r.Service) // Another entry has taken over.
			continue
		}
		h := b.held[r.Service]
		if h == nil || h.epoch != r.Epoch {
			h = &holding{epoch: r.Epoch, accounts: map[fleet.ClientAccountID]fleet.Capacity{}, blocked: map[fleet.ClientAccountID]bool{}}
			b.held[r.Service] = h
		}
		if claim.Epoch == r.Epoch && !outstanding {
			h.adopt(claim)
		}
		due = due || claim.Epoch < r.Epoch
		if claim.Accounts == nil {
			claim.Accounts = map[fleet.ClientAccountID]Position{}
		}
		claim.Epoch = r.Epoch
		next[r.Service] = claim
		current = append(current, r)
	}
	for _, r := range current {
		b.drop(next, r.Service)
		for account, limit := range b.limits {
			p := next[r.Service].Accounts[account]
			d := r.Accounts[account]
			p.Wanted = bounded(d.Used.Plus(d.Waiting), limit)
			next.set(r.Service, account, p)
		}
	}
	for _, raise := range []bool{false, true} { // What one service of this entry gives up, another one may take.
		for _, r := range current {
			for account, limit := range b.limits {
				due = b.divide(l, next, r, account, limit, raise) || due
			}
		}
	}
	b.planned, b.based = nil, version
	if due {
		b.planned, l = next, next
	}
	for _, r := range current {
		b.restrict(l, r)
	}
	return next, due
}

// drop removes the accounts that have no limit any more from the claim of a service.
func (b *Book) drop(l Ledger, s fleet.ServiceID) {
	maps.DeleteFunc(l[s].Accounts, func(account fleet.ClientAccountID, _ Position) bool {
		_, ok := b.limits[account]
		return !ok
	})
}

// divide sets what a service holds of an account's limit, and reports whether that has to be written. It either lowers
// or raises it.
func (b *Book) divide(l, next Ledger, r Report, account fleet.ClientAccountID, limit fleet.Capacity, raise bool) bool {
	p, d := next[r.Service].Accounts[account], r.Accounts[account]
	used, others := bounded(d.Used, limit), next.held(account, limit, r.Service)
	target := lower(next.fair(r.Service, account, limit), limit.Minus(others))
	if used == (fleet.Capacity{}) && others == (fleet.Capacity{}) {
		// A task above the limit runs when nothing else of its account does, or it would never run.
		target = higher(target, bounded(d.Least, limit))
	}
	target = higher(target, used)
	old := l[r.Service].Accounts[account]
	if raise {
		target = higher(target, p.Held)
	} else {
		target = lower(target, p.Held)
	}
	p.Held = target
	next.set(r.Service, account, p)
	if !raise {
		return target != old.Held && (next.short(account, r.Service) || !others.Plus(old.Held).Fits(limit))
	}
	wasShort, isShort := !old.Wanted.Fits(old.Held), !p.Wanted.Fits(target)
	switch {
	case !target.Fits(old.Held) && !p.Wanted.Fits(old.Held):
		return true // More of what is wanted can be had.
	case wasShort != isShort:
		return true
	case isShort:
		return differs(old.Wanted, p.Wanted)
	}
	return false
}

// restrict lowers what a service may use to what a ledger allows: the planned one, or the present one if that stays.
func (b *Book) restrict(l Ledger, r Report) {
	h := b.held[r.Service]
	for account, limit := range b.limits {
		others := l.held(account, limit, r.Service)
		d := r.Accounts[account]
		alone := others == (fleet.Capacity{}) && bounded(d.Used, limit) == (fleet.Capacity{})
		position := l[r.Service].Accounts[account].Held
		h.accounts[account] = lower(h.accounts[account], position)
		h.blocked[account] = !alone && !others.Plus(position).Fits(limit)
	}
}

// Written is called when the ledger of the last Plan has been written.
func (b *Book) Written() {
	for s, claim := range b.planned {
		if h := b.held[s]; h != nil && h.epoch == claim.Epoch {
			h.adopt(claim)
		}
	}
	b.known, b.planned = max(b.known, b.based+1), nil
}

// adopt takes over what the ledger says, when no earlier write can change it any more.
func (h *holding) adopt(c Claim) {
	clear(h.accounts)
	for account, p := range c.Accounts {
		h.accounts[account] = p.Held
	}
}

// differs reports whether a demand has changed by more than a quarter.
func differs(a, b fleet.Capacity) bool {
	return far(a.Millicores, b.Millicores) || far(a.Memory, b.Memory) || far(a.Accelerators, b.Accelerators)
}

func far[T quantity](a, b T) bool { return max(a, b)-min(a, b) > max(a, b)/4 }
