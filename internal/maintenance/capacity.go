package maintenance

import (
	"github.com/mimosawharf/mimosawharf/internal/budget"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// BudgetTracker tracks how much of each pool's budget is left, starting from one view of the fleet. It is
// not safe for concurrent use.
type BudgetTracker map[fleet.PoolID]budget.Pool

// NewBudgetTracker returns a tracker for the budgets of the pools of a configuration. unavailable holds the
// VMs that are not known to be available.
func NewBudgetTracker(c fleet.Configuration, vms map[fleet.VMID]fleet.VM, unavailable map[fleet.VMID]bool) BudgetTracker {
	sizes := map[fleet.PoolID]int{}
	for _, vm := range vms {
		sizes[vm.Pool]++
	}
	pools := make(map[fleet.PoolID]*budget.Pool, len(c.Pools))
	for id, pool := range c.Pools {
		// Allocated up front, because growing the lists took most of the time at 7,400 VMs.
		pools[id] = &budget.Pool{Config: pool, VMs: make([]fleet.VM, 0, sizes[id]), Unavailable: map[fleet.VMID]bool{}}
	}
	for _, vm := range vms {
		p := pools[vm.Pool]
		if p == nil || vm.State == fleet.VMStateRemoved {
			continue
		}
		p.VMs = append(p.VMs, vm)
		if unavailable[vm.ID] {
			p.Unavailable[vm.ID] = true
		}
	}
	tracker := make(BudgetTracker, len(pools))
	for id, p := range pools {
		tracker[id] = *p
	}
	return tracker
}

// Reserve implements Budget. A pool that is not configured has no budget and admits nothing.
func (t BudgetTracker) Reserve(vm fleet.VM) bool {
	p, ok := t[vm.Pool]
	if !ok || budget.Allow(p, vm) != nil {
		return false
	}
	p.Unavailable[vm.ID] = true
	return true
}

// Parallel returns how many VMs of each configured pool may be disrupted now. It counts them as disrupted.
func (t BudgetTracker) Parallel() map[fleet.PoolID]fleet.VMCount {
	parallel := map[fleet.PoolID]fleet.VMCount{}
	for id, p := range t {
		parallel[id] = 0
		for _, vm := range p.VMs {
			if vm.State == fleet.VMStateServing && !p.Unavailable[vm.ID] && t.Reserve(vm) {
				parallel[id]++
			}
		}
	}
	return parallel
}
