package dispatch

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/routing"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// LoanReport is what this entry tells its peers about slots.
type LoanReport struct {
	// Asks name the pools in which short work waits.
	Asks []routing.Ask
	// Returns are loans that this entry gives back before they end.
	Returns []routing.Loan
}

// SetEntries sets the live entries of the zone, among which slots are shared, and the number of all
// live entries, among which quotas are divided.
func (e *Engine) SetEntries(now time.Time, zone []fleet.EntryID, total int) {
	e.Quotas.Entries = total
	e.Router.SetEntries(zone)
	e.dispatchWaiting(now)
}

// LoanReport returns what to report now. The sender remembers the time of the report for
// LoansGranted.
func (e *Engine) LoanReport() LoanReport {
	var r LoanReport
	for _, p := range e.sortedWaiting() {
		// Each peer is asked for its part, because slots lent and not used are lost to both.
		peers := max(e.Router.Peers(), 1)
		if n := (e.waitingIn(p, fleet.ClassUrgent, fleet.ClassNormal) + peers - 1) / peers; n > 0 {
			r.Asks = append(r.Asks, routing.Ask{Borrower: e.Router.Entry, Pool: p.id, Wanted: fleet.Slots(n)})
		}
	}
	for _, id := range e.Router.Borrowing() {
		keep := e.waitingIn(e.pools[id], fleet.ClassUrgent, fleet.ClassNormal)
		r.Returns = append(r.Returns, e.Router.Surplus(id, fleet.Slots(keep))...)
	}
	return r
}

// Lend grants loans to a peer out of slots that this entry does not need.
func (e *Engine) Lend(now time.Time, ask routing.Ask) []routing.Loan {
	p := e.pools[ask.Pool]
	if p == nil {
		return nil
	}
	loans := e.Router.Grant(now, ask, fleet.Slots(e.waitingIn(p, fleet.ClassUrgent, fleet.ClassNormal)))
	missing := int(ask.Wanted)
	for _, l := range loans {
		missing -= int(l.Slots)
	}
	if missing > 0 {
		// Long work also gives way to the short work of peers.
		p.yieldUntil = now.Add(yieldTime)
		e.preempt(p, missing)
	}
	return loans
}

// yieldTime is how long long work leaves slots free for the short work of a peer after its report.
// It spans several reports, so that the slots are still free when the next one asks for them.
const yieldTime = 100 * time.Millisecond

// LoansGranted takes loans that a peer granted in answer to the report sent at asked.
func (e *Engine) LoansGranted(now, asked time.Time, loans []routing.Loan) {
	e.Router.Borrow(now, asked, loans)
	e.dispatchWaiting(now)
}

// LoanReturned takes back a loan that the borrower returned.
func (e *Engine) LoanReturned(now time.Time, l routing.Loan) {
	e.Router.Returned(l)
	e.dispatchWaiting(now)
}
