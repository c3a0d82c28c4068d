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
	// Life is how long the lender lends the slots; 0 means the borrower's own setting.
	Life time.Duration
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
	// Wanted is how many slots the peer asks this entry for.
	Wanted fleet.Slots
	// Waiting is how much short work waits at the peer.
	Waiting int
}

// Grant renews the loans to a peer in a pool and lends further slots until it has what it wants in
// all. The loans returned are to be sent to it under one number.
func (r *Router) Grant(now time.Time, ask Ask, keep fleet.Slots) []Loan {
	p := r.pools[ask.Pool]
	if p == nil || r.LoanLife <= 0 || ask.Borrower == r.Entry || ask.Wanted <= 0 {
		return nil
	}
	g := r.newGrant(now, ask.Borrower)
	for _, key := range r.loansTo(ask.Borrower, p) {
		// Slots on loan stay on loan until they expire or return, so a renewal never shrinks them.
		held := r.lentTo[key].slots
		g.add(p.byID[key.endpoint], held)
		ask.Wanted -= held
	}
	r.lendUnused(g, p, ask.Wanted, keep)
	return g.loans
}

// Lend lends slots to a peer beyond those that it has on loan. Slots in use and keep further ones are
// not lent.
func (r *Router) Lend(now time.Time, ask Ask, keep fleet.Slots) []Loan {
	p := r.pools[ask.Pool]
	if p == nil || r.LoanLife <= 0 || ask.Borrower == r.Entry {
		return nil
	}
	g := r.newGrant(now, ask.Borrower)
	r.lendUnused(g, p, ask.Wanted, keep)
	return g.loans
}

func (r *Router) lendUnused(g *grant, p *pool, wanted, keep fleet.Slots) {
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
		slots := min(wanted, spare, e.share-e.lent-e.running, e.room(orderShort))
		spare -= slots
		wanted -= slots
		g.add(e, r.lentTo[loanKey{g.borrower, e.vm.Endpoint()}].slots+slots)
	}
}

// Lent returns how many slots of a pool are on loan to a peer, and whether half of their life is over.
func (r *Router) Lent(now time.Time, borrower fleet.EntryID, id fleet.PoolID) (fleet.Slots, bool) {
	p := r.pools[id]
	if p == nil || p.lent == 0 {
		return 0, false
	}
	var sum fleet.Slots
	old := false
	for _, key := range r.loansTo(borrower, p) {
		h := r.lentTo[key]
		sum += h.slots
		old = old || h.expires.Sub(now) < r.LoanLife/2
	}
	return sum, old
}

// grant is one answer to a peer. The lender counts the life of its loans from now on and adds a margin.
type grant struct {
	router   *Router
	borrower fleet.EntryID
	expires  time.Time
	number   LoanNumber
	byID     map[fleet.EndpointID]int
	loans    []Loan
}

func (r *Router) newGrant(now time.Time, borrower fleet.EntryID) *grant {
	return &grant{
		router: r, borrower: borrower, expires: now.Add(r.LoanLife + r.LoanLife/driftMargin), number: r.lastLoan + 1,
		byID: map[fleet.EndpointID]int{},
	}
}

// add sets the slots of one endpoint.
func (g *grant) add(e *endpoint, slots fleet.Slots) {
	g.router.lastLoan = g.number
	id := e.vm.Endpoint()
	g.router.lend(e, loanKey{g.borrower, id}, holding{slots: slots, expires: g.expires, number: g.number})
	one := Loan{Lender: g.router.Entry, Borrower: g.borrower, Endpoint: id, Slots: slots, Number: g.number, Life: g.router.LoanLife}
	if i, ok := g.byID[id]; ok {
		g.loans[i] = one
		return
	}
	g.byID[id] = len(g.loans)
	g.loans = append(g.loans, one)
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
	r.hold(r.lentTo, e, key, h, func(n fleet.Slots) { e.lent += n })
}

func (r *Router) borrow(e *endpoint, key loanKey, h holding) {
	r.hold(r.borrowedOf, e, key, h, func(n fleet.Slots) { e.borrowed += n })
}

// hold replaces a loan; a loan without a number ends it. The endpoint is nil when it has left the fleet.
func (r *Router) hold(loans map[loanKey]holding, e *endpoint, key loanKey, h holding, add func(fleet.Slots)) {
	old := loans[key].slots
	if h.number == 0 {
		delete(loans, key)
	} else {
		loans[key] = h
	}
	if e != nil {
		r.change(e, func() { add(h.slots - old) })
	}
}

// Borrow takes loans that a peer granted. The borrower counts the life of a loan from the moment it
// sent the report that asked for it.
func (r *Router) Borrow(now, asked time.Time, loans []Loan) {
	for _, l := range loans {
		life := r.LoanLife
		if l.Life > 0 {
			life = min(life, l.Life)
		}
		expires := asked.Add(life)
		key := loanKey{l.Lender, l.Endpoint}
		e := r.endpoints[l.Endpoint]
		if now.Before(expires) && e != nil && l.Borrower == r.Entry && l.Slots > 0 && l.Number > r.borrowedOf[key].number {
			r.borrow(e, key, holding{slots: l.Slots, expires: expires, number: l.Number})
		}
	}
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
		if e == nil || slots == 0 || slots > spare || e.running > e.share-e.lent+e.borrowed-slots {
			continue
		}
		spare -= slots
		// The number is kept until the loan would have ended, so that a late copy of it is not taken.
		r.borrow(e, key, holding{expires: r.borrowedOf[key].expires, number: number})
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
