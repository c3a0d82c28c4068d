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

// Actor acts on VMs of the platform.
type Actor interface {
	Act(ctx context.Context, command fleet.VMCommand) error
}

// FleetDriver is the duty that takes disrupted VMs through their life cycle. It acts only while this
// entry holds its lease.
type FleetDriver struct {
	// The fields are set before Run.
	Entry    fleet.EntryID
	Table    Table
	Platform Actor
	View     *ring.Latest[*fleet.View]
	Held     *ring.Latest[Leases]
	Poller   *ring.Ring[PollerEvent]
	Clock    clock.Clock
	Log      *zap.Logger
	Interval time.Duration

	states *machine.Machine[fleet.VMState, move.Event]
}

// Name implements duty.Duty.
func (*FleetDriver) Name() fleet.DutyName { return fleet.DutyFleetDriver }

// Run implements duty.Duty.
func (d *FleetDriver) Run(ctx context.Context) error {
	d.states = move.NewMachine()
	for {
		if held, ok := d.Held.Get()[fleet.DutyFleetDriver]; ok {
			d.drive(ctx, held)
		}
		if err := clock.Wait(ctx, d.Clock, d.Interval); err != nil {
			return trace.Wrap(err)
		}
	}
}

func (d *FleetDriver) drive(ctx context.Context, held Held) {
	view := d.View.Get()
	if view == nil {
		return
	}
	changed := false
	for _, id := range slices.Sorted(maps.Keys(view.VMs)) {
		vm := view.VMs[id]
		step := move.Next(vm, d.facts(view, vm))
		if step.Event == "" {
			continue
		}
		if err := d.apply(ctx, held, view, vm, step); err != nil {
			var conflict *platform.ConflictError
			if !errors.As(err, &conflict) {
				d.Log.Warn("fleet-driver: step failed", zap.String("vm", string(id)), zap.String("event", string(step.Event)), zap.Error(err))
			}
		}
		changed = true
	}
	if changed {
		_ = d.Poller.Push(PollerEvent{PollNow: true})
	}
}

func (d *FleetDriver) facts(view *fleet.View, vm fleet.VM) move.Facts {
	f := move.Facts{Released: isReleased(view, vm)}
	for i := range view.List.VMs {
		if view.List.VMs[i].ID == vm.ID {
			f.Listed = &view.List.VMs[i]
		}
	}
	return f
}

// isReleased reports whether every entry has acknowledged the drain of the VM.
func isReleased(view *fleet.View, vm fleet.VM) bool {
	for _, e := range view.Entries {
		if e.AcknowledgedRevision < fleet.TableRevision(vm.RowVersion) {
			return false
		}
	}
	return len(view.Entries) > 0
}

// apply makes one transition. The lease's row and the VM's row are preconditions.
func (d *FleetDriver) apply(ctx context.Context, held Held, view *fleet.View, vm fleet.VM, step move.Step) error {
	state, err := d.states.Next(vm.State, step.Event)
	if err != nil {
		return trace.Wrap(err)
	}
	now, operation := d.Clock.Now(), fleet.NewOperationID()
	if step.Command != nil {
		// The drain's operation id makes the action idempotent, whoever asks for it.
		operation = vm.OperationID
		step.Command.OperationID = operation
		if err := d.Platform.Act(ctx, *step.Command); err != nil {
			return trace.Wrap(err)
		}
	}
	next := move.Apply(vm, step.Event, state, operation, now)
	t := platform.Transaction{
		Audit: &fleet.Audit{
			OperationID: fleet.NewOperationID(), At: now, Actor: string(d.Entry), Action: auditAction(step.Event),
			Subjects: []fleet.AuditSubject{fleet.SubjectVM(vm.ID), fleet.SubjectPool(vm.Pool)},
			From:     string(vm.State), To: string(next.State), Outcome: "done", Entry: d.Entry,
		},
		Preconditions: []platform.Precondition{
			{Key: wire.KeyLease(fleet.DutyFleetDriver), Version: held.RowVersion},
			{Key: wire.KeyVM(vm.ID), Version: vm.RowVersion},
		},
		Puts: []platform.Put{{Key: wire.KeyVM(vm.ID), Value: wire.EncodeVM(next)}},
	}
	if move.ReturnsGrant(step.Event) {
		returnGrant(&t, view.Ledgers[vm.Pool], vm)
	}
	_, err = d.Table.Commit(ctx, t)
	return trace.Wrap(err)
}

// returnGrant adds the return of a VM's grant to a transaction.
func returnGrant(t *platform.Transaction, ledger fleet.Ledger, vm fleet.VM) {
	if ledger.RowVersion == 0 {
		return
	}
	version := ledger.RowVersion
	ledger.Grants = slices.DeleteFunc(slices.Clone(ledger.Grants), func(g fleet.Grant) bool { return g.VM == vm.ID })
	ledger.OperationID = t.Audit.OperationID
	t.Preconditions = append(t.Preconditions, platform.Precondition{Key: wire.KeyLedger(vm.Pool), Version: version})
	t.Puts = append(t.Puts, platform.Put{Key: wire.KeyLedger(vm.Pool), Value: wire.EncodeLedger(ledger)})
}

func auditAction(e move.Event) fleet.AuditAction {
	actions := map[move.Event]fleet.AuditAction{
		move.EventDrain:   fleet.AuditActionVMDrain,
		move.EventRelease: fleet.AuditActionVMRelease,
		move.EventAttach:  fleet.AuditActionVMAttach,
		move.EventReboot:  fleet.AuditActionVMReboot,
		move.EventBooted:  fleet.AuditActionVMReturn,
		move.EventCancel:  fleet.AuditActionVMCancel,
		move.EventFail:    fleet.AuditActionVMFail,
		move.EventRecover: fleet.AuditActionVMRecover,
		move.EventRemove:  fleet.AuditActionVMRemove,
	}
	return actions[e]
}
