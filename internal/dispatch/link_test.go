package dispatch_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// report sends an engine's loan requests to its peers now, or once reportGap has passed since its last
// report.
func (f *fleetLoop) report(e *dispatch.Engine) {
	l := f.links[e]
	if l.pending {
		return
	}
	wait := max(l.sentAt.Add(reportGap).Sub(f.now), 0)
	if wait > 0 || l.sentAt.IsZero() {
		l.pending = true
		f.after(wait, func() { l.pending = false; l.sentAt = f.now; f.sendReport(e, false) })
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
	selected := l.selector.Next(l.peers, r.Waiting)
	rest := m
	rest.Services = dispatch.WithoutWanted(r.Services)
	for _, id := range l.peers {
		message := rest
		if slices.Contains(selected, id) {
			message = m
		} else if !all {
			continue
		}
		f.bytes += reportBytes + loadBytes*len(r.Services)
		f.deliver(func() { f.byID[id].PeerReported(f.now, message); f.execute(f.byID[id]) })
	}
}

// deliver delivers a message to a peer, unless f.delay drops it.
func (f *fleetLoop) deliver(do func()) {
	delay := f.latency
	if f.delay != nil {
		var lost bool
		if delay, lost = f.delay(); lost {
			return
		}
	}
	f.after(delay, do)
}

// lend delivers loans and returns to peers.
func (f *fleetLoop) lend(e *dispatch.Engine, out dispatch.Actions) {
	for _, grant := range out.Grants {
		peer := f.byID[grant.Borrower]
		f.bytes += loanBytes + slotsBytes*len(grant.Loans)
		f.deliver(func() { peer.LoansGranted(f.now, f.links[peer].reports[grant.Report], grant.Loans); f.execute(peer) })
	}
	for _, l := range out.Returns {
		peer := f.byID[l.Lender]
		f.bytes += loanBytes
		f.deliver(func() { peer.LoanReturned(f.now, l); f.execute(peer) })
	}
	if out.ReportSoon && len(f.engines) > 1 {
		f.report(e)
	}
}

// link is the state of an engine's reports.
type link struct {
	peers    []fleet.EntryID
	selector dispatch.PeerSelector
	pending  bool
	sentAt   time.Time
	reports  []time.Time
}

// Guards against a slot that two entries claim at the same time when messages about loans are lost, late
// and out of order.
func TestSlotsAreConservedOverFaultyLinks(t *testing.T) {
	for seed := range uint64(20) {
		is, random := is.New(t), rand.New(rand.NewPCG(seed, 0))
		d := deployment{latency: time.Millisecond, endpoints: 2, seed: seed, load: 1.3}
		v, means := d.configuration(random)
		f := newFleetLoop(d, v, 3)
		f.delay = func() (time.Duration, bool) {
			return time.Duration(random.IntN(1+random.IntN(700))) * time.Millisecond, random.IntN(5) == 0
		}
		for _, j := range d.trace(random, means) {
			if j.at.Sub(epoch) < 6*time.Second {
				f.submit(f.engines[random.IntN(3)], j)
			}
		}
		unused := 0
		for at := time.Duration(0); at < 8*time.Second; at += 7 * time.Millisecond {
			f.run(epoch.Add(at))
			for id := range v.Configuration.Services {
				var sum fleet.Slots
				for _, e := range f.engines {
					limit, _ := e.Router.Slots(fleet.PoolID(id))
					sum += limit
				}
				is.True(sum <= fleet.Slots(d.endpoints*slots))
				if sum < fleet.Slots(d.endpoints*slots) {
					unused++
				}
			}
		}
		is.True(unused > 0) // some loans were lost, and no entry used their slots until they expired
	}
}
