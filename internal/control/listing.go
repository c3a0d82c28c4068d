package control

import (
	"slices"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// applyList applies a list of VMs to a draft, unless a newer one is known. A list of one zone changes
// neither the age of the whole list nor the VMs of other zones.
func (p *Poller) applyList(d *draft, list fleet.VMList, zone fleet.ZoneID) {
	asOf, readAt := list.AsOf, p.Clock.Now()
	switch {
	case zone != "" && (asOf.Before(p.zoneAsOf) || d.view.ListReadAt.IsZero()) || zone == "" && asOf.Before(d.view.List.AsOf):
		return
	case zone != "":
		list.VMs = replaceZone(d.view.List.VMs, list.VMs, zone)
		list.AsOf, readAt, p.zoneAsOf = d.view.List.AsOf, d.view.ListReadAt, asOf
	case asOf.Before(p.zoneAsOf):
		list.VMs = replaceZone(list.VMs, d.view.List.VMs, p.Zone)
	default:
		p.zoneAsOf = asOf
	}
	if d.view.ListReadAt.IsZero() || !slices.EqualFunc(d.view.List.VMs, list.VMs, hasSameState) {
		d.recomputeLeaving = true
	}
	d.view.List, d.view.ListReadAt, d.changed = list, readAt, true
}

func hasSameState(a, b fleet.PlatformVM) bool { return a.ID == b.ID && a.State == b.State }

// replaceZone returns the VMs with those of one zone replaced from a newer list.
func replaceZone(vms, newer []fleet.PlatformVM, zone fleet.ZoneID) []fleet.PlatformVM {
	inZone := map[fleet.VMID]fleet.PlatformVM{}
	for _, vm := range newer {
		if vm.Zone == zone {
			inZone[vm.ID] = vm
		}
	}
	out := make([]fleet.PlatformVM, 0, len(vms)+len(inZone))
	for _, vm := range vms {
		if vm.Zone != zone {
			out = append(out, vm)
		} else if current, ok := inZone[vm.ID]; ok {
			out = append(out, current)
			delete(inZone, vm.ID)
		}
	}
	for _, vm := range newer {
		if _, ok := inZone[vm.ID]; ok {
			out = append(out, vm)
		}
	}
	return out
}
