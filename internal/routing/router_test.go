package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/routing"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

var (
	now   = time.Unix(1000, 0)
	short = routing.Attempt{Expected: 100 * time.Millisecond}
	long  = routing.Attempt{Expected: time.Second, Long: true}
)

// view returns n endpoints of 8 slots in pool "p", all in one zone.
func view(n int, zone fleet.ZoneID) *fleet.View {
	v := fleet.NewView()
	for i := range n {
		id := fleet.VMID(fmt.Sprintf("%s-%d", zone, i))
		v.VMs[id] = fleet.VM{ID: id, Zone: zone, Slots: 8, Pool: "p", State: fleet.VMStateServing, RowVersion: 1}
	}
	return v
}

func entries(n int) []fleet.EntryID {
	var list []fleet.EntryID
	for i := range n {
		list = append(list, fleet.EntryID(fmt.Sprintf("entry-%d", i)))
	}
	return list
}

func newRouter(entry fleet.EntryID, all []fleet.EntryID, v *fleet.View) *routing.Router {
	r := &routing.Router{Zone: "a", Entry: entry, Reserved: 1, EjectPercent: 30, LoanDuration: 500 * time.Millisecond, ZoneLatency: time.Millisecond}
	r.Update(v, len(all))
	r.SetEntries(all)
	return r
}

// pair returns the routers of two entries that share two endpoints.
func pair() (a, b *routing.Router) {
	return newRouter("entry-0", entries(2), view(2, "a")), newRouter("entry-1", entries(2), view(2, "a"))
}

// fill starts attempts until no endpoint has room and returns how many each endpoint got.
func fill(r *routing.Router, a routing.Attempt) map[fleet.EndpointID]fleet.Slots {
	got := map[fleet.EndpointID]fleet.Slots{}
	for {
		target, ok := r.Pick("p", a)
		if !ok {
			return got
		}
		r.Started(target.Endpoint, a)
		got[target.Endpoint]++
	}
}

// Guards against entries that together use more or fewer slots than an endpoint has, and against
// long work on the reserved slot.
func TestSharesAddUpToSlots(t *testing.T) {
	cases := []struct {
		entries int
		attempt routing.Attempt
		want    fleet.Slots
	}{{1, short, 8}, {2, short, 8}, {3, short, 8}, {6, short, 8}, {9, short, 8}, {1, long, 7}, {3, long, 7}, {6, long, 7}, {9, long, 7}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d entries, long %v", c.entries, c.attempt.Long), func(t *testing.T) {
			is := is.New(t)
			sum := map[fleet.EndpointID]fleet.Slots{}
			for _, entry := range entries(c.entries) {
				for id, n := range fill(newRouter(entry, entries(c.entries), view(5, "a")), c.attempt) {
					sum[id] += n
				}
			}
			is.Equal(len(sum), 5)
			for _, n := range sum {
				is.Equal(n, c.want)
			}
		})
	}
}

// Guards against a slot that lender and borrower use at the same time, and against slots that are
// lost when a loan ends.
func TestLoansConserveSlots(t *testing.T) {
	const duration = 500 * time.Millisecond
	cases := []struct {
		name string
		// reportAge is how long before the grant the borrower sent its report.
		reportAge time.Duration
		// at is when the slots are counted, after the grant.
		at               time.Duration
		giveBack         bool
		lender, borrower fleet.Slots
	}{
		{"in force", 0, 0, false, 3, 13},
		{"borrower ends first", 100 * time.Millisecond, duration - 100*time.Millisecond, false, 3, 8},
		{"lender waits for the margin", 0, duration, false, 3, 8},
		{"both have ended", 0, duration + duration/100, false, 8, 8},
		{"given back early", 0, 0, true, 8, 8},
		{"grant arrives too late", duration, 0, false, 3, 8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a, b := pair()
			loans := a.Grant(now, routing.LoanRequest{Borrower: "entry-1", Pool: "p", Wanted: 5}, 0)
			b.Borrow(now, now.Add(-c.reportAge), loans)
			if c.giveBack {
				for _, l := range b.ReturnSurplus("p", 0) {
					a.EndLoan(l)
				}
			}
			a.Tick(now.Add(c.at))
			b.Tick(now.Add(c.at))
			slotsA, _ := a.Slots("p")
			slotsB, _ := b.Slots("p")
			is.Equal(slotsA, c.lender)
			is.Equal(slotsB, c.borrower)
		})
	}
}

