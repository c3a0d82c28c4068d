package allowance

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Report is what one service of this entry uses and wants.
type Report struct {
	Service fleet.ServiceID
	// Epoch is that of the service's lease, which this entry holds.
	Epoch    fleet.FencingToken
	Accounts map[fleet.ClientAccountID]Demand
}

// Book decides what the services that one entry holds may start. It is not safe for concurrent use.
type Book struct {
	// MaxLedger bounds the size of a ledger that is written, 0 means that nothing does. A service for which there is no
	// room holds nothing.
	MaxLedger fleet.Bytes
	// MaxWrites and MaxWritten bound the ledgers of one Plan and their size; 0 means that nothing does. One ledger is
	// always planned.
	MaxWrites  int
	MaxWritten fleet.Bytes

	limits    Limits
	divisions map[fleet.ClientAccountID]*division
	// round counts the plans.
	round uint64
}

// NewBook returns a book that allows nothing to accounts with a limit until their ledgers are known.
func NewBook() *Book { return &Book{divisions: map[fleet.ClientAccountID]*division{}} }

// SetLimits replaces the limits. One that was removed bounds nothing from now on, others are in force with the next Plan.
func (b *Book) SetLimits(l Limits) { b.limits = l }

// Allows reports whether the tasks of an account may use so much in a service.
func (b *Book) Allows(s fleet.ServiceID, epoch fleet.FencingToken, account fleet.ClientAccountID, used fleet.Capacity) bool {
	limit, ok := b.limits[account]
	if !ok {
		return true
	}
	h := b.holding(s, epoch, account)
	return h != nil && !h.blocked && bounded(used, limit).Fits(h.allowed())
}

// Allowed returns what the tasks of an account may use in a service, whether the account has a limit at all, and whether
// nothing starts because more of it is held than there is.
func (b *Book) Allowed(s fleet.ServiceID, epoch fleet.FencingToken, account fleet.ClientAccountID) (allowed fleet.Capacity, isLimited, isBlocked bool) {
	if _, isLimited = b.limits[account]; !isLimited {
		return fleet.Capacity{}, false, false
	}
	if h := b.holding(s, epoch, account); h != nil {
		return h.allowed(), true, h.blocked
	}
	return fleet.Capacity{}, true, false
}

// holding returns what a service may use of an account's limit, or nil while nothing is known of it.
func (b *Book) holding(s fleet.ServiceID, epoch fleet.FencingToken, account fleet.ClientAccountID) *holding {
	d := b.divisions[account]
	if d == nil || d.held[s] == nil || d.held[s].epoch != epoch {
		return nil
	}
	return d.held[s]
}

// Accounts returns the accounts that have been planned.
func (b *Book) Accounts() []fleet.ClientAccountID { return slices.Collect(maps.Keys(b.divisions)) }

// WithinLimit reports whether the limit of an account is at least so much.
func (b *Book) WithinLimit(account fleet.ClientAccountID, used fleet.Capacity) bool {
	limit, ok := b.limits[account]
	return !ok || bounded(used, limit).Fits(limit)
}

// Plan returns the ledgers to be written in place of the given ones, all in one transaction. Accounts whose ledger is not
// given are left as they are. The caller calls Written when the transaction has taken effect. Until then the services use
// only what both ledgers of an account allow.
//
// Accounts with waiting tasks come first, and among equals those that were not planned for the longest time.
func (b *Book) Plan(ledgers map[fleet.ClientAccountID]Stored, reports []Report) []Write {
	b.round++
	var writes []Write
	var written fleet.Bytes
	for _, account := range b.order(ledgers, reports) {
		d := b.divisions[account]
		if d == nil {
			d = &division{held: map[fleet.ServiceID]*holding{}}
			b.divisions[account] = d
		}
		limit, isLimited := b.limits[account]
		in := input{stored: ledgers[account], limit: limit, isLimited: isLimited, claimants: claimants(account, reports), room: b.MaxLedger}
		if d.settled != nil && d.settled.equal(&in) {
			continue // Nothing has changed.
		}
		next, due := d.plan(in)
		isWritten := due && (len(writes) == 0 || b.hasRoom(len(writes)+1, written+next.Size()))
		if isWritten {
			writes, written = append(writes, Write{account, next, in.stored.Version}), written+next.Size()
			d.plannedIn = b.round
		}
		d.restrict(in, next, isWritten)
		if !due && !d.hasTurn(in) {
			d.settled = &in
		}
		if !isLimited && !due && d.planned == nil {
			delete(b.divisions, account) // Its claims are gone.
		}
	}
	return writes
}

// hasRoom reports whether one transaction may have so many ledgers of that size.
func (b *Book) hasRoom(writes int, size fleet.Bytes) bool {
	return (b.MaxWrites == 0 || writes <= b.MaxWrites) && (b.MaxWritten == 0 || size <= b.MaxWritten)
}

// order returns the accounts to plan.
func (b *Book) order(ledgers map[fleet.ClientAccountID]Stored, reports []Report) []fleet.ClientAccountID {
	waiting := map[fleet.ClientAccountID]bool{}
	for _, r := range reports {
		for account, d := range r.Accounts {
			waiting[account] = waiting[account] || d.Waiting != (fleet.Capacity{})
		}
	}
	list := make([]fleet.ClientAccountID, 0, len(ledgers))
	for account := range ledgers {
		_, isLimited := b.limits[account]
		if isLimited || b.divisions[account] != nil {
			list = append(list, account)
		}
	}
	plannedIn := func(account fleet.ClientAccountID) uint64 {
		if d := b.divisions[account]; d != nil {
			return d.plannedIn
		}
		return 0
	}
	slices.SortFunc(list, func(x, y fleet.ClientAccountID) int {
		if waiting[x] != waiting[y] {
			if waiting[x] {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(plannedIn(x), plannedIn(y)), cmp.Compare(x, y))
	})
	return list
}

// claimants returns what the services of this entry use and want of an account.
func claimants(account fleet.ClientAccountID, reports []Report) []claimant {
	list := make([]claimant, 0, len(reports))
	for _, r := range reports {
		list = append(list, claimant{r.Service, r.Epoch, r.Accounts[account]})
	}
	return list
}

// Written is called when the ledgers of a Plan have been written.
func (b *Book) Written(writes []Write) {
	for _, w := range writes {
		if d := b.divisions[w.Account]; d != nil {
			d.written()
		}
	}
}
