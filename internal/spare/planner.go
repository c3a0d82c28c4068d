package spare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Options configure a Planner. DefaultOptions returns the defaults; zero values are not replaced.
type Options struct {
	// Utilisation is the share of a pool's capacity that its forecast demand may use. The rest is a
	// buffer, which absorbs peaks together with the queues.
	Utilisation fleet.Percent
	// Horizon is how far ahead a pool must be large enough. It covers the lag of the usage and the
	// duration of a move.
	Horizon time.Duration
	// ReclaimHorizon is how far ahead a VM must be surplus before it is reclaimed. It is about as long
	// as a VM can idle at the cost of one move.
	ReclaimHorizon time.Duration
	// ReclaimDelay is how long a VM must have been surplus before it is reclaimed.
	ReclaimDelay time.Duration
	// MovesPerHour bounds the rate of moves over all pools.
	MovesPerHour fleet.VMsPerHour
	// Interval is the time between decisions.
	Interval time.Duration
}

// DefaultOptions returns the default options, which BenchmarkPolicySpare evaluates.
func DefaultOptions() Options {
	return Options{
		Utilisation: 75, Horizon: 8 * time.Minute, ReclaimHorizon: 30 * time.Minute, ReclaimDelay: 10 * time.Minute,
		MovesPerHour: 30, Interval: 30 * time.Second,
	}
}

// Move takes a VM from one pool to another.
type Move struct {
	VM       fleet.VMID
	From, To fleet.PoolID
}

// Planner decides moves from and to the lending pools. It must be used by one goroutine. It holds no
// durable state: which VMs are lent is in their rows, and the forecasts are rebuilt from new samples.
type Planner struct {
	// Options are set before the first decision.
	Options Options

	forecasts map[fleet.PoolID]*forecast
	// surplusSince is when each pool began to have one VM more than it needs.
	surplusSince map[fleet.PoolID]time.Time
	// tokens is the fill of a token bucket for moves, which refills at MovesPerHour.
	tokens    float64
	decidedAt time.Time
}

// Decide returns the moves to start now, most urgent first.
func (p *Planner) Decide(now time.Time, pools []Pool) []Move {
	p.refill(now)
	for _, pool := range pools {
		p.observe(pool)
	}
	taken := map[fleet.VMID]bool{}
	list := p.lend(pools, taken)
	list = append(list, p.reclaim(now, pools, taken)...)
	if limit := int(p.tokens); len(list) > limit {
		list = list[:limit]
	}
	p.tokens -= float64(len(list))
	for _, m := range list {
		delete(p.surplusSince, m.From)
	}
	return list
}

// refill adds tokens for the time since the last decision. The bucket holds the moves of a quarter of an
// hour, and it is full when the planner starts.
func (p *Planner) refill(now time.Time) {
	if p.forecasts == nil {
		p.forecasts, p.surplusSince = map[fleet.PoolID]*forecast{}, map[fleet.PoolID]time.Time{}
		p.decidedAt = now.Add(-time.Hour)
	}
	rate := float64(p.Options.MovesPerHour)
	p.tokens = min(p.tokens+rate*max(0, now.Sub(p.decidedAt).Hours()), max(1, rate/4))
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

// need returns the capacity that a pool needs at the horizon, including its buffer.
func (p *Planner) need(pool fleet.PoolID, horizon time.Duration) VMs {
	return p.forecasts[pool].predict(horizon, p.Options.Interval) / (VMs(p.Options.Utilisation) / 100)
}

// lend returns moves to the pools that will be too small, starting with the largest shortfall.
func (p *Planner) lend(pools []Pool, taken map[fleet.VMID]bool) []Move {
	type gap struct {
		pool Pool
		vms  fleet.VMCount
	}
	var gaps []gap
	for _, pool := range pools {
		if pool.Lender || !p.isWarmedUp(pool.ID) {
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
			if m, ok := p.pickVM(pools, g.pool, taken); ok {
				list = append(list, m)
			}
		}
	}
	return list
}

// isWarmedUp reports whether the forecast of a pool covers more than one peak.
func (p *Planner) isWarmedUp(pool fleet.PoolID) bool {
	f := p.forecasts[pool]
	return f.sampledAt.Sub(f.startedAt) >= levelTime
}

// pickVM chooses a VM of a lending pool that can spare one, from the zone where the borrower has fewest.
func (p *Planner) pickVM(pools []Pool, borrower Pool, taken map[fleet.VMID]bool) (Move, bool) {
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

// canSpare reports whether a lending pool would keep enough VMs for its own work after lending one more.
func (p *Planner) canSpare(lender Pool, taken map[fleet.VMID]bool) bool {
	left := len(lender.Home) - 1
	for _, vm := range lender.Home {
		if taken[vm.ID] {
			left--
		}
	}
	return VMs(left) >= p.need(lender.ID, p.Options.Horizon)
}

// reclaim returns moves of borrowed VMs back to the pools that lent them, from pools that have had a
// surplus VM for ReclaimDelay, or have one now if the lender is short of VMs.
func (p *Planner) reclaim(now time.Time, pools []Pool, taken map[fleet.VMID]bool) []Move {
	lacking := map[fleet.PoolID]bool{}
	for _, pool := range pools {
		lacking[pool.ID] = pool.Lender && VMs(pool.size()) < p.need(pool.ID, p.Options.Horizon)
	}
	var list []Move
	for _, pool := range pools {
		if pool.Lender || len(pool.Borrowed) == 0 {
			delete(p.surplusSince, pool.ID)
			continue
		}
		vm := inFullestZone(pool)
		delay := p.Options.ReclaimDelay
		if lacking[vm.HomePool] {
			delay = 0
		}
		if p.isSurplus(now, pool, delay) && !taken[vm.ID] {
			list = append(list, Move{VM: vm.ID, From: pool.ID, To: vm.HomePool})
		}
	}
	return list
}

// isSurplus reports whether the pool has one VM more than it needs, at Horizon and at ReclaimHorizon, and
// has had it for the delay.
func (p *Planner) isSurplus(now time.Time, pool Pool, delay time.Duration) bool {
	need := max(p.need(pool.ID, p.Options.Horizon), p.need(pool.ID, p.Options.ReclaimHorizon))
	if !p.isWarmedUp(pool.ID) || need > VMs(pool.size()-1) {
		delete(p.surplusSince, pool.ID)
		return false
	}
	since, ok := p.surplusSince[pool.ID]
	if !ok {
		since = now
		p.surplusSince[pool.ID] = now
	}
	return now.Sub(since) >= delay
}

// inFullestZone returns a borrowed VM in the zone where the pool has most VMs.
func inFullestZone(pool Pool) fleet.VM {
	zones := map[fleet.ZoneID]int{}
	for _, vm := range slices.Concat(pool.Home, pool.Borrowed) {
		zones[vm.Zone]++
	}
	return slices.MaxFunc(pool.Borrowed, func(a, b fleet.VM) int {
		return cmp.Or(cmp.Compare(zones[a.Zone], zones[b.Zone]), cmp.Compare(b.ID, a.ID))
	})
}
