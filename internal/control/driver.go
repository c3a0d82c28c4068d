package control

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/machine"
	"github.com/mimosawharf/mimosawharf/internal/move"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// VMActor acts on VMs of the platform.
type VMActor interface {
	Act(ctx context.Context, command fleet.VMCommand) error
}

// FleetDriver is the duty that drives disrupted VMs through their life cycle. It acts only while this entry
// holds its lease, except that every entry writes back rows after a restore of the table.
type FleetDriver struct {
	// The fields are set before Run.
	Entry    fleet.EntryID
	Table    Table
	Platform VMActor
	View     *ring.Latest[*fleet.View]
	Held     *ring.Latest[Leases]
	Poller   *ring.Ring[PollerEvent]
	// Reconciled passes the history in which nothing is left to write back to the lease holder.
	Reconciled *ring.Latest[fleet.TableHistory]
	Clock      clock.Clock
	Log        *zap.Logger
	Interval   time.Duration
	// HoldTime is how long a release waits for an entry of another zone after its lease has expired.
	HoldTime time.Duration
	// ListMaxAge is the greatest age of a list of VMs that decisions may rely on.
	ListMaxAge time.Duration

	// entryChanges records when each entry's row last changed, by this entry's clock.
	entryChanges rowChanges[fleet.EntryID]
	// drainChanges records since when this entry has known the row of each draining VM.
	drainChanges rowChanges[fleet.VMID]
	restores     restoreTracker
	states       *machine.Machine[fleet.VMState, move.Event]
}

// Name implements duty.Duty.
func (*FleetDriver) Name() fleet.DutyName { return fleet.DutyFleetDriver }

// Run implements duty.Duty.
func (d *FleetDriver) Run(ctx context.Context) error {
	for {
		d.Step(ctx)
		if err := clock.Wait(ctx, d.Clock, d.Interval); err != nil {
			return trace.Wrap(err)
		}
	}
}

// Step writes back rows after a restore of the table, or else makes one pass over the fleet if this entry
// holds the lease. Only Run and tests call it.
func (d *FleetDriver) Step(ctx context.Context) {
	if d.states == nil {
		d.states, d.entryChanges, d.drainChanges = move.NewMachine(), rowChanges[fleet.EntryID]{}, rowChanges[fleet.VMID]{}
	}
	view := d.View.Get()
	if view == nil {
		return
	}
	d.entryChanges.observe(d.Clock.Now(), entryVersions(view))
	d.drainChanges.observe(d.Clock.Now(), drainVersions(view))
	d.restores.observe(d.Clock.Now(), view.History)
	if len(view.Reverted) > 0 {
		d.writeBack(ctx, view)
		_ = d.Poller.Push(PollerEvent{PollNow: true})
		return
	}
	d.Reconciled.Set(view.History)
	held, ok := d.Held.Get()[fleet.DutyFleetDriver]
	if !ok {
		return
	}
	changed := d.returnGrants(ctx, held, view)
	changed = d.removeEntries(ctx, held, view) || changed
	open := openVMs(view)
	facts, entries := d.facts(view, open)
	for _, id := range slices.Sorted(maps.Keys(open)) {
		vm := view.VMs[id]
		if vm.History != view.History {
			if d.canConfirm(d.Clock.Now(), view, vm, entries) {
				d.logFailure("confirm", string(id), d.confirm(ctx, held, view, vm))
				changed = true
			}
			continue
		}
		step := move.Next(vm, facts(vm))
		if step.Command != nil {
			d.logFailure("act on VM", string(id), d.Platform.Act(ctx, *step.Command))
		}
		if step.Event != "" {
			d.logFailure(string(step.Event), string(id), d.apply(ctx, held, view, vm, step.Event))
			changed = true
		}
	}
	if changed {
		_ = d.Poller.Push(PollerEvent{PollNow: true})
	}
}

// logFailure logs a failed step. A conflict is not logged, because the next pass decides on newer rows.
func (d *FleetDriver) logFailure(what, subject string, err error) {
	var conflict *platform.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		d.Log.Warn("fleet-driver: step failed", zap.String("step", what), zap.String("subject", subject), zap.Error(err))
	}
}

// openVMs returns the VMs that may need a step. Most VMs do not: they serve, their row is confirmed and the
// list shows them as live.
func openVMs(view *fleet.View) map[fleet.VMID]bool {
	open := map[fleet.VMID]bool{}
	for id, vm := range view.VMs {
		if vm.State != fleet.VMStateServing || view.Leaving[id] || vm.History != view.History {
			open[id] = true
		}
	}
	return open
}

