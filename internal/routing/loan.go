package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// driftMarginDivisor divides the duration of a loan to give the time for which the lender waits after its
// end before it uses the slots again. The clocks of two entries drift apart far less than a hundredth
// during a loan.
const driftMarginDivisor = 100

// LoanNumber orders the loans that a lender has granted.
type LoanNumber uint64

// Loan lends slots of one endpoint from one entry to another. There is at most one loan for a lender, a
// borrower and an endpoint; a newer one replaces it.
type Loan struct {
	Lender   fleet.EntryID
	Borrower fleet.EntryID
	Endpoint fleet.EndpointID
	Slots    fleet.Slots
	// Number rises with each grant and renewal. A return that crosses a renewal names the older
	// loan, so that it does not end the newer one.
	Number LoanNumber
	// Duration is how long the lender lends the slots; 0 means the borrower's own setting.
	Duration time.Duration
}

// loanKey identifies a loan at this entry by the other entry and the endpoint.
type loanKey struct {
	peer     fleet.EntryID
	endpoint fleet.EndpointID
}

// activeLoan is a loan in force at this entry.
type activeLoan struct {
	slots   fleet.Slots
	expires time.Time
	number  LoanNumber
}

// LoanRequest is a peer's request to borrow slots of a pool in which it has more work than slots.
type LoanRequest struct {
	Borrower fleet.EntryID
	Pool     fleet.PoolID
	// Wanted is how many slots the peer wants to borrow from this entry.
	Wanted fleet.Slots
	// Waiting counts the queued short requests at the peer.
	Waiting int
}

// Grant renews the loans to a peer in a pool and lends further slots up to the wanted total, leaving keep
// slots unused. The returned loans are to be sent to the peer under one number.
func (r *Router) Grant(now time.Time, req LoanRequest, keep fleet.Slots) []Loan {
	p := r.pools[req.Pool]
	if p == nil || r.LoanDuration <= 0 || req.Borrower == r.Entry || req.Wanted <= 0 {
		return nil
	}
	g := r.newGrant(now, req.Borrower)
	for _, key := range r.loansTo(req.Borrower, p) {
		// A renewal never lowers the slots of a loan, because they are lent until the loan expires or is
		// returned.
		held := r.lentTo[key].slots
		g.add(p.byID[key.endpoint], held)
		req.Wanted -= held
	}
	r.lendUnused(g, p, req.Wanted, keep)
	return g.loans
}

// Lend lends slots to a peer beyond those that it has on loan. Slots in use and keep further ones are not
// lent.
func (r *Router) Lend(now time.Time, req LoanRequest, keep fleet.Slots) []Loan {
	p := r.pools[req.Pool]
	if p == nil || r.LoanDuration <= 0 || req.Borrower == r.Entry {
		return nil
	}
	g := r.newGrant(now, req.Borrower)
	r.lendUnused(g, p, req.Wanted, keep)
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

// Lent returns how many slots of a pool are on loan to a peer, and whether a loan has less than half of
// its duration left.
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
		old = old || h.expires.Sub(now) < r.LoanDuration/2
	}
	return sum, old
}

// grant collects the loans of one answer to a peer. At the lender their duration starts now and is
// extended by a margin.
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
		router: r, borrower: borrower, expires: now.Add(r.LoanDuration + r.LoanDuration/driftMarginDivisor), number: r.lastLoan + 1,
		byID: map[fleet.EndpointID]int{},
	}
}

// add sets the slots lent at one endpoint.
func (g *grant) add(e *endpoint, slots fleet.Slots) {
	g.router.lastLoan = g.number
	id := e.vm.Endpoint()
	g.router.setLent(e, loanKey{g.borrower, id}, activeLoan{slots: slots, expires: g.expires, number: g.number})
	loan := Loan{Lender: g.router.Entry, Borrower: g.borrower, Endpoint: id, Slots: slots, Number: g.number, Duration: g.router.LoanDuration}
	if i, ok := g.byID[id]; ok {
		g.loans[i] = loan
		return
	}
	g.byID[id] = len(g.loans)
	g.loans = append(g.loans, loan)
}

