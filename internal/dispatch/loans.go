package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/routing"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// LoanReport is what this entry reports to its peers: its load and the slots that it wants to borrow.
type LoanReport struct {
	// Services lists the services with queued or running requests.
	Services []ServiceLoad
	// Waiting counts the queued short requests.
	Waiting int
}

// LoanGrant holds loans granted to a peer in answer to one of its reports.
type LoanGrant struct {
	Borrower fleet.EntryID
	Report   ReportSequence
	Loans    []routing.Loan
}

// loanRequest is what a peer wants to borrow from a pool and has not been granted yet.
type loanRequest struct {
	report  ReportSequence
	wanted  fleet.Slots
	waiting int
	expires time.Time
}

// loanRequestLifetime is how long a loan request is valid unless it is repeated, and how long long work
// leaves slots free for it. It spans several reports, so that the slots are still free when the next
// report requests them.
const loanRequestLifetime = 100 * time.Millisecond

// SetEntries sets the live entries of the zone, among which slots are shared, and the number of all
// live entries, among which quotas are divided.
func (e *Engine) SetEntries(now time.Time, zone []fleet.EntryID, total int) {
	e.Quotas.Entries = total
	e.Router.SetEntries(zone)
	e.dispatchWaiting(now)
}

// SetLive sets the live entries of all zones, this entry included.
func (e *Engine) SetLive(now time.Time, live map[fleet.ZoneID][]fleet.EntryID) {
	e.Quotas.Entries = 0
	for _, list := range live {
		e.Quotas.Entries += len(list)
	}
	e.Router.SetLive(live)
	e.dispatchWaiting(now)
}

// LoanReport returns the report to send now. The sender remembers the time of the report for
// LoansGranted.
func (e *Engine) LoanReport() LoanReport {
	r := LoanReport{Services: e.ServiceLoads()}
	for _, p := range e.reported {
		p.reported = 0
	}
	clear(e.reported)
	for _, p := range e.waiting {
		if waiting := e.shortWaiting(p); waiting > 0 {
			p.reported, e.reported[p.id] = waiting, p
			r.Waiting += waiting
		}
	}
	return r
}

// wanted returns how many slots to request from each peer. The need is divided among the peers, because a
// slot that is lent and not used is lost to both entries.
func (e *Engine) wanted(p *poolState) fleet.Slots {
	peers := max(e.Router.Peers(), 1)
	return fleet.Slots((e.shortWaiting(p) + peers - 1) / peers)
}

// PeerReported handles the report of a peer. Its loan requests replace those of earlier reports and are
// valid until they are met, replaced, or not repeated for loanRequestLifetime.
func (e *Engine) PeerReported(now time.Time, r PeerReported) {
	e.recordPeerLoad(now, r)
	for _, vm := range r.Leaving {
		// It is not reported further, so that two entries do not keep it alive for each other.
		e.Router.SetLeaving(fleet.EndpointID(vm))
	}
	old := e.requestedPools[r.Peer]
	delete(e.requestedPools, r.Peer)
	for _, p := range old {
		delete(p.loanRequests, r.Peer)
	}
	for _, s := range r.Services {
		e.recordLoanRequest(now, r, s)
	}
	for _, p := range e.requestedPools[r.Peer] {
		e.serveLoanRequest(now, p, r.Peer)
	}
}

// recordLoanRequest adds the report of one service to the peer's loan request for the service's pool. A
// report without wanted slots creates no loan request.
func (e *Engine) recordLoanRequest(now time.Time, r PeerReported, s ServiceLoad) {
	p := e.pools[e.view.Configuration.Services[s.Service].Pool]
	if p == nil {
		return
	}
	req, known := p.loanRequests[r.Peer]
	if !known && s.Wanted == 0 {
		return
	}
	if !known {
		e.requestedPools[r.Peer] = append(e.requestedPools[r.Peer], p)
	}
	p.loanRequests[r.Peer] = loanRequest{
		report: r.Sequence, wanted: req.wanted + s.Wanted, waiting: req.waiting + s.QueuedUrgent + s.QueuedNormal, expires: now.Add(loanRequestLifetime),
	}
}

// serveLoanRequest renews the loans of a peer that still requests slots, lends it unused slots, and
// preempts long work for the rest.
func (e *Engine) serveLoanRequest(now time.Time, p *poolState, peer fleet.EntryID) {
	if held, old := e.Router.Lent(now, peer, p.id); old {
		e.addGrant(peer, p.loanRequests[peer].report, e.Router.Grant(now, routing.LoanRequest{Borrower: peer, Pool: p.id, Wanted: held}, 0))
	}
	e.dispatchPool(now, p)
	if req := p.loanRequests[peer]; req.wanted > 0 {
		p.yieldUntil = now.Add(loanRequestLifetime)
		e.preempt(p, int(req.wanted))
	}
}

func (e *Engine) addGrant(peer fleet.EntryID, report ReportSequence, loans []routing.Loan) {
	if len(loans) > 0 {
		e.out.Grants = append(e.out.Grants, LoanGrant{Borrower: peer, Report: report, Loans: loans})
	}
}

// lendUnused lends the unused slots of a pool to the peers that request them, one at a time to the peer
// with the most waiting work.
func (e *Engine) lendUnused(now time.Time, p *poolState) {
	for len(p.loanRequests) > 0 {
		peer, req := p.mostWaiting()
		if !now.Before(req.expires) || req.wanted <= 0 {
			delete(p.loanRequests, peer)
			continue
		}
		loans := e.Router.Lend(now, routing.LoanRequest{Borrower: peer, Pool: p.id, Wanted: 1}, 0)
		if len(loans) == 0 {
			return
		}
		e.addGrant(peer, req.report, loans)
		req.wanted--
		req.waiting--
		p.loanRequests[peer] = req
	}
}

// mostWaiting returns the peer with the most waiting work and its loan request.
func (p *poolState) mostWaiting() (fleet.EntryID, loanRequest) {
	peers := slices.Collect(maps.Keys(p.loanRequests))
	id := slices.MaxFunc(peers, func(a, b fleet.EntryID) int {
		return cmp.Or(cmp.Compare(p.loanRequests[a].waiting, p.loanRequests[b].waiting), cmp.Compare(a, b))
	})
	return id, p.loanRequests[id]
}

// updateLoans gives back borrowed slots for which no short work waits, lends unused slots, and requests
// an early report when the amount of waiting work differs from the last report.
func (e *Engine) updateLoans(now time.Time, p *poolState) {
	waiting := e.shortWaiting(p)
	if waiting == 0 {
		e.out.Returns = append(e.out.Returns, e.Router.ReturnSurplus(p.id, 0)...)
		e.lendUnused(now, p)
	}
	if waiting != p.reported {
		e.out.ReportSoon = true
	}
}

// LoansGranted records loans that a peer granted in answer to the report sent at reportedAt.
func (e *Engine) LoansGranted(now, reportedAt time.Time, loans []routing.Loan) {
	e.Router.Borrow(now, reportedAt, loans)
	touched := map[fleet.PoolID]bool{}
	for _, l := range loans {
		if id, ok := e.Router.PoolOf(l.Endpoint); ok && !touched[id] {
			touched[id] = true
			e.dispatchPool(now, e.pools[id])
		}
	}
}

// LoanReturned ends a loan that the borrower gave back early.
func (e *Engine) LoanReturned(now time.Time, l routing.Loan) {
	e.Router.EndLoan(l)
	if id, ok := e.Router.PoolOf(l.Endpoint); ok {
		e.dispatchPool(now, e.pools[id])
	}
}
