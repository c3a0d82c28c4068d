package spare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Options set how eagerly VMs are lent. Zero values take the defaults.
type Options struct {
	// Utilisation is the share of a pool's capacity that its forecast demand may use. The rest is
	// the buffer, which covers peaks together with the queues.
	Utilisation fleet.Percent
	// Horizon is how far ahead a pool must be large enough: the lag of the usage and the time of a move.
	Horizon time.Duration
	// KeepTime is how far ahead a VM must be superfluous before it is taken back. It is about as
	// long as the buffer that costs as much as a move.
	KeepTime time.Duration
	// Hold is how long a VM must have been superfluous before it is taken back.
	Hold time.Duration
	// MovesPerHour bounds the moves of all pools.
	MovesPerHour fleet.VMsPerHour
	// Interval is the time between decisions.
	Interval time.Duration
}

// DefaultOptions returns the options that the policy benchmark was tuned with.
func DefaultOptions() Options {
	return Options{
		Utilisation: 75, Horizon: 8 * time.Minute, KeepTime: 30 * time.Minute, Hold: 10 * time.Minute,
		MovesPerHour: 30, Interval: 30 * time.Second,
	}
}

// Move takes a VM from one pool to another.
type Move struct {
	VM       fleet.VMID
	From, To fleet.PoolID
}

// Planner decides moves from and to the lending pools. One goroutine owns it. It keeps nothing that
// must survive: which VMs are lent is in their rows, and the forecast is learned again.
type Planner struct {
	// Options are set before the first decision.
	Options Options

	forecasts map[fleet.PoolID]*forecast
	// superfluous is since when a pool could do with one VM less.
	superfluous map[fleet.PoolID]time.Time
	// allowance is how many moves may start now; it fills at the rate of MovesPerHour.
	allowance float64
	decidedAt time.Time
}

// Decide returns the moves to start now, the most urgent first.
func (p *Planner) Decide(now time.Time, pools []Pool) []Move {
	p.fill(now)
	for _, pool := range pools {
		p.observe(pool)
	}
	taken := map[fleet.VMID]bool{}
	list := p.lend(pools, taken)
	list = append(list, p.takeBack(now, pools, taken)...)
	if most := int(p.allowance); len(list) > most {
		list = list[:most]
	}
	p.allowance -= float64(len(list))
	for _, m := range list {
		delete(p.superfluous, m.From)
	}
	return list
}

// fill adds to the allowance for the time since the last decision. At most a quarter of an hour's
// moves may start together, and a new holder of the duty begins with that.
func (p *Planner) fill(now time.Time) {
	if p.forecasts == nil {
		p.forecasts, p.superfluous = map[fleet.PoolID]*forecast{}, map[fleet.PoolID]time.Time{}
		p.decidedAt = now.Add(-time.Hour)
	}
	rate := float64(p.Options.MovesPerHour)
	p.allowance = min(p.allowance+rate*max(0, now.Sub(p.decidedAt).Hours()), max(1, rate/4))
	p.decidedAt = now
}

func (p *Planner) observe(pool Pool) {
	f := p.forecasts[pool.ID]
	if f == nil {
		f = &forecast{}
		p.forecasts[pool.ID] = f
	}
	f.observe(pool.BusyAt, pool.demand())
}

// need returns the VMs that a pool needs a while ahead, as a fraction.
func (p *Planner) need(pool fleet.PoolID, ahead time.Duration) VMs {
	return p.forecasts[pool].ahead(ahead, p.Options.Interval) / (VMs(p.Options.Utilisation) / 100)
}

// lend returns moves to the pools that will be too small, the one that lacks most first.
func (p *Planner) lend(pools []Pool, taken map[fleet.VMID]bool) []Move {
	type gap struct {
		pool Pool
		vms  fleet.VMCount
	}
	var gaps []gap
	for _, pool := range pools {
		if pool.Lender || !p.isLearned(pool.ID) {
			continue
		}
		want := fleet.VMCount(math.Ceil(float64(p.need(pool.ID, p.Options.Horizon))))
		if pool.MaxVMs > 0 {
			want = min(want, pool.MaxVMs)
		}
		if want > pool.size() {
			gaps = append(gaps, gap{pool: pool, vms: want - pool.size()})
		}
	}
	slices.SortStableFunc(gaps, func(a, b gap) int { return cmp.Compare(b.vms, a.vms) })
	var list []Move
	for _, g := range gaps {
		for range g.vms {
			if m, ok := p.pick(pools, g.pool, taken); ok {
				list = append(list, m)
			}
		}
	}
	return list
}

