// Package poolsize decides how many VMs each pool should have, from second to second, and which VMs move.
// It answers demand that turns between pools faster than operators could: one queue asks for several
// times its mean while the others idle.
package poolsize

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// VM is a VM of a pool.
type VM struct {
	ID       fleet.VMID
	Endpoint fleet.EndpointID
	// Used is the demand of what runs on the VM.
	Used fleet.Millicores
	// Fixed VMs run work that a move would disturb, or cannot be reached, and do not move.
	Fixed bool
	// Reserved VMs are due for maintenance and do not move.
	Reserved bool
}

// Pool is the state of one pool.
type Pool struct {
	Service fleet.ServiceID
	// Spare is set for a pool whose VMs are off and cost nothing.
	Spare bool
	// Known is false when the demand of the pool could not be asked for; it then keeps its VMs.
	Known bool
	VMs   []VM
	// Arriving counts VMs on their way into the pool.
	Arriving int
	// VMCapacity is the processor capacity of one VM.
	VMCapacity fleet.Millicores
	// Used is the demand of what runs, Waiting the demand of tasks that could run at once.
	Used, Waiting fleet.Millicores
	// Late is the demand of tasks that wait and cannot meet their objective any more. It is worth little,
	// but has to be worked off.
	Late fleet.Millicores
}

// Move takes a VM from one pool to another.
type Move struct {
	VM       fleet.VMID
	Endpoint fleet.EndpointID
	From, To fleet.ServiceID
	// Reason tells which rule asked for the move.
	Reason Reason
}

// Reason is the cause of a move.
type Reason string

// Causes of moves.
const (
	// ReasonWaiting moves a VM to a pool whose tasks wait.
	ReasonWaiting Reason = "tasks wait"
	// ReasonUnused switches a VM off that its pool does not need.
	ReasonUnused Reason = "unused"
)

// Policy figures.
const (
	// surgeFactor is for how many times the waiting demand VMs are added. What waits when a peak begins is
	// a small part of what follows, and a VM needs seconds to arrive.
	surgeFactor = 10
	// surgeUtilisation is the share of a pool's capacity, in percent, from which on waiting tasks count as
	// the beginning of a peak.
	surgeUtilisation = 60
	// lateShare is the share of late demand, in percent, for which VMs are added.
	lateShare = 50
	// peakHalfLife is how fast the memory of a pool's peak fades. Demand that turns comes back within some
	// twenty seconds, so a pool gives its VMs up gradually unless another pool needs them.
	peakHalfLife = 20 * time.Second
	// utilisation is the share of its VMs' capacity, in percent, that the running tasks of a pool may use
	// before its VMs count as needed.
	utilisation = 75
	// unusedFor is how long a pool must have a VM too many before it is switched off: moving a VM there
	// and back costs about as much as two seconds of it.
	unusedFor = 2 * time.Second
	// minimumVMs is what a pool with queues keeps in any case.
	minimumVMs = 2
	// leastMoves and moveShare bound the moves that one decision starts, well below the calls that the
	// platform takes in a second: 64 for 48 VMs, 215 for 350. The larger of both holds.
	leastMoves = 24
	// moveShare is the part of all VMs, as its inverse.
	moveShare = 8
)

// Planner decides moves. One goroutine owns it. It keeps nothing that must survive: a new holder learns
// the peaks again.
type Planner struct {
	peaks  map[fleet.ServiceID]*peak
	excess map[fleet.ServiceID]time.Time
}

type peak struct {
	demand float64
	at     time.Time
}

// Decide returns the moves to start now, the most urgent first.
func (p *Planner) Decide(now time.Time, pools []Pool) []Move {
	if p.peaks == nil {
		p.peaks, p.excess = map[fleet.ServiceID]*peak{}, map[fleet.ServiceID]time.Time{}
	}
	pools = slices.Clone(pools)
	slices.SortFunc(pools, func(a, b Pool) int { return cmp.Compare(a.Service, b.Service) })
	for i := range pools {
		p.note(now, &pools[i])
		pools[i].VMs = slices.Clone(pools[i].VMs)
	}
	limit := MoveLimit(pools)
	moves := p.grow(pools, limit)
	return append(moves, p.shrink(now, pools, limit-len(moves))...)
}

// MoveLimit returns how many moves one decision starts at most.
func MoveLimit(pools []Pool) int {
	vms := 0
	for _, one := range pools {
		vms += len(one.VMs) + one.Arriving
	}
	return max(leastMoves, vms/moveShare)
}

// note remembers the peak of a pool's demand.
func (p *Planner) note(now time.Time, pool *Pool) {
	if !pool.Known || pool.Spare {
		return
	}
	// Half of what waits is counted: it is a backlog of more than a moment.
	demand := float64(pool.Used) + float64(pool.Waiting)/2
	k := p.peaks[pool.Service]
	if k == nil {
		// Until a peak was seen, the pool's present size stands for it.
		k = &peak{demand: float64(len(pool.VMs)) * float64(pool.VMCapacity), at: now}
		p.peaks[pool.Service] = k
	}
	faded := k.demand * math.Exp2(-float64(now.Sub(k.at))/float64(peakHalfLife))
	k.demand, k.at = max(demand, faded), now
}