// facts returns a function that returns the facts of an open VM, and the facts of all entries.
func (d *FleetDriver) facts(view *fleet.View, open map[fleet.VMID]bool) (func(vm fleet.VM) move.Facts, []move.EntryFacts) {
	listed := make(map[fleet.VMID]*fleet.PlatformVM, len(open))
	for i := range view.List.VMs {
		if vm := &view.List.VMs[i]; open[vm.ID] {
			listed[vm.ID] = vm
		}
	}
	now := d.Clock.Now()
	fresh := d.isListFresh(now, view)
	var entries []move.EntryFacts
	for _, e := range view.Entries {
		entries = append(entries, move.EntryFacts{
			Entry: e, UnchangedFor: now.Sub(d.entryChanges[e.ID].at), IsGone: d.isEntryGone(now, view, e),
		})
	}
	return func(vm fleet.VM) move.Facts {
		return move.Facts{
			Released:    vm.State == fleet.VMStateDraining && move.IsReleased(vm, now.Sub(d.drainChanges[vm.ID].at), entries, d.HoldTime),
			Listed:      listed[vm.ID],
			ListIsFresh: fresh && view.List.AsOf.After(vm.Since),
			WaveEnded:   vm.Wave != "" && view.Waves[vm.Wave].State.IsFinal(),
		}
	}, entries
}

func (d *FleetDriver) isListFresh(now time.Time, view *fleet.View) bool {
	return !view.ListReadAt.IsZero() && now.Sub(view.ListReadAt) <= d.ListMaxAge && now.Sub(view.List.AsOf) <= d.ListMaxAge
}

// isEntryGone reports whether an entry's lease has expired and a fresh list no longer shows its VM.
func (d *FleetDriver) isEntryGone(now time.Time, view *fleet.View, e fleet.Entry) bool {
	if e.VM == "" || !d.isListFresh(now, view) || now.Sub(d.entryChanges[e.ID].at) <= e.Duration {
		return false
	}
	return !slices.ContainsFunc(view.List.VMs, func(vm fleet.PlatformVM) bool { return vm.ID == e.VM })
}

// apply commits one transition. The lease's row and the VM's row are preconditions.
func (d *FleetDriver) apply(ctx context.Context, held HeldLease, view *fleet.View, vm fleet.VM, event move.Event) error {
	if event == move.EventAttach && vm.TargetPool != vm.Pool {
		return trace.Wrap(d.attach(ctx, held, view, vm))
	}
	t, err := d.transition(held, view, vm, event)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = d.Table.Commit(ctx, t)
	return trace.Wrap(err)
}

// attach assigns a VM to its target pool. It also writes the pool's ledger, which is a precondition of the
// pool's deletion. A VM whose target pool was deleted returns to its old pool.
func (d *FleetDriver) attach(ctx context.Context, held HeldLease, view *fleet.View, vm fleet.VM) error {
	rows, err := d.Table.Read(ctx, wire.KeyPool(vm.TargetPool), wire.KeyLedger(vm.TargetPool))
	if err != nil {
		return trace.Wrap(err)
	}
	event := move.EventAttach
	if item, err := wire.DecodeItem(rows[0].Value); err != nil || item.Pool == nil {
		event = move.EventCancel
	}
	t, err := d.transition(held, view, vm, event)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, row := range rows {
		t.Preconditions = append(t.Preconditions, platform.Precondition{Key: row.Key, Version: row.Version})
	}
	if event == move.EventAttach {
		ledger, err := platform.TouchLedger(vm.TargetPool, rows[1], t.Audit.OperationID)
		if err != nil {
			return trace.Wrap(err)
		}
		t.Puts = append(t.Puts, ledger)
		t.Audit.Subjects = append(t.Audit.Subjects, fleet.SubjectPool(vm.TargetPool))
	}
	_, err = d.Table.Commit(ctx, t)
	return trace.Wrap(err)
}

// transition returns the transaction of one transition.
func (d *FleetDriver) transition(held HeldLease, view *fleet.View, vm fleet.VM, event move.Event) (platform.Transaction, error) {
	state, err := d.states.Next(vm.State, event)
	if err != nil {
		return platform.Transaction{}, trace.Wrap(err)
	}
	t := d.transaction(held, auditAction(event), fleet.SubjectVM(vm.ID), fleet.SubjectPool(vm.Pool))
	next := move.Apply(vm, event, state, t.Audit.OperationID, t.Audit.At)
	t.Audit.From, t.Audit.To = string(vm.State), string(next.State)
	t.Preconditions = append(t.Preconditions, platform.Precondition{Key: wire.KeyVM(vm.ID), Version: vm.RowVersion})
	t.Puts = append(t.Puts, platform.Put{Key: wire.KeyVM(vm.ID), Value: wire.EncodeVM(next)})
	switch {
	case move.ReturnsGrant(event):
		returnGrant(&t, view.Ledgers[vm.Pool], vm)
	case event == move.EventFail:
		// The ledger is rewritten unchanged, so that a grant decided before the loss was known fails.
		returnGrant(&t, view.Ledgers[vm.Pool], fleet.VM{Pool: vm.Pool})
	}
	return t, nil
}