// Guards against loans of slots that the lender uses or needs, and against a renewal that lends
// more slots.
func TestGrantLendsUnusedSlotsOnly(t *testing.T) {
	cases := []struct {
		name         string
		running      int
		keep, wanted fleet.Slots
		want         fleet.Slots
	}{
		{"all idle", 0, 0, 100, 8},
		{"wants few", 0, 0, 2, 2},
		{"some in use", 5, 0, 100, 3},
		{"some kept", 0, 6, 100, 2},
		{"all in use", 8, 0, 100, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newRouter("entry-0", entries(2), view(2, "a"))
			for range c.running {
				target, _ := r.Pick("p", short)
				r.Started(target.Endpoint, short)
			}
			for range 3 { // the second and third are renewals
				sum := map[fleet.EndpointID]fleet.Slots{}
				for _, l := range r.Grant(now, routing.LoanRequest{Borrower: "entry-1", Pool: "p", Wanted: c.wanted}, c.keep) {
					sum[l.Endpoint] = l.Slots
				}
				var total fleet.Slots
				for _, n := range sum {
					total += n
				}
				is.Equal(total, c.want)
			}
		})
	}
}

// Guards against a slot used twice: a return that crosses a renewal must not end the renewed loan.
func TestReturnCrossesRenewal(t *testing.T) {
	is := is.New(t)
	a, b := pair()
	req := routing.LoanRequest{Borrower: "entry-1", Pool: "p", Wanted: 3}
	b.Borrow(now, now, a.Grant(now, req, 0))
	renewed, returned := a.Grant(now, req, 0), b.ReturnSurplus("p", 0)
	b.Borrow(now, now, renewed)
	for _, l := range returned {
		a.EndLoan(l)
	}
	slotsA, _ := a.Slots("p")
	slotsB, _ := b.Slots("p")
	is.Equal(slotsA+slotsB, fleet.Slots(16))
}

// Guards against work in flight on a borrowed slot that is forgotten when its loan ends.
func TestRunOutlivesLoan(t *testing.T) {
	is := is.New(t)
	a, b := newRouter("entry-0", entries(2), view(1, "a")), newRouter("entry-1", entries(2), view(1, "a"))
	b.Borrow(now, now, a.Grant(now, routing.LoanRequest{Borrower: "entry-1", Pool: "p", Wanted: 4}, 0))
	is.Equal(fill(b, short)["a-0"], fleet.Slots(8))
	a.Tick(now.Add(time.Second))
	b.Tick(now.Add(time.Second))
	is.Equal(b.Running("a-0"), fleet.Slots(8))
	_, ok := b.Pick("p", short)
	is.True(!ok) // the borrower starts nothing beyond its share
	a.RecordRunning(now.Add(time.Second), "a-0", 8)
	_, ok = a.Pick("p", short)
	is.True(!ok) // the lender learns from the endpoint that the slots are in use
	a.Tick(now.Add(2 * time.Second))
	_, ok = a.Pick("p", short)
	is.True(ok) // an old report expires
}

// Guards against use of another zone while the own zone has room, or when it saves no time.
func TestOwnZoneFirst(t *testing.T) {
	cases := []struct {
		name string
		own  int
		wait time.Duration
		want fleet.EndpointID
	}{
		{"own zone has room", 1, time.Second, "a-0"},
		{"wait is longer than the extra latency", 0, time.Second, "b-0"},
		{"wait is shorter than the extra latency", 0, time.Microsecond, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := view(c.own, "a")
			for id, vm := range view(1, "b").VMs {
				v.VMs[id] = vm
			}
			r := newRouter("entry-0", entries(1), v)
			r.Borrow(now, now, []routing.Loan{{Lender: "other", Borrower: "entry-0", Endpoint: "b-0", Slots: 1, Number: 1}})
			target, _ := r.Pick("p", routing.Attempt{Wait: c.wait})
			is.Equal(target.Endpoint, c.want)
		})
	}
}

// Guards against a failing endpoint that keeps attracting work, and against ejections that take a
// pool down.
func TestEjection(t *testing.T) {
	const usual = 100 * time.Millisecond
	cases := []struct {
		name     string
		failing  int
		failures int
		ran      time.Duration
		answers  int
		// want is how many of 10 endpoints get work afterwards.
		want int
	}{
		{"few failures", 1, 4, usual, 0, 10},
		{"many failures", 1, 5, usual, 0, 9},
		{"fast failures count twice", 1, 3, time.Millisecond, 0, 9},
		{"failures between answers", 1, 20, usual, 1, 10},
		{"at most 30% at once", 6, 20, usual, 0, 7},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newRouter("entry-0", entries(1), view(10, "a"))
			for range c.failures {
				for i := range c.failing {
					id := fleet.EndpointID(fmt.Sprintf("a-%d", i))
					r.RecordVerdict(now, id, routing.VerdictFailed, c.ran, usual)
					for range c.answers {
						r.RecordVerdict(now, id, routing.VerdictAnswered, usual, usual)
					}
				}
			}
			is.Equal(len(fill(r, short)), c.want)
		})
	}
}

