package maintenance

import (
	"github.com/mimosawharf/mimosawharf/internal/budget"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Capacity answers for the budgets of pools as of one instant. One goroutine uses it.
type Capacity map[fleet.PoolID]budget.Pool

// NewCapacity returns the capacity of the pools of a configuration. Lost holds the VMs that are not
// known to be available.
func NewCapacity(c fleet.Configuration, vms map[fleet.VMID]fleet.VM, lost map[fleet.VMID]bool) Capacity {
	sizes := map[fleet.PoolID]int{}
	for _, vm := range vms {
		sizes[vm.Pool]++
	}
	pools := make(map[fleet.PoolID]*budget.Pool, len(c.Pools))
	for id, pool := range c.Pools {
		// Growing the list of each pool took most of the time at 7,400 VMs.
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

// Take implements Budget. A pool that is not configured has no budget and admits nothing.
func (c Capacity) Take(vm fleet.VM) bool {
	p, ok := c[vm.Pool]
	if !ok || budget.Allow(p, vm) != nil {
		return false
	}
	p.Lost[vm.ID] = true
	return true
}

// Parallel returns how many VMs of each configured pool may be disrupted now, and uses the capacity up.
func (c Capacity) Parallel() map[fleet.PoolID]fleet.VMCount {
	parallel := map[fleet.PoolID]fleet.VMCount{}
	for id, p := range c {
		parallel[id] = 0
		for _, vm := range p.VMs {
			if vm.State == fleet.VMStateServing && !p.Lost[vm.ID] && c.Take(vm) {
				parallel[id]++
			}
		}
	}
	return parallel
}
