package control

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/budget"
	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/spare"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// MovePlanner decides which VMs to lend and to reclaim. It is discarded when the lease is lost.
type MovePlanner interface {
	Decide(now time.Time, pools []spare.Pool) []spare.Move
}

// SpareDriver is the duty that lends VMs of the spare pools and reclaims them. It acts only while this
// entry holds its lease. It starts the moves, and the fleet driver completes them.
type SpareDriver struct {
	// The fields are set before Run.
	DriverConfig
	// NewPlanner returns a planner without a history; if it is nil, a *spare.Planner is used.
	NewPlanner func() MovePlanner

	disrupter disrupter
	planner   MovePlanner
}

// Name implements duty.Duty.
func (*SpareDriver) Name() fleet.DutyName { return fleet.DutySpareDriver }

// Run implements duty.Duty.
func (d *SpareDriver) Run(ctx context.Context) error {
	for {
		d.Step(ctx)
		if err := clock.Wait(ctx, d.Clock, spare.DefaultOptions().Interval); err != nil {
			return trace.Wrap(err)
		}
	}
}

// Step decides on moves once if this entry holds the lease. Only Run and tests call it.
func (d *SpareDriver) Step(ctx context.Context) {
	held, ok := d.Held.Get()[fleet.DutySpareDriver]
	if !ok {
		// The forecasts are out of date by the time the lease is acquired again.
		d.planner = nil
		return
	}
	if d.planner == nil {
		d.disrupter = d.newDisrupter(fleet.DutySpareDriver, fleet.HolderKindSpare)
		d.planner = &spare.Planner{Options: spare.DefaultOptions()}
		if d.NewPlanner != nil {
			d.planner = d.NewPlanner()
		}
	}
	d.startMoves(ctx, held)
}

func (d *SpareDriver) startMoves(ctx context.Context, held HeldLease) {
	view, now := d.View.Get(), d.Clock.Now()
	if view == nil {
		return
	}
	unavailable, err := budget.Unavailable(maps.Values(view.VMs), view, now, d.ListMaxAge)
	if err != nil {
		return // without a fresh list it is unknown which VMs are available
	}
	moves := d.planner.Decide(now, sparePools(view, unavailable, d.Load.Get()))
	for _, m := range moves {
		err := d.startMove(ctx, held, view, m)
		var conflict *platform.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			d.Log.Warn("spare-driver: move cannot be started", zap.String("vm", string(m.VM)), zap.Error(err))
		}
	}
	if len(moves) > 0 {
		_ = d.Poller.Push(PollerEvent{PollNow: true})
	}
}

// startMove drains a VM for its move, with a grant from the pool that it leaves.
func (d *SpareDriver) startMove(ctx context.Context, held HeldLease, view *fleet.View, m spare.Move) error {
	batch, err := d.disrupter.prepare(ctx, view, held, m.From, string(fleet.DutySpareDriver), []disruption{
		{vm: m.VM, purpose: fleet.VMPurposeMove, target: m.To},
	})
	if err != nil || len(batch.vms) == 0 {
		return trace.Wrap(err)
	}
	batch.transaction.Audit.Subjects = append(batch.transaction.Audit.Subjects, fleet.SubjectPool(m.To))
	if _, err = d.Table.Commit(ctx, batch.transaction); err != nil {
		return trace.Wrap(err)
	}
	d.Log.Info("spare-driver: move started", zap.String("vm", string(m.VM)), zap.String("from", string(m.From)), zap.String("to", string(m.To)))
	return nil
}

// sparePools returns the input of the planner, sorted by pool.
func sparePools(view *fleet.View, unavailable map[fleet.VMID]bool, load Load) []spare.Pool {
	usage := map[fleet.VMID]fleet.Percent{}
	for _, v := range view.List.VMs {
		usage[v.ID] = v.Usage
	}
	pools := map[fleet.PoolID]*spare.Pool{}
	for id, config := range view.Configuration.Pools {
		pools[id] = &spare.Pool{
			ID: id, Lender: config.Spare, MaxVMs: config.MaxVMs, BusyAt: view.List.AsOf, Queued: load.Pools[id].Queued,
		}
	}
	for _, vm := range wire.SortedVMs(view) {
		if p := pools[vm.TargetPool]; p != nil && vm.IsDisrupted() {
			p.Arriving++
		}
		if p := pools[vm.Pool]; p != nil && !unavailable[vm.ID] {
			addVM(p, vm, usage[vm.ID])
		}
	}
	var list []spare.Pool
	for _, id := range slices.Sorted(maps.Keys(pools)) {
		list = append(list, *pools[id])
	}
	return list
}

// addVM adds a VM to its pool. A draining VM gets no new work but still runs what it has, so its usage
// counts.
func addVM(p *spare.Pool, vm fleet.VM, usage fleet.Percent) {
	p.Busy += spare.VMs(usage) / 100
	switch {
	case vm.State != fleet.VMStateServing:
	case isLent(vm):
		p.Borrowed = append(p.Borrowed, vm)
	default:
		p.Home = append(p.Home, vm)
	}
	p.SlotsPerVM = vm.Slots
}

// isLent reports whether the VM serves another pool than the one that lent it.
func isLent(vm fleet.VM) bool {
	return vm.HomePool != "" && vm.HomePool != vm.Pool
}
