package dispatch_test

import (
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// report sends an engine's asks to its peers now, or as soon as reportGap has passed since the last one.
func (f *fleetLoop) report(e *dispatch.Engine) {
	l := f.links[e]
	if l.due {
		return
	}
	wait := max(l.sentAt.Add(reportGap).Sub(f.now), 0)
	if wait > 0 || l.sentAt.IsZero() {
		l.due = true
		f.after(wait, func() { l.due = false; l.sentAt = f.now; f.sendReport(e, false) })
		return
	}
	l.sentAt = f.now
	f.sendReport(e, false)
}

func (f *fleetLoop) sendReport(e *dispatch.Engine, all bool) {
	l := f.links[e]
	r := e.LoanReport()
	m := dispatch.PeerReported{Peer: e.Router.Entry, Sequence: dispatch.ReportSequence(len(l.reports)), Services: r.Services}
	l.reports = append(l.reports, f.now)
	asked := l.audience.Next(l.peers, r.Waiting)
	rest := m
	rest.Services = dispatch.WithoutWants(r.Services)
	for _, id := range l.peers {
		message := rest
		if slices.Contains(asked, id) {
			message = m
		} else if !all {
			continue
		}
		f.bytes += reportBytes + loadBytes*len(r.Services)
		f.after(f.latency, func() { f.byID[id].PeerReported(f.now, message); f.carry(f.byID[id]) })
	}
}

// lend carries loans and returns to peers.
func (f *fleetLoop) lend(e *dispatch.Engine, out dispatch.Actions) {
	for _, lent := range out.Lent {
		peer := f.byID[lent.Borrower]
		f.bytes += loanBytes + slotsBytes*len(lent.Loans)
		f.after(f.latency, func() { peer.LoansGranted(f.now, f.links[peer].reports[lent.Report], lent.Loans); f.carry(peer) })
	}
	for _, l := range out.Returns {
		peer := f.byID[l.Lender]
		f.bytes += loanBytes
		f.after(f.latency, func() { peer.LoanReturned(f.now, l); f.carry(peer) })
	}
	if out.ReportSoon && len(f.engines) > 1 {
		f.report(e)
	}
}

// link is what an engine has reported.
type link struct {
	peers    []fleet.EntryID
	audience dispatch.Audience
	due      bool
	sentAt   time.Time
	reports  []time.Time
}
