package budget_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/budget"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

func poolOf(b fleet.Budget) budget.Pool {
	p := budget.Pool{Config: fleet.Pool{ID: "rota", Budget: b}, Unavailable: map[fleet.VMID]bool{}}
	for i, zone := range []fleet.ZoneID{"a", "a", "b", "b"} {
		p.VMs = append(p.VMs, fleet.VM{ID: fleet.VMID(rune('0' + i)), Zone: zone, Slots: 8, State: fleet.VMStateServing})
	}
	return p
}

// Guards against a limit that is not applied, in VMs or in slots, per pool or per zone.
func TestEachLimitBinds(t *testing.T) {
	cases := map[string]struct {
		budget      fleet.Budget
		unavailable []fleet.VMID
	}{
		"min-available-vms":        {fleet.Budget{MinAvailableVMs: 3}, []fleet.VMID{"3"}},
		"max-unavailable-vms":      {fleet.Budget{MaxUnavailableVMs: 1}, []fleet.VMID{"3"}},
		"min-available-slots":      {fleet.Budget{MinAvailableSlots: 24}, []fleet.VMID{"3"}},
		"max-unavailable-per-zone": {fleet.Budget{MaxUnavailablePerZone: 1}, []fleet.VMID{"1"}},
		"min-available-per-zone":   {fleet.Budget{MinAvailablePerZone: 1}, []fleet.VMID{"1"}},

		"max-unavailable-slots":          {fleet.Budget{MaxUnavailableSlots: 8}, []fleet.VMID{"3"}},
		"max-unavailable-slots-per-zone": {fleet.Budget{MaxUnavailableSlotsPerZone: 8}, []fleet.VMID{"1"}},
		"min-available-slots-per-zone":   {fleet.Budget{MinAvailableSlotsPerZone: 8}, []fleet.VMID{"1"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := poolOf(c.budget)
			is.NoErr(budget.Allow(p, p.VMs[0]))
			for _, id := range c.unavailable {
				p.Unavailable[id] = true
			}
			var exceeded *budget.ExceededError
			is.True(errors.As(budget.Allow(p, p.VMs[0]), &exceeded))
			is.Equal(exceeded.Limit, name)
		})
	}
}

// Guards against a drain beyond the budget of a VM that serves again but that the lagging list does not
// show as live yet.
func TestLateListGrantsNothing(t *testing.T) {
	is := is.New(t)
	p := poolOf(fleet.Budget{MaxUnavailableVMs: 1})
	p.Unavailable["0"] = true
	p.Grants = []fleet.Grant{{VM: "1"}}
	is.True(budget.Allow(p, p.VMs[0]) != nil)
}

// Guards against grants based on a stale list, by the platform's timestamp or by the time of the read.
func TestStaleListIsNoEvidence(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	list := fleet.VMList{AsOf: now, VMs: []fleet.PlatformVM{{ID: "0", State: fleet.PlatformVMStateLive}, {ID: "1", State: fleet.PlatformVMStateLeaving}}}
	view := func(list fleet.VMList, readAt time.Time, dead ...fleet.VMID) *fleet.View {
		return &fleet.View{List: list, ListReadAt: readAt, Entries: map[fleet.EntryID]fleet.Entry{"e": {DeadEndpoints: dead}}}
	}
	all, none := slices.Values(poolOf(fleet.Budget{}).VMs), slices.Values([]fleet.VM(nil))
	unavailable, err := budget.Unavailable(all, view(list, now), now.Add(time.Minute), time.Minute)
	is.NoErr(err)
	is.Equal(unavailable, map[fleet.VMID]bool{"0": false, "1": true, "2": true, "3": true})
	unavailable, err = budget.Unavailable(all, view(list, now, "0"), now.Add(time.Minute), time.Minute)
	is.NoErr(err)
	is.True(unavailable["0"]) // live, but its endpoint does not answer an entry
	var stale *budget.StaleListError
	_, err = budget.Unavailable(none, view(list, now.Add(time.Second)), now.Add(time.Minute+1), time.Minute)
	is.True(errors.As(err, &stale))
	_, err = budget.Unavailable(none, view(fleet.VMList{AsOf: now.Add(time.Hour)}, now), now.Add(time.Minute+1), time.Minute)
	is.True(errors.As(err, &stale))
}
