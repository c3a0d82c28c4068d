package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// driftMargin is the part of a loan's life that the lender adds before it uses the slots again. The
// clocks of two entries drift apart far less than a hundredth during a loan.
const driftMargin = 100

// LoanNumber orders the loans that a lender has granted.
type LoanNumber uint64

// Loan lends slots of one endpoint from one entry to another. There is one loan at most for a
// lender, a borrower and an endpoint; a newer one replaces it.
type Loan struct {
	Lender   fleet.EntryID
	Borrower fleet.EntryID
	Endpoint fleet.EndpointID
	Slots    fleet.Slots
	// Number rises with each grant and renewal. A return that crosses a renewal names the older
	// loan, so that it does not end the newer one.
	Number LoanNumber
}

// loanKey names a loan at this entry by the other party and the endpoint.
type loanKey struct {
	other    fleet.EntryID
	endpoint fleet.EndpointID
}

// holding is a loan in force at this entry.
type holding struct {
	slots   fleet.Slots
	expires time.Time
	number  LoanNumber
}

// Ask is what a peer reports of a pool in which it has more work than slots.
type Ask struct {
	Borrower fleet.EntryID
	Pool     fleet.PoolID
	// Wanted is how many slots the peer can use beyond its own share.
	Wanted fleet.Slots
}

// Grant lends slots that are unused, apart from keep slots that this entry needs itself. Loans that
// the peer still wants are renewed; the loans returned are to be sent to it. The lender counts the
// life of a loan from now on and adds a margin.
func (r *Router) Grant(now time.Time, ask Ask, keep fleet.Slots) []Loan {
	p := r.pools[ask.Pool]
	if p == nil || r.LoanLife <= 0 || ask.Borrower == r.Entry {
		return nil
	}
	expires := now.Add(r.LoanLife + r.LoanLife/driftMargin)
	wanted := ask.Wanted
	var list []Loan
	grant := func(e *endpoint, slots fleet.Slots) {
		key := loanKey{ask.Borrower, e.vm.Endpoint()}
		r.lend(e, key, holding{slots: slots, expires: expires, number: r.lastLoan + 1})
		r.lastLoan++
		wanted -= slots
		list = append(list, Loan{Lender: r.Entry, Borrower: ask.Borrower, Endpoint: e.vm.Endpoint(), Slots: slots, Number: r.lastLoan})
	}
	for _, key := range r.loansTo(ask.Borrower, p) {
		// Slots on loan stay on loan until they expire or return, so a renewal never shrinks them.
		if wanted > 0 {
			grant(p.byID[key.endpoint], r.lentTo[key].slots)
		}
	}
	spare := p.slots - p.running - keep
	var skip []fleet.EndpointID
	for wanted > 0 && spare > 0 {
		e := p.best(orderShort, skip)
		if e == nil {
			break
		}
		skip = append(skip, e.vm.Endpoint())
		if e.share-e.lent <= e.running || e.health.state != healthStateHealthy {
			continue
		}
		slots := min(wanted, spare, e.share-e.lent-e.running)
		spare -= slots
		held := r.lentTo[loanKey{ask.Borrower, e.vm.Endpoint()}].slots
		wanted += held
		grant(e, held+slots)
	}
	return list
}

// loansTo returns the loans to a peer in a pool, in a fixed order.
func (r *Router) loansTo(borrower fleet.EntryID, p *pool) []loanKey {
	var keys []loanKey
	for key := range r.lentTo {
		if key.other == borrower && p.byID[key.endpoint] != nil {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b loanKey) int { return cmp.Compare(a.endpoint, b.endpoint) })
	return keys
}

// countLoans recounts the loans of all endpoints, some of which may be new to the router.
func (r *Router) countLoans() {
	for _, e := range r.endpoints {
		e.lent, e.borrowed = 0, 0
	}
	for key, h := range r.lentTo {
		if e := r.endpoints[key.endpoint]; e != nil {
			e.lent += h.slots
		}
	}
	for key, h := range r.borrowedOf {
		if e := r.endpoints[key.endpoint]; e != nil {
			e.borrowed += h.slots
		}
	}
}