// Guards against an endpoint that stays ejected for good, or that gets all its work back at once.
func TestProbing(t *testing.T) {
	is := is.New(t)
	r := newRouter("entry-0", entries(1), view(4, "a"))
	fail := func(at time.Time) { r.RecordVerdict(at, "a-0", routing.VerdictFailed, time.Second, time.Second) }
	room := func(at time.Time) fleet.Slots {
		r.Tick(at)
		slots, _ := r.Slots("p")
		return slots - 24
	}
	for range 5 {
		fail(now)
	}
	is.Equal(room(now.Add(999*time.Millisecond)), fleet.Slots(0))
	is.Equal(room(now.Add(time.Second)), fleet.Slots(1)) // one request at a time
	fail(now.Add(time.Second))
	is.Equal(room(now.Add(2900*time.Millisecond)), fleet.Slots(0)) // the interval has doubled
	is.Equal(room(now.Add(3*time.Second)), fleet.Slots(1))
	r.RecordVerdict(now, "a-0", routing.VerdictAnswered, time.Second, time.Second)
	r.RecordVerdict(now, "a-0", routing.VerdictAnswered, time.Second, time.Second)
	is.Equal(room(now.Add(3*time.Second)), fleet.Slots(8))
}

// Guards against new work on a leaving endpoint (P6), whichever source reports it first.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	cases := []struct {
		name  string
		apply func(*routing.Router)
		again bool
	}{
		{"the endpoint reports it", func(r *routing.Router) { r.SetLeaving("a-0") }, false},
		{"the platform's list", func(r *routing.Router) {
			v := view(1, "a")
			v.Leaving["a-0"] = true
			r.Update(v, 1)
		}, false},
		{"a drain in the row", func(r *routing.Router) {
			v := view(1, "a")
			vm := v.VMs["a-0"]
			vm.State = fleet.VMStateDraining
			v.VMs["a-0"] = vm
			r.Update(v, 1)
		}, false},
		{"the report outlives a view with the same row", func(r *routing.Router) {
			r.SetLeaving("a-0")
			r.Update(view(1, "a"), 1)
		}, false},
		{"a new row ends the report", func(r *routing.Router) {
			r.SetLeaving("a-0")
			v := view(1, "a")
			vm := v.VMs["a-0"]
			vm.RowVersion++
			v.VMs["a-0"] = vm
			r.Update(v, 1)
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newRouter("entry-0", entries(1), view(1, "a"))
			r.Started("a-0", short)
			c.apply(r)
			_, ok := r.Pick("p", short)
			is.Equal(ok, c.again)
			is.Equal(r.Running("a-0"), fleet.Slots(1)) // running attempts stay counted
		})
	}
}

// Guards against endpoints that nobody uses because no entry of their zone is alive, and against use of
// the same slots by entries of two zones while one is.
func TestZoneWithoutEntries(t *testing.T) {
	ids := entries(3)
	cases := []struct {
		name string
		live map[fleet.ZoneID][]fleet.EntryID
		want fleet.Slots
	}{
		{"an entry lives there", map[fleet.ZoneID][]fleet.EntryID{"a": ids, "b": {"other"}}, 0},
		{"no entry lives there", map[fleet.ZoneID][]fleet.EntryID{"a": ids}, 16},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var sum fleet.Slots
			for _, id := range ids {
				r := newRouter(id, ids, view(2, "b"))
				r.SetLive(c.live)
				slots, _ := r.Slots("p")
				sum += slots
				is.New(t).Equal(r.OwnSlots("p"), fleet.Slots(0))
			}
			is.New(t).Equal(sum, c.want)
		})
	}
}

// Guards against a slot used twice: a loan that arrives again after it was given back is ignored.
func TestLateDuplicateOfReturnedLoan(t *testing.T) {
	is := is.New(t)
	a, b := pair()
	loans := a.Grant(now, routing.LoanRequest{Borrower: "entry-1", Pool: "p", Wanted: 3}, 0)
	b.Borrow(now, now, loans)
	for _, l := range b.ReturnSurplus("p", 0) {
		a.EndLoan(l)
	}
	b.Borrow(now, now, loans)
	slotsA, _ := a.Slots("p")
	slotsB, _ := b.Slots("p")
	is.Equal(slotsA+slotsB, fleet.Slots(16))
}

// Guards against a borrower that counts a loan for longer than its lender: the shorter setting holds.
func TestShorterLoanDurationHolds(t *testing.T) {
	is := is.New(t)
	a, b := pair()
	b.LoanDuration = time.Hour
	b.Borrow(now, now, a.Grant(now, routing.LoanRequest{Borrower: "entry-1", Pool: "p", Wanted: 3}, 0))
	b.Tick(now.Add(500 * time.Millisecond))
	slots, _ := b.Slots("p")
	is.Equal(slots, fleet.Slots(8))
}
