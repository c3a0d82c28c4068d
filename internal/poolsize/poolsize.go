// Package poolsize decides how many VMs each pool should have from second to second, and which VMs move.
// It follows demand that shifts between pools faster than operators could: one queue has several times its
// mean demand while the others are idle.
package poolsize

import (
	"cmp"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// VM is the state of one VM of a pool.
type VM struct {
	ID       fleet.VMID
	Endpoint fleet.EndpointID
	// Capacity is the processor capacity; 0 when it is not known.
	Capacity fleet.Millicores
	// Used is the demand of the tasks that run on the VM.
	Used fleet.Millicores
	// Pinned VMs do not move: they run work that a move would disrupt, or cannot be reached.
	Pinned bool
	// Reserved VMs do not move: they are due for maintenance.
	Reserved bool
}

// Pool is the state of one pool.
type Pool struct {
	Service fleet.ServiceID
	// Spare is set for a pool whose VMs are switched off and cost nothing.
	Spare bool
	// Known is false when the demand of the pool could not be queried; the pool then keeps its VMs.
	Known bool
	VMs   []VM
	// Arriving are the VMs that will join the pool but cannot run tasks yet.
	Arriving int
	// ArrivingCapacity is their processor capacity.
	ArrivingCapacity fleet.Millicores
	// VMCapacity is the mean processor capacity of the pool's VMs.
	VMCapacity fleet.Millicores
	// Used is the demand of running tasks, Waiting the demand of tasks that could run at once.
	Used, Waiting fleet.Millicores
	// Backlog is the work of the tasks that Waiting counts, apart from lasting ones.
	Backlog fleet.Work
	// Late is the demand of waiting tasks that can no longer meet their objective. They have little value
	// but still have to be run.
	Late fleet.Millicores
	// Lasting is the part of Used that lasting tasks account for, UsedLate that of work like Late.
	Lasting, UsedLate fleet.Millicores
	// Stranded is the number of VMs that waiting lasting tasks need because they fit on none of the pool's.
	Stranded int
	// Arrived counts the work of all jobs that the pool's holder has accepted; it restarts with the holder.
	Arrived fleet.Work
	// ArrivedJobs is their number.
	ArrivedJobs int
}

// Move moves a VM from one pool to another.
type Move struct {
	VM       fleet.VMID
	Endpoint fleet.EndpointID
	From, To fleet.ServiceID
	// Reason is the rule that caused the move.
	Reason Reason
}

// Reason is the rule that caused a move.
type Reason string

// Reasons of moves.
const (
	// ReasonLasting moves a VM to a pool whose lasting tasks fit on none of its VMs.
	ReasonLasting Reason = "lasting tasks wait"
	// ReasonDemand moves a VM to a pool that has less than its share of the demand.
	ReasonDemand Reason = "demand"
	// ReasonUnused moves a VM that its pool does not need to the spare pool, where it is switched off.
	ReasonUnused Reason = "unused"
)

// Parameters of the policy.
const (
	// shrinkDelay is how long a pool must have more VMs than it keeps before one is switched off. Moving a
	// VM to the spare pool and back costs about as much as two seconds of the VM.
	shrinkDelay = 2 * time.Second
	// minVMs is the least number of VMs of a pool with queues.
	minVMs = 2
	// minMoveLimit and moveDivisor bound the moves that one decision starts, well below the calls per second
	// that the platform accepts: 64 for 48 VMs, 215 for 350. The larger of both bounds applies.
	minMoveLimit = 24
	// moveDivisor is the number of VMs per move.
	moveDivisor = 8
)

// Planner decides which VMs move. It is not safe for concurrent use. Its state need not be persisted: after a
// takeover the new holder records the demand afresh.
type Planner struct {
	histories   map[fleet.ServiceID]*history
	excessSince map[fleet.ServiceID]time.Time
	shares      []Share
}

// Share says what a pool has, and what it should have and why.
type Share struct {
	Service fleet.ServiceID
	// VMs and Arriving count the pool's VMs.
	VMs, Arriving int
	// Used, Waiting and Offered are the demand of running tasks, of tasks that could run at once, and of the
	// work that has arrived lately. Stranded is the number of VMs that lasting tasks wait for.
	Used, Waiting, Offered fleet.Millicores
	Stranded               int
	// Has is the capacity of the pool's VMs, arriving ones included.
	Has fleet.Millicores
	// Demand is what work that can be in time needs, Late what other work may get besides.
	Demand, Late fleet.Millicores
	// Share is what the pool should have: its part of the capacity of all pools.
	Share fleet.Millicores
	// Keep is what the pool keeps unless another one needs it.
	Keep fleet.Millicores
}

// Shares returns the shares of the last decision, sorted by service.
func (p *Planner) Shares() []Share { return p.shares }

// Decide returns the moves to start now, most urgent first.
func (p *Planner) Decide(now time.Time, pools []Pool) []Move {
	if p.histories == nil {
		p.histories, p.excessSince = map[fleet.ServiceID]*history{}, map[fleet.ServiceID]time.Time{}
	}
	pools = slices.Clone(pools)
	slices.SortFunc(pools, func(a, b Pool) int { return cmp.Compare(a.Service, b.Service) })
	for i := range pools {
		pools[i].VMs = slices.Clone(pools[i].VMs)
	}
	r := p.newRound(now, pools)
	p.shares = r.shares()
	limit := MoveLimit(pools)
	moves := r.strandedMoves(limit)
	moves = append(moves, r.demandMoves(limit-len(moves))...)
	return append(moves, p.shrink(now, r, limit-len(moves))...)
}

// MoveLimit returns the maximum number of moves that one decision starts.
func MoveLimit(pools []Pool) int {
	vms := 0
	for _, pool := range pools {
		vms += len(pool.VMs) + pool.Arriving
	}
	return max(minMoveLimit, vms/moveDivisor)
}

// shrink moves idle VMs that their pools have not needed for shrinkDelay to the spare pool.
func (p *Planner) shrink(now time.Time, r *round, limit int) []Move {
	spare := slices.IndexFunc(r.pools, func(pool *poolRound) bool { return pool.Spare && pool.Known })
	if spare < 0 {
		return nil
	}
	var moves []Move
	for _, pool := range r.pools {
		if !pool.active() {
			continue
		}
		if pool.Waiting+pool.Late > 0 || pool.Arriving > 0 || pool.has-pool.VMCapacity < pool.keep {
			delete(p.excessSince, pool.Service)
			continue
		}
		if p.excessSince[pool.Service].IsZero() {
			p.excessSince[pool.Service] = now
		}
		if now.Sub(p.excessSince[pool.Service]) < shrinkDelay {
			continue
		}
		for len(moves) < limit && len(pool.VMs) > minVMs {
			k := pool.leastUsed(0)
			if k < 0 || pool.VMs[k].Used > 0 || pool.has-pool.capacityOf(k) < pool.keep {
				break
			}
			moves = append(moves, pool.give(k, r.pools[spare], ReasonUnused))
		}
	}
	return moves
}
