// Package budget decides whether a voluntary disruption of a VM is within the budget of its pool.
package budget

import (
	"fmt"
	"slices"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Pool is the input of a budget decision.
type Pool struct {
	Config fleet.Pool
	// VMs are the VMs whose row names the pool, except removed ones.
	VMs []fleet.VM
	// Unavailable holds the VMs that are not known to be available, for a planned or an unplanned reason.
	Unavailable map[fleet.VMID]bool
	// Grants are the disruptions in the pool's ledger. Their VMs count as unavailable even if VMs was
	// read before the disruption began.
	Grants []fleet.Grant
}

// ExceededError reports a disruption that the budget does not allow at present. Nothing was changed.
type ExceededError struct {
	Pool  fleet.PoolID
	Limit string
	// Want is the value of the limit, Got the value that the disruption would lead to.
	Want, Got int
}

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("budget of pool %s is exhausted: %s is %d and would become %d", e.Pool, e.Limit, e.Want, e.Got)
}

// tally counts the capacity of a pool or of one zone of it.
type tally struct {
	available, unavailable  fleet.VMCount
	slots, unavailableSlots fleet.Slots
}

// Allow returns nil if the VM may be disrupted, and *ExceededError otherwise. A VM whose row shows it out
// of service may always be disrupted. A VM that is only missing or not live in the platform's list may be
// up again, because the list lags, so its disruption is checked against the budget.
func Allow(p Pool, vm fleet.VM) error {
	if vm.State != fleet.VMStateServing {
		return nil
	}
	all, zone := p.count(vm)
	b := p.Config.Budget
	limits := []struct {
		name      string
		set       bool
		want, got int
		atMost    bool
	}{
		{"min-available-vms", b.MinAvailableVMs > 0, int(b.MinAvailableVMs), int(all.available), false},
		{"max-unavailable-vms", b.MaxUnavailableVMs > 0, int(b.MaxUnavailableVMs), int(all.unavailable), true},
		{"min-available-slots", b.MinAvailableSlots > 0, int(b.MinAvailableSlots), int(all.slots), false},
		{"max-unavailable-per-zone", b.MaxUnavailablePerZone > 0, int(b.MaxUnavailablePerZone), int(zone.unavailable), true},
		{"min-available-per-zone", b.MinAvailablePerZone > 0, int(b.MinAvailablePerZone), int(zone.available), false},
		{"max-unavailable-slots", b.MaxUnavailableSlots > 0, int(b.MaxUnavailableSlots), int(all.unavailableSlots), true},
		{"max-unavailable-slots-per-zone", b.MaxUnavailableSlotsPerZone > 0, int(b.MaxUnavailableSlotsPerZone), int(zone.unavailableSlots), true},
		{"min-available-slots-per-zone", b.MinAvailableSlotsPerZone > 0, int(b.MinAvailableSlotsPerZone), int(zone.slots), false},
	}
	for _, l := range limits {
		if l.set && (l.atMost && l.got > l.want || !l.atMost && l.got < l.want) {
			return trace.Wrap(&ExceededError{Pool: p.Config.ID, Limit: l.name, Want: l.want, Got: l.got})
		}
	}
	return nil
}

// count returns the capacity of the pool and of the VM's zone with the VM disrupted.
func (p Pool) count(disrupted fleet.VM) (all, zone tally) {
	for _, vm := range p.VMs {
		available := vm.ID != disrupted.ID && p.isAvailable(vm)
		all.add(vm, available)
		if vm.Zone == disrupted.Zone {
			zone.add(vm, available)
		}
	}
	return all, zone
}

func (t *tally) add(vm fleet.VM, available bool) {
	if !available {
		t.unavailable++
		t.unavailableSlots += vm.Slots
		return
	}
	t.available++
	t.slots += vm.Slots
}

func (p Pool) isAvailable(vm fleet.VM) bool {
	granted := slices.ContainsFunc(p.Grants, func(g fleet.Grant) bool { return g.VM == vm.ID })
	return vm.State == fleet.VMStateServing && !p.Unavailable[vm.ID] && !granted
}

// Available returns how many VMs of the pool are available.
func (p Pool) Available() fleet.VMCount {
	var n fleet.VMCount
	for _, vm := range p.VMs {
		if p.isAvailable(vm) {
			n++
		}
	}
	return n
}
