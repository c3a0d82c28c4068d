package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/routing"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// LoanReport is what this entry tells its peers about its load and the slots that it wants.
type LoanReport struct {
	// Services are those with queued or running requests.
	Services []ServiceLoad
	// Waiting counts the short requests that wait.
	Waiting int
}

// Lent are loans to a peer in answer to one of its reports.
type Lent struct {
	Borrower fleet.EntryID
	Report   ReportSequence
	Loans    []routing.Loan
}

// standingAsk is what a peer asked for and has not got yet.
type standingAsk struct {
	report  ReportSequence
	wanted  fleet.Slots
	waiting int
	until   time.Time
}

// askLife is how long an ask that is not repeated stands, and how long long work leaves slots free for
// it. It spans several reports, so that the slots are still free when the next one asks for them.
const askLife = 100 * time.Millisecond

// SetEntries sets the live entries of the zone, among which slots are shared, and the number of all
// live entries, among which quotas are divided.
func (e *Engine) SetEntries(now time.Time, zone []fleet.EntryID, total int) {
	e.Quotas.Entries = total
	e.Router.SetEntries(zone)
	e.dispatchWaiting(now)
}

// SetLive sets the live entries of all zones, this one included.
func (e *Engine) SetLive(now time.Time, live map[fleet.ZoneID][]fleet.EntryID) {
	e.Quotas.Entries = 0
	for _, list := range live {
		e.Quotas.Entries += len(list)
	}
	e.Router.SetLive(live)
	e.dispatchWaiting(now)
}

// LoanReport returns what to report now. The sender remembers the time of the report for
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

// wanted returns how many slots each peer is asked for. Each is asked for its part, because slots lent
// and not used are lost to both.
func (e *Engine) wanted(p *poolState) fleet.Slots {
	peers := max(e.Router.Peers(), 1)
	return fleet.Slots((e.shortWaiting(p) + peers - 1) / peers)
}

// PeerReported takes the load of a peer. What it asks for replaces what its earlier reports asked for and
// stands until it is met, replaced or not repeated for askLife.
func (e *Engine) PeerReported(now time.Time, r PeerReported) {
	e.notePeer(now, r)
	for _, vm := range r.Leaving {
		// It is not reported on, so that two entries do not keep it alive for each other.
		e.Router.SetLeaving(fleet.EndpointID(vm))
	}
	old := e.askedPools[r.Peer]
	delete(e.askedPools, r.Peer)
	for _, p := range old {
		delete(p.asks, r.Peer)
	}
	for _, s := range r.Services {
		e.noteAsk(now, r, s)
	}
	for _, p := range e.askedPools[r.Peer] {
		e.serveAsk(now, p, r.Peer)
	}
}

// noteAsk adds what a peer reports of one service to its ask for the service's pool. A report without
// wanted slots asks for nothing.
func (e *Engine) noteAsk(now time.Time, r PeerReported, s ServiceLoad) {
	p := e.pools[e.view.Configuration.Services[s.Service].Pool]
	if p == nil {
		return
	}
	ask, known := p.asks[r.Peer]
	if !known && s.Wanted == 0 {
		return
	}
	if !known {
		e.askedPools[r.Peer] = append(e.askedPools[r.Peer], p)
	}
	p.asks[r.Peer] = standingAsk{
		report: r.Sequence, wanted: ask.wanted + s.Wanted, waiting: ask.waiting + s.QueuedUrgent + s.QueuedNormal, until: now.Add(askLife),
	}
}

// serveAsk renews the loans of a peer that still asks, lends what is unused, and makes long work give
// way for the rest.
func (e *Engine) serveAsk(now time.Time, p *poolState, peer fleet.EntryID) {
	if held, old := e.Router.Lent(now, peer, p.id); old {
		e.lent(peer, p.asks[peer].report, e.Router.Grant(now, routing.LoanRequest{Borrower: peer, Pool: p.id, Wanted: held}, 0))
	}
	e.dispatchPool(now, p)
	if ask := p.asks[peer]; ask.wanted > 0 {
		p.yieldUntil = now.Add(askLife)
		e.preempt(p, int(ask.wanted))
	}
}

func (e *Engine) lent(peer fleet.EntryID, report ReportSequence, loans []routing.Loan) {
	if len(loans) > 0 {
		e.out.Lent = append(e.out.Lent, Lent{Borrower: peer, Report: report, Loans: loans})
	}
}

// lendUnused lends the unused slots of a pool to the peers that ask for them, one at a time to the peer
// with the most waiting work.
func (e *Engine) lendUnused(now time.Time, p *poolState) {
	for len(p.asks) > 0 {
		peer, ask := p.neediest()
		if !now.Before(ask.until) || ask.wanted <= 0 {
			delete(p.asks, peer)
			continue
		}
		loans := e.Router.Lend(now, routing.LoanRequest{Borrower: peer, Pool: p.id, Wanted: 1}, 0)
		if len(loans) == 0 {
			return
		}
		e.lent(peer, ask.report, loans)
		ask.wanted--
		ask.waiting--
		p.asks[peer] = ask
	}
}

// neediest returns the peer whose ask names the most waiting work.
func (p *poolState) neediest() (fleet.EntryID, standingAsk) {
	peers := slices.Collect(maps.Keys(p.asks))
	id := slices.MaxFunc(peers, func(a, b fleet.EntryID) int {
		return cmp.Or(cmp.Compare(p.asks[a].waiting, p.asks[b].waiting), cmp.Compare(a, b))
	})
	return id, p.asks[id]
}

// exchange gives back borrowed slots for which no short work waits, lends unused slots, and asks for an
// early report when what waits differs from what was last reported.
func (e *Engine) exchange(now time.Time, p *poolState) {
	waiting := e.shortWaiting(p)
	if waiting == 0 {
		e.out.Returns = append(e.out.Returns, e.Router.ReturnSurplus(p.id, 0)...)
		e.lendUnused(now, p)
	}
	if waiting != p.reported {
		e.out.ReportSoon = true
	}
}

// LoansGranted takes loans that a peer granted in answer to the report sent at asked.
func (e *Engine) LoansGranted(now, asked time.Time, loans []routing.Loan) {
	e.Router.Borrow(now, asked, loans)
	touched := map[fleet.PoolID]bool{}
	for _, l := range loans {
		if id, ok := e.Router.PoolOf(l.Endpoint); ok && !touched[id] {
			touched[id] = true
			e.dispatchPool(now, e.pools[id])
		}
	}
}

// LoanReturned takes back a loan that the borrower returned.
func (e *Engine) LoanReturned(now time.Time, l routing.Loan) {
	e.Router.Returned(l)
	if id, ok := e.Router.PoolOf(l.Endpoint); ok {
		e.dispatchPool(now, e.pools[id])
	}
}
