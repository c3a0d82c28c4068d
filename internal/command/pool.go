package command

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"

	configv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/config/v1"
)

// budgetFlags are the limits of an availability budget.
type budgetFlags struct {
	set                                                                          *ff.FlagSet
	minAvailable, maxUnavailable, minSlots, maxUnavailableZone, minAvailableZone *uint
	maxUnavailableSlots, maxUnavailableSlotsZone, minSlotsZone                   *uint
}

func newBudgetFlags(set *ff.FlagSet) budgetFlags {
	return budgetFlags{
		set:                set,
		minAvailable:       set.UintLong("min-available-vms", 0, "VMs that must stay available; 0 for no limit."),
		maxUnavailable:     set.UintLong("max-unavailable-vms", 0, "VMs that may be unavailable at the same time; 0 for no limit."),
		minSlots:           set.UintLong("min-available-slots", 0, "Slots that must stay available; 0 for no limit."),
		maxUnavailableZone: set.UintLong("max-unavailable-per-zone", 0, "VMs of a zone that may be unavailable; 0 for no limit."),
		minAvailableZone:   set.UintLong("min-available-per-zone", 0, "VMs of a zone that must stay available; 0 for no limit."),

		maxUnavailableSlots:     set.UintLong("max-unavailable-slots", 0, "Slots that may be unavailable at the same time; 0 for no limit."),
		maxUnavailableSlotsZone: set.UintLong("max-unavailable-slots-per-zone", 0, "Slots of a zone that may be unavailable; 0 for no limit."),
		minSlotsZone:            set.UintLong("min-available-slots-per-zone", 0, "Slots of a zone that must stay available; 0 for no limit."),
	}
}

// applyTo sets the limits given on the command line and leaves the others unchanged.
func (b budgetFlags) applyTo(m *configv1.Budget) {
	for name, limit := range map[string]struct {
		from *uint
		to   *uint32
	}{
		"min-available-vms":        {b.minAvailable, &m.MinAvailableVms},
		"max-unavailable-vms":      {b.maxUnavailable, &m.MaxUnavailableVms},
		"min-available-slots":      {b.minSlots, &m.MinAvailableSlots},
		"max-unavailable-per-zone": {b.maxUnavailableZone, &m.MaxUnavailablePerZone},
		"min-available-per-zone":   {b.minAvailableZone, &m.MinAvailablePerZone},

		"max-unavailable-slots":          {b.maxUnavailableSlots, &m.MaxUnavailableSlots},
		"max-unavailable-slots-per-zone": {b.maxUnavailableSlotsZone, &m.MaxUnavailableSlotsPerZone},
		"min-available-slots-per-zone":   {b.minSlotsZone, &m.MinAvailableSlotsPerZone},
	} {
		if f, ok := b.set.GetFlag(name); ok && f.IsSet() {
			*limit.to = saturate(*limit.from)
		}
	}
}

func (c *cli) poolCommands(parent *ff.FlagSet) *ff.Command {
	putSet := ff.NewFlagSet("put").SetParent(parent)
	limits, options := newBudgetFlags(putSet), c.configFlags(putSet)
	spare := putSet.BoolLong("spare", "Lend VMs of the pool to other pools.")
	target := putSet.UintLong("target-vms", 0, "VMs of the pool when none are lent or borrowed.")
	maxVMs := putSet.UintLong("max-vms", 0, "Maximum number of VMs, borrowed ones included; 0 for no limit.")
	put := leaf{
		path: "pool put", operands: "<pool>", minOperands: 1, maxOperands: 1, help: "create a pool or replace its settings", flags: putSet,
		example: "pool put --max-unavailable-vms 1 --reason 'new desk' rota",
		run: func(ctx context.Context, operands []string) error {
			pool := &configv1.Pool{Id: operands[0], Spare: *spare, TargetVms: saturate(*target), MaxVms: saturate(*maxVMs), Budget: &configv1.Budget{}}
			limits.applyTo(pool.Budget)
			return c.applyOne(ctx, options, &configv1.Change{Item: &configv1.Change_PutPool{PutPool: pool}})
		},
	}
	return group(parent, "pool", "manage pools of VMs", "pool list", append(itemCommands(c, parent, itemKind[*configv1.Pool]{
		name: "pool", items: (*configv1.Configuration).GetPools, id: (*configv1.Pool).GetId, write: writePools,
		wrap: func(list []*configv1.Pool) *configv1.Configuration { return &configv1.Configuration{Pools: list} },
		remove: func(id string) *configv1.Change {
			return &configv1.Change{Item: &configv1.Change_DeletePool{DeletePool: id}}
		},
	}), put, c.poolExplain(parent))...)
}

func writePools(w *tabwriter.Writer, pools []*configv1.Pool) {
	writeRows(w, []string{"POOL", "MIN-AVAILABLE", "MAX-UNAVAILABLE", "MIN-SLOTS", "ZONE-MIN", "ZONE-MAX", "TARGET", "MAX", "SPARE", "REVISION"}, pools, func(p *configv1.Pool) []string {
		b := p.GetBudget()
		return []string{
			p.GetId(), limitText(b.GetMinAvailableVms()), limitText(b.GetMaxUnavailableVms()), limitText(b.GetMinAvailableSlots()),
			limitText(b.GetMinAvailablePerZone()), limitText(b.GetMaxUnavailablePerZone()), limitText(p.GetTargetVms()), limitText(p.GetMaxVms()),
			yesNo(p.GetSpare()), fmt.Sprint(p.GetRevision()),
		}
	})
}

func (c *cli) budgetCommands(parent *ff.FlagSet) *ff.Command {
	setSet := ff.NewFlagSet("set").SetParent(parent)
	limits, options := newBudgetFlags(setSet), c.configFlags(setSet)
	set := leaf{
		path: "budget set", operands: "<pool>", minOperands: 1, maxOperands: 1, help: "change limits of a pool's availability budget", flags: setSet,
		example: "budget set rota --min-available-vms 8 --reason 'storm season'",
		run: func(ctx context.Context, operands []string) error {
			return c.edit(ctx, options, func(current *configv1.Configuration) (*configv1.Change, error) {
				pool, ok := find(current.GetPools(), (*configv1.Pool).GetId, operands[0])
				if !ok {
					return nil, trace.Wrap(notFoundError("pool", operands[0]))
				}
				if pool.Budget == nil {
					pool.Budget = &configv1.Budget{}
				}
				limits.applyTo(pool.GetBudget())
				return &configv1.Change{Item: &configv1.Change_PutPool{PutPool: pool}}, nil
			})
		},
	}
	show := leaf{
		path: "budget show", operands: "[<pool>]", maxOperands: 1, help: "compare the capacity of pools with their budgets", example: "budget show rota",
		flags: ff.NewFlagSet("show").SetParent(parent),
		run: func(ctx context.Context, operands []string) error {
			return c.showBudgets(ctx, operands)
		},
	}
	return group(parent, "budget", "manage availability budgets", "budget show", show, set)
}
