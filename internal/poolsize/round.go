package poolsize

import (
	"cmp"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Parameters of a pool's demand.
const (
	// utilisationPercent is the share of a pool's capacity that its tasks can use: they are of different sizes, and
	// what is left on a VM may fit none.
	utilisationPercent = 85
	// latePercent is the share of late demand for which a pool gets VMs that no other pool needs in time.
	latePercent = 50
	// surgePerJob and maxSurge bound the demand of the arriving work, as multiples of that of started and waiting tasks:
	// by the number of jobs within onsetSpan, because a single large job is no peak, and by the part of a peak that has
	// arrived by then, an eighth of what tasks of two seconds will ask for.
	surgePerJob, maxSurge = 2, 8
)

// round is one decision.
type round struct {
	pools []*poolRound
}

// poolRound is a pool during one decision. Its VMs leave the list as they are given away.
type poolRound struct {
	Pool
	// has is the capacity of the pool's VMs, arriving ones included.
	has fleet.Millicores
	// demand is what work uses that can be in time, margin what it needs besides because VMs cannot be used in full,
	// late what other work may get.
	demand, margin, late fleet.Millicores
	// share is the pool's part of the capacity of all pools, keep what it keeps unless another pool needs it.
	share, keep fleet.Millicores
	// offered is the rate at which work arrives.
	offered fleet.Millicores
}

// active reports whether the pool's size may change with its demand.
func (p *poolRound) active() bool { return p.Known && !p.Spare && p.VMCapacity > 0 }

func (p *Planner) newRound(now time.Time, pools []Pool) *round {
	r := &round{}
	usual := usualCapacity(pools)
	for _, pool := range pools {
		if pool.Spare {
			pool.VMCapacity = usual
		}
		p.addPool(now, r, pool)
	}
	r.allocate()
	return r
}

// usualCapacity returns the mean of the pools' VM capacities. It stands for that of VMs that are off, which may not be
// listed.
func usualCapacity(pools []Pool) fleet.Millicores {
	var sum, count fleet.Millicores
	for _, pool := range pools {
		if !pool.Spare && pool.VMCapacity > 0 {
			sum, count = sum+clamp(pool.VMCapacity), count+1
		}
	}
	return sum / max(1, count)
}

func (p *Planner) addPool(now time.Time, r *round, pool Pool) {
	pool.Used, pool.Waiting, pool.Late, pool.Lasting = clamp(pool.Used), clamp(pool.Waiting), clamp(pool.Late), clamp(pool.Lasting)
	pool.UsedLate = min(clamp(pool.UsedLate), pool.Used)
	pool.VMCapacity, pool.Stranded, pool.Arriving = clamp(pool.VMCapacity), max(0, pool.Stranded), max(0, pool.Arriving)
	n := &poolRound{Pool: pool}
	for k := range n.VMs {
		n.has += n.capacityOf(k)
	}
	if n.ArrivingCapacity = clamp(pool.ArrivingCapacity); n.ArrivingCapacity == 0 {
		n.ArrivingCapacity = fleet.Millicores(pool.Arriving) * pool.VMCapacity
	}
	n.has += n.ArrivingCapacity
	r.pools = append(r.pools, n)
	if !n.active() {
		return
	}
	h := p.histories[pool.Service]
	if h == nil {
		h = &history{}
		p.histories[pool.Service] = h
	}
	var jobs int
	n.offered, jobs = h.offered(now, pool.Arrived, pool.ArrivedJobs)
	demand := h.settled(now, pool.presentDemand(n.offered, jobs))
	n.demand = max(demand, n.unplacedDemand(), minVMs*pool.VMCapacity)
	n.margin = max(0, demand*100/utilisationPercent-n.demand)
	n.late = pool.UsedLate + pool.Late*latePercent/100
	n.keep = max(n.demand+n.margin, h.kept(now, min(n.demand+n.margin, n.has), n.has))
}

// presentDemand returns the capacity with which the pool keeps up with the work that arrives at the given rate, in as
// many jobs within onsetSpan, and begins what waits within drainSpan.
func (p *Pool) presentDemand(offered fleet.Millicores, jobs int) fleet.Millicores {
	running := p.Used - p.UsedLate
	all := running + p.Waiting
	passing := all - min(all, p.Lasting) // that of tasks which end
	surge := fleet.Millicores(surgePerJob * min(max(1, jobs), maxSurge/surgePerJob))
	sustained := max(running, p.Lasting+min(offered, surge*passing))
	return max(min(all, sustained+clamp(fleet.Millicores(float64(p.Backlog)/drainSpan.Seconds()))), sustained)
}

// unplacedDemand returns the demand of a pool whose tasks wait although no VM is idle or on its way: they do not fit,
// however much is left on the VMs. It asks for one more VM at a time.
func (p *poolRound) unplacedDemand() fleet.Millicores {
	if p.Waiting == 0 || p.Arriving > 0 || slices.ContainsFunc(p.VMs, func(v VM) bool { return v.Used == 0 }) {
		return 0
	}
	return p.has + min(p.Waiting, p.VMCapacity)
}

// capacityOf returns the capacity of a VM of the pool.
func (p *poolRound) capacityOf(k int) fleet.Millicores {
	if c := clamp(p.VMs[k].Capacity); c > 0 {
		return c
	}
	return p.VMCapacity
}

// allocate divides the capacity of all pools: first what lasting tasks lack, then among the demands that can be in
// time, then among their margins and the late ones, each time so that the least satisfied pool gets as much as
// possible (max-min fairness).
func (r *round) allocate() {
	var total fleet.Millicores
	var active []*poolRound
	for _, pool := range r.pools {
		if pool.active() {
			active = append(active, pool)
		}
		if pool.active() || pool.Spare && pool.Known {
			total += pool.has
		}
	}
	for _, pool := range active {
		pool.share = min(total, fleet.Millicores(pool.Stranded)*pool.VMCapacity)
		total -= pool.share
	}
	left := divide(total, active, func(p *poolRound) fleet.Millicores { return p.demand })
	left = divide(left, active, func(p *poolRound) fleet.Millicores { return p.margin })
	divide(left, active, func(p *poolRound) fleet.Millicores { return p.late })
}

// divide adds to the shares of pools what they get of a capacity, and returns what is left of it.
func divide(capacity fleet.Millicores, pools []*poolRound, want func(*poolRound) fleet.Millicores) fleet.Millicores {
	sorted := slices.Clone(pools)
	slices.SortStableFunc(sorted, func(a, b *poolRound) int { return cmp.Compare(want(a), want(b)) })
	for i, pool := range sorted {
		part := min(want(pool), capacity/fleet.Millicores(len(sorted)-i))
		pool.share += part
		capacity -= part
	}
	return capacity
}

func (r *round) shares() []Share {
	var list []Share
	for _, pool := range r.pools {
		if pool.active() {
			list = append(list, Share{
				Service: pool.Service, VMs: len(pool.VMs), Arriving: pool.Arriving, Used: pool.Used, Waiting: pool.Waiting, Offered: pool.offered,
				Stranded: pool.Stranded, Has: pool.has, Demand: pool.demand, Late: pool.late, Share: pool.share, Keep: pool.keep,
			})
		}
	}
	return list
}

// leastUsed returns the index of the VM with the least demand, which is vacated soonest, or -1 when no VM may move.
// Among equals it is the smallest one with at least the capacity that is lacking, or else the largest.
func (p *poolRound) leastUsed(lacking fleet.Millicores) int {
	best := -1
	for i, v := range p.VMs {
		if !v.Pinned && !v.Reserved && (best < 0 || v.Used < p.VMs[best].Used || v.Used == p.VMs[best].Used && p.fitsBetter(i, best, lacking)) {
			best = i
		}
	}
	return best
}

func (p *poolRound) fitsBetter(i, other int, lacking fleet.Millicores) bool {
	a, b := p.capacityOf(i), p.capacityOf(other)
	if a >= lacking && b >= lacking {
		return a < b
	}
	return a > b
}

// give plans the move of a VM.
func (p *poolRound) give(k int, to *poolRound, reason Reason) Move {
	vm, capacity := p.VMs[k], p.capacityOf(k)
	p.VMs = slices.Delete(p.VMs, k, k+1)
	p.has -= capacity
	to.has += capacity
	to.Arriving++
	return Move{VM: vm.ID, Endpoint: vm.Endpoint, From: p.Service, To: to.Service, Reason: reason}
}

// strandedMoves gives VMs to pools whose lasting tasks fit on none of their own. Lasting tasks have to run however
// full the service is, so the VMs come from any pool, first from those with the most to spare.
func (r *round) strandedMoves(limit int) []Move {
	var moves []Move
	for _, pool := range r.pools {
		for n := pool.Stranded - pool.Arriving; pool.active() && n > 0 && len(moves) < limit; n-- {
			donor, k := r.donor(pool, func(*poolRound) fleet.Millicores { return 0 })
			if donor == nil {
				return moves
			}
			moves = append(moves, donor.give(k, pool, ReasonLasting))
		}
	}
	return moves
}

// demandMoves gives VMs to the pools that lack most of their share, from the spare pool first, then from pools that
// have more than they keep, then from those that have more than their share.
func (r *round) demandMoves(limit int) []Move {
	var moves []Move
	for len(moves) < limit {
		target := r.neediest()
		if target == nil {
			return moves
		}
		donor, k := r.donor(target, func(p *poolRound) fleet.Millicores { return max(p.share, p.keep) })
		if donor == nil {
			donor, k = r.donor(target, func(p *poolRound) fleet.Millicores { return p.share })
		}
		if donor == nil {
			return moves
		}
		moves = append(moves, donor.give(k, target, ReasonDemand))
	}
	return moves
}

// neediest returns the pool that lacks the largest part of its share, or nil when none lacks a VM.
func (r *round) neediest() *poolRound {
	var best *poolRound
	for _, pool := range r.pools {
		if !pool.active() || pool.share-pool.has <= pool.VMCapacity/2 {
			continue
		}
		if best == nil || pool.satisfied() < best.satisfied() {
			best = pool
		}
	}
	return best
}

// satisfied returns the part of its share that a pool has.
func (p *poolRound) satisfied() float64 { return float64(p.has) / float64(max(1, p.share)) }

// donor returns a pool that can give a VM to the target and still has what it retains, and the index of the VM; or
// nil. A pool that has more beyond that gives first, and the spare pool before all others.
func (r *round) donor(target *poolRound, retains func(*poolRound) fleet.Millicores) (*poolRound, int) {
	var best *poolRound
	var bestExcess fleet.Millicores
	vm := -1
	for _, pool := range r.pools {
		if pool == target || !pool.Known {
			continue
		}
		k := pool.leastUsed(target.share - target.has)
		if k < 0 {
			continue
		}
		if pool.Spare {
			return pool, k
		}
		excess := pool.has - pool.capacityOf(k) - retains(pool)
		if !pool.active() || excess < 0 || len(pool.VMs) <= minVMs {
			continue
		}
		if best == nil || excess > bestExcess {
			best, bestExcess, vm = pool, excess, k
		}
	}
	return best, vm
}