// isLearned reports whether the forecast has seen more than one peak.
func (p *Planner) isLearned(pool fleet.PoolID) bool {
	f := p.forecasts[pool]
	return f.at.Sub(f.begun) >= levelTime
}

// pick chooses a VM of a lending pool that can spare one, in the zone where the borrower has fewest.
func (p *Planner) pick(pools []Pool, borrower Pool, taken map[fleet.VMID]bool) (Move, bool) {
	zones := map[fleet.ZoneID]int{}
	for _, vm := range slices.Concat(borrower.Home, borrower.Borrowed) {
		zones[vm.Zone]++
	}
	var best *fleet.VM
	var from fleet.PoolID
	for _, lender := range pools {
		if !lender.Lender || lender.ID == borrower.ID || !p.canSpare(lender, taken) {
			continue
		}
		for _, vm := range lender.Home {
			if !taken[vm.ID] && (best == nil || zones[vm.Zone] < zones[best.Zone]) {
				best, from = &vm, lender.ID
			}
		}
	}
	if best == nil {
		return Move{}, false
	}
	taken[best.ID] = true
	return Move{VM: best.ID, From: from, To: borrower.ID}, true
}

// canSpare reports whether a lending pool keeps enough for its own work without one more VM.
func (p *Planner) canSpare(lender Pool, taken map[fleet.VMID]bool) bool {
	left := len(lender.Home) - 1
	for _, vm := range lender.Home {
		if taken[vm.ID] {
			left--
		}
	}
	return VMs(left) >= p.need(lender.ID, p.Options.Horizon)
}

// takeBack returns moves of borrowed VMs to the pools that lent them: from pools that were large
// enough without one VM for the hold time, and from those with most room when a lender lacks VMs.
func (p *Planner) takeBack(now time.Time, pools []Pool, taken map[fleet.VMID]bool) []Move {
	lacking := map[fleet.PoolID]bool{}
	for _, pool := range pools {
		lacking[pool.ID] = pool.Lender && VMs(pool.size()) < p.need(pool.ID, p.Options.Horizon)
	}
	var list []Move
	for _, pool := range pools {
		if pool.Lender || len(pool.Borrowed) == 0 {
			delete(p.superfluous, pool.ID)
			continue
		}
		vm := mostCrowded(pool)
		wait := p.Options.Hold
		if lacking[vm.HomePool] {
			wait = 0
		}
		if p.isSuperfluous(now, pool, wait) && !taken[vm.ID] {
			list = append(list, Move{VM: vm.ID, From: pool.ID, To: vm.HomePool})
		}
	}
	return list
}

// isSuperfluous reports whether the pool could do with one VM less now and within the keep time, and
// has been so for the hold time.
func (p *Planner) isSuperfluous(now time.Time, pool Pool, hold time.Duration) bool {
	need := max(p.need(pool.ID, p.Options.Horizon), p.need(pool.ID, p.Options.KeepTime))
	if !p.isLearned(pool.ID) || need > VMs(pool.size()-1) {
		delete(p.superfluous, pool.ID)
		return false
	}
	since, ok := p.superfluous[pool.ID]
	if !ok {
		since = now
		p.superfluous[pool.ID] = now
	}
	return now.Sub(since) >= hold
}

// mostCrowded returns the borrowed VM in the zone where the pool has most VMs.
func mostCrowded(pool Pool) fleet.VM {
	zones := map[fleet.ZoneID]int{}
	for _, vm := range slices.Concat(pool.Home, pool.Borrowed) {
		zones[vm.Zone]++
	}
	return slices.MaxFunc(pool.Borrowed, func(a, b fleet.VM) int {
		return cmp.Or(cmp.Compare(zones[a.Zone], zones[b.Zone]), cmp.Compare(b.ID, a.ID))
	})
}