func (r *Router) lend(e *endpoint, key loanKey, h holding) {
	old := r.lentTo[key].slots
	if h.slots == 0 {
		delete(r.lentTo, key)
	} else {
		r.lentTo[key] = h
	}
	if e != nil {
		r.change(e, func() { e.lent += h.slots - old })
	}
}

func (r *Router) borrow(e *endpoint, key loanKey, h holding) {
	old := r.borrowedOf[key].slots
	if h.slots == 0 {
		delete(r.borrowedOf, key)
	} else {
		r.borrowedOf[key] = h
	}
	if e != nil {
		r.change(e, func() { e.borrowed += h.slots - old })
	}
}

// Borrow takes loans that a peer granted. The borrower counts the life of a loan from the moment it
// sent the report that asked for it.
func (r *Router) Borrow(now, asked time.Time, loans []Loan) {
	expires := asked.Add(r.LoanLife)
	if !now.Before(expires) {
		return
	}
	for _, l := range loans {
		key := loanKey{l.Lender, l.Endpoint}
		if e := r.endpoints[l.Endpoint]; e != nil && l.Borrower == r.Entry && l.Slots > 0 && l.Number > r.borrowedOf[key].number {
			r.borrow(e, key, holding{slots: l.Slots, expires: expires, number: l.Number})
		}
	}
}

// Borrowing returns the pools in which this entry has borrowed slots.
func (r *Router) Borrowing() []fleet.PoolID {
	var list []fleet.PoolID
	for key := range r.borrowedOf {
		if e := r.endpoints[key.endpoint]; e != nil && e.pool != nil {
			list = append(list, e.pool.id)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// Surplus gives back the loans of a pool that this entry does not use any more, apart from keep
// slots. A loan whose endpoint runs more than the entry's own share is kept.
func (r *Router) Surplus(id fleet.PoolID, keep fleet.Slots) []Loan {
	p := r.pools[id]
	if p == nil || p.borrowed == 0 || p.slots-p.running <= keep {
		return nil
	}
	spare := p.slots - p.running - keep
	var list []Loan
	for _, key := range r.sortedBorrowed() {
		e := p.byID[key.endpoint]
		slots, number := r.borrowedOf[key].slots, r.borrowedOf[key].number
		if e == nil || slots > spare || e.running > e.share-e.lent+e.borrowed-slots {
			continue
		}
		spare -= slots
		r.borrow(e, key, holding{})
		list = append(list, Loan{Lender: key.other, Borrower: r.Entry, Endpoint: key.endpoint, Slots: slots, Number: number})
	}
	return list
}

func (r *Router) sortedBorrowed() []loanKey {
	var keys []loanKey
	for key := range r.borrowedOf {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b loanKey) int {
		return cmp.Or(cmp.Compare(a.endpoint, b.endpoint), cmp.Compare(a.other, b.other))
	})
	return keys
}

// Returned ends a loan that its borrower gave back.
func (r *Router) Returned(l Loan) {
	key := loanKey{l.Borrower, l.Endpoint}
	if l.Lender == r.Entry && r.lentTo[key].slots > 0 && r.lentTo[key].number == l.Number {
		r.lend(r.endpoints[l.Endpoint], key, holding{})
	}
}

// expireLoans ends the loans whose life has passed. An attempt that still runs on a borrowed slot
// stays counted as running, so that the entry starts nothing in its place.
func (r *Router) expireLoans(now time.Time) {
	for key, h := range r.lentTo {
		if !now.Before(h.expires) {
			r.lend(r.endpoints[key.endpoint], key, holding{})
		}
	}
	for key, h := range r.borrowedOf {
		if !now.Before(h.expires) {
			r.borrow(r.endpoints[key.endpoint], key, holding{})
		}
	}
}
