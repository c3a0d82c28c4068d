package configuration

import (
	"maps"
	"slices"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Capacity counts the VMs of a pool, without removed ones.
type Capacity struct {
	VMs       fleet.VMCount
	Available fleet.VMCount
	// Slots are those of available VMs.
	Slots fleet.Slots
	// UnavailableSlots are those of VMs that are not available.
	UnavailableSlots fleet.Slots
	Draining         fleet.VMCount
	Failed           fleet.VMCount
	// Borrowed counts VMs of other pools that are lent to this one, Lent those of this pool lent to others.
	Borrowed fleet.VMCount
	Lent     fleet.VMCount
	zones    map[fleet.ZoneID]zoneCapacity
}

type zoneCapacity struct {
	vms, available          fleet.VMCount
	slots, unavailableSlots fleet.Slots
}

// Capacities counts the VMs of each pool. unavailable holds VMs that are not known to be available.
func Capacities(vms map[fleet.VMID]fleet.VM, unavailable map[fleet.VMID]bool) map[fleet.PoolID]Capacity {
	pools := map[fleet.PoolID]Capacity{}
	for _, vm := range vms {
		if vm.State == fleet.VMStateRemoved {
			continue
		}
		c := pools[vm.Pool]
		c.add(vm, vm.State == fleet.VMStateServing && !unavailable[vm.ID])
		pools[vm.Pool] = c
		if vm.HomePool != "" && vm.HomePool != vm.Pool {
			home := pools[vm.HomePool]
			home.Lent++
			pools[vm.HomePool] = home
		}
	}
	return pools
}

func (c *Capacity) add(vm fleet.VM, available bool) {
	if c.zones == nil {
		c.zones = map[fleet.ZoneID]zoneCapacity{}
	}
	zone := c.zones[vm.Zone]
	c.VMs++
	zone.vms++
	if available {
		c.Available++
		c.Slots += vm.Slots
		zone.available++
		zone.slots += vm.Slots
	} else {
		c.UnavailableSlots += vm.Slots
		zone.unavailableSlots += vm.Slots
	}
	c.zones[vm.Zone] = zone
	if vm.IsDisrupted() {
		c.Draining++
	}
	if vm.State == fleet.VMStateFailed {
		c.Failed++
	}
	if vm.HomePool != "" && vm.HomePool != vm.Pool {
		c.Borrowed++
	}
}

// Shortfall is a limit of a budget that is not met.
type Shortfall struct {
	Limit string
	// Zone is empty for a limit of the whole pool.
	Zone      fleet.ZoneID
	Want, Got int
}

// Shortfalls returns the limits of a budget that the pool does not meet now.
func (c Capacity) Shortfalls(b fleet.Budget) []Shortfall {
	var list []Shortfall
	atLeast := func(limit string, zone fleet.ZoneID, want, got int) {
		if want > 0 && got < want {
			list = append(list, Shortfall{Limit: limit, Zone: zone, Want: want, Got: got})
		}
	}
	atMost := func(limit string, zone fleet.ZoneID, want, got int) {
		if want > 0 && got > want {
			list = append(list, Shortfall{Limit: limit, Zone: zone, Want: want, Got: got})
		}
	}
	atLeast("min-available-vms", "", int(b.MinAvailableVMs), int(c.Available))
	atMost("max-unavailable-vms", "", int(b.MaxUnavailableVMs), int(c.VMs-c.Available))
	atLeast("min-available-slots", "", int(b.MinAvailableSlots), int(c.Slots))
	atMost("max-unavailable-slots", "", int(b.MaxUnavailableSlots), int(c.UnavailableSlots))
	for _, id := range slices.Sorted(maps.Keys(c.zones)) {
		zone := c.zones[id]
		atMost("max-unavailable-per-zone", id, int(b.MaxUnavailablePerZone), int(zone.vms-zone.available))
		atLeast("min-available-per-zone", id, int(b.MinAvailablePerZone), int(zone.available))
		atMost("max-unavailable-slots-per-zone", id, int(b.MaxUnavailableSlotsPerZone), int(zone.unavailableSlots))
		atLeast("min-available-slots-per-zone", id, int(b.MinAvailableSlotsPerZone), int(zone.slots))
	}
	return list
}

// Required returns how many VMs must be available to meet the budget's limits on VMs.
func (c Capacity) Required(b fleet.Budget) fleet.VMCount {
	required := b.MinAvailableVMs
	if b.MaxUnavailableVMs > 0 {
		required = max(required, c.VMs-b.MaxUnavailableVMs)
	}
	var zones fleet.VMCount
	for _, zone := range c.zones {
		inZone := b.MinAvailablePerZone
		if b.MaxUnavailablePerZone > 0 {
			inZone = max(inZone, zone.vms-b.MaxUnavailablePerZone)
		}
		zones += inZone
	}
	return max(required, zones)
}