// needed returns how many VMs a pool should keep while nothing waits anywhere.
func (p *Planner) needed(pool *Pool) int {
	if pool.VMCapacity <= 0 {
		return len(pool.VMs)
	}
	return max(running(pool), int(math.Ceil(p.peaks[pool.Service].demand/float64(pool.VMCapacity))))
}

// running returns how many VMs the running tasks of a pool occupy.
func running(pool *Pool) int {
	if pool.VMCapacity <= 0 {
		return len(pool.VMs)
	}
	return max(minimumVMs, int(math.Ceil(float64(pool.Used)*100/utilisation/float64(pool.VMCapacity))))
}

// wanted returns how many more VMs a pool with waiting tasks could use.
func wanted(pool *Pool) int {
	if !pool.Known || pool.Spare || pool.VMCapacity <= 0 || pool.Waiting+pool.Late <= 0 {
		return 0
	}
	return int(math.Ceil(pool.unserved()/float64(pool.VMCapacity))) - pool.Arriving
}

// unserved returns the demand for which a pool should get VMs. Tasks that wait although much of the pool
// is free, because of their size or where they may run, are no sign of a peak.
func (p *Pool) unserved() float64 {
	factor := 1.0
	if float64(p.Used)*100 >= surgeUtilisation*float64(p.VMCapacity)*float64(len(p.VMs)) {
		factor = surgeFactor
	}
	return float64(p.Waiting)*factor + float64(p.Late)*lateShare/100
}

// grow moves VMs to pools with waiting tasks: from the spare pool first, then from pools that do not
// need them. The pool with the most waiting work per VM comes first.
func (p *Planner) grow(pools []Pool, limit int) []Move {
	var moves []Move
	for len(moves) < limit {
		var target *Pool
		for i := range pools {
			one := &pools[i]
			if wanted(one) > 0 && (target == nil || pressure(one) > pressure(target)) {
				target = one
			}
		}
		if target == nil {
			return moves
		}
		donor, vm := p.donor(pools, target)
		if donor == nil {
			return moves
		}
		moves = append(moves, take(donor, vm, target, ReasonWaiting))
	}
	return moves
}

// pressure returns the waiting work per VM that a pool has or will have.
func pressure(pool *Pool) float64 {
	return pool.unserved() / float64(1+len(pool.VMs)+pool.Arriving)
}

// donor returns a pool that can give a VM, and which one.
func (p *Planner) donor(pools []Pool, target *Pool) (*Pool, int) {
	var best *Pool
	vm := -1
	for i := range pools {
		one := &pools[i]
		if one == target || !one.Known || one.Waiting > 0 || one.Late > 0 && pressure(one) >= pressure(target) {
			continue
		}
		if !one.Spare && len(one.VMs) <= running(one) {
			continue
		}
		k := leastUsed(one)
		if k < 0 {
			continue
		}
		if best == nil || one.Spare && !best.Spare || one.Spare == best.Spare && len(one.VMs) > len(best.VMs) {
			best, vm = one, k
		}
	}
	return best, vm
}

// leastUsed returns the VM that is emptied soonest, or -1 when none may move.
func leastUsed(pool *Pool) int {
	best := -1
	for i, v := range pool.VMs {
		if !v.Fixed && !v.Reserved && (best < 0 || v.Used < pool.VMs[best].Used) {
			best = i
		}
	}
	return best
}

func take(from *Pool, k int, to *Pool, reason Reason) Move {
	vm := from.VMs[k]
	from.VMs = slices.Delete(from.VMs, k, k+1)
	to.Arriving++
	return Move{VM: vm.ID, Endpoint: vm.Endpoint, From: from.Service, To: to.Service, Reason: reason}
}

// shrink switches VMs off that their pools have not needed for a while.
func (p *Planner) shrink(now time.Time, pools []Pool, limit int) []Move {
	spare := slices.IndexFunc(pools, func(one Pool) bool { return one.Spare && one.Known })
	if spare < 0 {
		return nil
	}
	var moves []Move
	for i := range pools {
		one := &pools[i]
		if one.Spare || !one.Known {
			continue
		}
		if one.Waiting+one.Late > 0 || one.Arriving > 0 || len(one.VMs) <= p.needed(one) {
			delete(p.excess, one.Service)
			continue
		}
		if p.excess[one.Service].IsZero() {
			p.excess[one.Service] = now
		}
		if now.Sub(p.excess[one.Service]) < unusedFor {
			continue
		}
		for len(moves) < limit && len(one.VMs) > p.needed(one) {
			k := leastUsed(one)
			if k < 0 || one.VMs[k].Used > 0 {
				break
			}
			moves = append(moves, take(one, k, &pools[spare], ReasonUnused))
		}
	}
	return moves
}
