package maintenance

import (
	"github.com/mimosawharf/mimosawharf/internal/budget"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Capacity tracks how much of each pool's budget is left, starting from one view of the fleet. It is not
// safe for concurrent use.
type Capacity map[fleet.PoolID]budget.Pool

// NewCapacity returns the capacity of the pools of a configuration. lost holds the VMs that are not
// known to be available.
func NewCapacity(c fleet.Configuration, vms map[fleet.VMID]fleet.VM, lost map[fleet.VMID]bool) Capacity {
	sizes := map[fleet.PoolID]int{}
	for _, vm := range vms {
		sizes[vm.Pool]++
	}
	pools := make(map[fleet.PoolID]*budget.Pool, len(c.Pools))
	for id, pool := range c.Pools {
		// Allocated up front, because growing the lists took most of the time at 7,400 VMs.
		pools[id] = &budget.Pool{Config: pool, VMs: make([]fleet.VM, 0, sizes[id]), Lost: map[fleet.VMID]bool{}}
	}
	for _, vm := range vms {
		p := pools[vm.Pool]
		if p == nil || vm.State == fleet.VMStateRemoved {
			continue
		}
		p.VMs = append(p.VMs, vm)
		if lost[vm.ID] {
			p.Lost[vm.ID] = true
		}
	}
	capacity := make(Capacity, len(pools))
	for id, p := range pools {
		capacity[id] = *p
	}
	return capacity
}

// Reserve implements Budget. A pool that is not configured has no budget and admits nothing.
func (c Capacity) Reserve(vm fleet.VM) bool {
	p, ok := c[vm.Pool]
	if !ok || budget.Allow(p, vm) != nil {
		return false
	}
	p.Lost[vm.ID] = true
	return true
}

// Parallel returns how many VMs of each configured pool may be disrupted now. It reserves that capacity.
func (c Capacity) Parallel() map[fleet.PoolID]fleet.VMCount {
	parallel := map[fleet.PoolID]fleet.VMCount{}
	for id, p := range c {
		parallel[id] = 0
		for _, vm := range p.VMs {
			if vm.State == fleet.VMStateServing && !p.Lost[vm.ID] && c.Reserve(vm) {
				parallel[id]++
			}
		}
	}
	return parallel
}
