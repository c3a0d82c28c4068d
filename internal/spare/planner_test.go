package spare_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/spare"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against lending VMs for work that more VMs cannot help or VMs that the lender needs, and against
// pools whose size oscillates with the load. Each case decides every 30 s for two hours.
func TestPlanner(t *testing.T) {
	oscillating := func(i, _ int) spare.VMs { return 7.4 + 0.5*spare.VMs(i%4-2) }
	steady := func(v spare.VMs) func(int, int) spare.VMs { return func(int, int) spare.VMs { return v } }
	saturated := func(_, size int) spare.VMs { return 0.95 * spare.VMs(size) }
	cases := []struct {
		name      string
		busy      func(i, size int) spare.VMs
		queued    time.Duration
		spare     int
		lenderAt  spare.VMs
		borrowed  int
		maxVMs    fleet.VMCount
		lent      [2]int
		reclaimed [2]int
	}{
		{name: "enough", busy: steady(6), spare: 8},
		{name: "demand above the buffer", busy: steady(9), spare: 8, lent: [2]int{2, 2}},
		{name: "rising demand", busy: func(i, _ int) spare.VMs { return 5 + spare.VMs(i)/60 }, spare: 8, lent: [2]int{3, 3}},
		{name: "load that changes every minute", busy: oscillating, spare: 8, lent: [2]int{0, 1}},
		{name: "work that can never run", busy: steady(3), queued: 10 * time.Hour, spare: 8},
		{name: "work that waits for VMs", busy: saturated, queued: time.Hour, spare: 8, lent: [2]int{8, 8}},
		{name: "lender needs its VMs", busy: steady(9), spare: 4, lenderAt: 2.9},
		{name: "at its maximum size", busy: steady(9.5), spare: 8, maxVMs: 11, lent: [2]int{1, 1}},
		{name: "surplus VMs", busy: steady(6), spare: 4, borrowed: 3, reclaimed: [2]int{3, 3}},
		{name: "borrowed and needed", busy: steady(9), spare: 4, borrowed: 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p, borrowedVMs := newPlanner(), borrowed("rota", c.borrowed)
			lender, lent, reclaimed := vms("spare-home", c.spare), 0, 0
			for i := range 240 {
				now := start.Add(time.Duration(i) * 30 * time.Second)
				for _, m := range p.Decide(now, []spare.Pool{
					{ID: "rota", Home: vms("rota", 10), Borrowed: borrowedVMs, MaxVMs: c.maxVMs, Busy: c.busy(i, 10+len(borrowedVMs)), BusyAt: now, Queued: c.queued, SlotsPerVM: 8},
					{ID: "spare", Lender: true, Home: lender, Busy: c.lenderAt, BusyAt: now},
				}) {
					if m.From == "rota" {
						borrowedVMs, reclaimed = borrowedVMs[:len(borrowedVMs)-1], reclaimed+1
						continue
					}
					is.Equal(m.To, fleet.PoolID("rota"))
					borrowedVMs, lender, lent = append(borrowedVMs, fleet.VM{ID: m.VM, HomePool: "spare"}), lender[:len(lender)-1], lent+1
				}
			}
			t.Logf("lent %d, reclaimed %d", lent, reclaimed)
			is.True(lent >= c.lent[0] && lent <= c.lent[1])                     // lent
			is.True(reclaimed >= c.reclaimed[0] && reclaimed <= c.reclaimed[1]) // reclaimed
		})
	}
}

// Guards against more moves per hour than MovesPerHour, however large the demand.
func TestPlannerKeepsBudgetForMoves(t *testing.T) {
	is := is.New(t)
	p, moves := newPlanner(), 0
	p.Options.MovesPerHour = 8
	for i := range 240 {
		now := start.Add(time.Duration(i) * 30 * time.Second)
		moves += len(p.Decide(now, []spare.Pool{
			{ID: "rota", Home: vms("rota", 10), Busy: 60, BusyAt: now},
			{ID: "spare", Lender: true, Home: vms("spare", 99), BusyAt: now},
		}))
	}
	is.True(moves >= 16 && moves <= 16+2) // two hours and the initial tokens
}