// loansTo returns the keys of the loans to a peer in a pool, in a fixed order.
func (r *Router) loansTo(borrower fleet.EntryID, p *pool) []loanKey {
	var keys []loanKey
	for key := range r.lentTo {
		if key.peer == borrower && p.byID[key.endpoint] != nil {
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
	for key, h := range r.borrowedFrom {
		if e := r.endpoints[key.endpoint]; e != nil {
			e.borrowed += h.slots
		}
	}
}

func (r *Router) setLent(e *endpoint, key loanKey, h activeLoan) {
	r.setLoan(r.lentTo, e, key, h, func(n fleet.Slots) { e.lent += n })
}

func (r *Router) setBorrowed(e *endpoint, key loanKey, h activeLoan) {
	r.setLoan(r.borrowedFrom, e, key, h, func(n fleet.Slots) { e.borrowed += n })
}

// setLoan replaces a loan; one without a number removes it. The endpoint is nil when it has left the
// fleet.
func (r *Router) setLoan(loans map[loanKey]activeLoan, e *endpoint, key loanKey, h activeLoan, add func(fleet.Slots)) {
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

// Borrow records loans that a peer granted. At the borrower the duration of a loan starts at reportedAt,
// when it sent the report that requested the loan.
func (r *Router) Borrow(now, reportedAt time.Time, loans []Loan) {
	for _, l := range loans {
		duration := r.LoanDuration
		if l.Duration > 0 {
			duration = min(duration, l.Duration)
		}
		expires := reportedAt.Add(duration)
		key := loanKey{l.Lender, l.Endpoint}
		e := r.endpoints[l.Endpoint]
		if now.Before(expires) && e != nil && l.Borrower == r.Entry && l.Slots > 0 && l.Number > r.borrowedFrom[key].number {
			r.setBorrowed(e, key, activeLoan{slots: l.Slots, expires: expires, number: l.Number})
		}
	}
}

// ReturnSurplus gives back the loans of a pool that this entry no longer needs, leaving keep slots
// unused. A loan is kept while the attempts at its endpoint need it.
func (r *Router) ReturnSurplus(id fleet.PoolID, keep fleet.Slots) []Loan {
	p := r.pools[id]
	if p == nil || p.borrowed == 0 || p.slots-p.running <= keep {
		return nil
	}
	spare := p.slots - p.running - keep
	var list []Loan
	for _, key := range r.sortedBorrowed() {
		e := p.byID[key.endpoint]
		slots, number := r.borrowedFrom[key].slots, r.borrowedFrom[key].number
		if e == nil || slots == 0 || slots > spare || e.running > e.share-e.lent+e.borrowed-slots {
			continue
		}
		spare -= slots
		// The number is kept until the loan would have expired, so that a late duplicate of the loan is
		// ignored.
		r.setBorrowed(e, key, activeLoan{expires: r.borrowedFrom[key].expires, number: number})
		list = append(list, Loan{Lender: key.peer, Borrower: r.Entry, Endpoint: key.endpoint, Slots: slots, Number: number})
	}
	return list
}

func (r *Router) sortedBorrowed() []loanKey {
	var keys []loanKey
	for key := range r.borrowedFrom {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b loanKey) int {
		return cmp.Or(cmp.Compare(a.endpoint, b.endpoint), cmp.Compare(a.peer, b.peer))
	})
	return keys
}

// EndLoan ends a loan that its borrower gave back.
func (r *Router) EndLoan(l Loan) {
	key := loanKey{l.Borrower, l.Endpoint}
	if l.Lender == r.Entry && r.lentTo[key].slots > 0 && r.lentTo[key].number == l.Number {
		r.setLent(r.endpoints[l.Endpoint], key, activeLoan{})
	}
}

// expireLoans ends the loans that have expired. An attempt that still runs on a borrowed slot stays
// counted as running, so that the entry starts nothing in its place.
func (r *Router) expireLoans(now time.Time) {
	for key, h := range r.lentTo {
		if !now.Before(h.expires) {
			r.setLent(r.endpoints[key.endpoint], key, activeLoan{})
		}
	}
	for key, h := range r.borrowedFrom {
		if !now.Before(h.expires) {
			r.setBorrowed(r.endpoints[key.endpoint], key, activeLoan{})
		}
	}
}
