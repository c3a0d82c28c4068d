package operation

import (
	"context"
	"slices"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/budget"
	"github.com/mimosawharf/mimosawharf/internal/maintenance"
	"github.com/mimosawharf/mimosawharf/internal/move"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// VMCommand is a command of an operator to a VM.
type VMCommand string

// Commands to a VM.
const (
	// VMCommandAdopt adds a VM of the platform's list to a pool.
	VMCommandAdopt VMCommand = "adopt"
	// VMCommandDrain drains a VM and keeps it drained.
	VMCommandDrain   VMCommand = "drain"
	VMCommandMove    VMCommand = "move"
	VMCommandReboot  VMCommand = "reboot"
	VMCommandReplace VMCommand = "replace"
	// VMCommandRollOut installs a version and reboots the VM.
	VMCommandRollOut VMCommand = "roll-out"
	// VMCommandCancel ends a drain or move that is in progress.
	VMCommandCancel VMCommand = "cancel"
	// VMCommandReturn puts a drained VM back into service.
	VMCommandReturn VMCommand = "return"
	VMCommandRemove VMCommand = "remove"
)

// ChangeVM starts one change of a VM.
type ChangeVM struct {
	Identity Identity
	VM       fleet.VMID
	Command  VMCommand
	// Pool is the target of an adoption or a move.
	Pool fleet.PoolID
	// Version is what a roll-out installs; it is empty for other commands.
	Version fleet.Version
	Reply   *ring.Ring[Result[fleet.VM]]
}

func (o ChangeVM) execute(ctx context.Context, x *Executor) {
	value, err := retryConflicts(func() (fleet.VM, error) { return o.attempt(ctx, x) })
	// The reply ring has room for the one result.
	_ = o.Reply.Push(Result[fleet.VM]{Value: value, Err: err})
	x.PollNow()
}

func (o ChangeVM) attempt(ctx context.Context, x *Executor) (fleet.VM, error) {
	done, err := x.previousAudit(ctx, o.Identity, o.action(), fleet.SubjectVM(o.VM))
	if err != nil {
		return fleet.VM{}, trace.Wrap(err)
	}
	if done != nil {
		record, err := x.readVM(ctx, o.VM)
		return record.vm, trace.Wrap(err)
	}
	if (o.Command == VMCommandRollOut) != (o.Version != "") {
		return fleet.VM{}, trace.Wrap(&maintenance.VersionError{Action: fleet.WaveAction(o.Command)})
	}
	switch o.Command {
	case VMCommandAdopt:
		return o.adopt(ctx, x)
	case VMCommandCancel, VMCommandReturn:
		return o.cancelDrain(ctx, x)
	default:
		return o.drain(ctx, x)
	}
}

// action returns the operation's action in the audit trail.
func (o ChangeVM) action() fleet.AuditAction {
	switch o.Command {
	case VMCommandAdopt:
		return fleet.AuditActionVMAdopt
	case VMCommandCancel, VMCommandReturn:
		return fleet.AuditActionVMCancel
	default:
		return fleet.AuditActionVMDrain
	}
}

// adopt writes the row of a VM that the platform lists.
func (o ChangeVM) adopt(ctx context.Context, x *Executor) (fleet.VM, error) {
	list, err := x.Platform.ListVMs(ctx)
	if err != nil {
		return fleet.VM{}, trace.Wrap(err)
	}
	i := slices.IndexFunc(list.VMs, func(v fleet.PlatformVM) bool { return v.ID == o.VM })
	if i < 0 {
		return fleet.VM{}, trace.Wrap(&NotFoundError{Subject: fleet.SubjectVM(o.VM)})
	}
	rows, err := x.Table.Read(ctx, wire.KeyVM(o.VM), wire.KeyPool(o.Pool), wire.KeyLedger(o.Pool))
	if err != nil {
		return fleet.VM{}, trace.Wrap(err)
	}
	changes, err := x.Table.Changes(ctx, 0, 1, wire.KeyPool(o.Pool))
	if err != nil {
		return fleet.VM{}, trace.Wrap(err)
	}
	if rows[0].Exists() {
		return fleet.VM{}, trace.Wrap(&InvalidStateError{Subject: fleet.SubjectVM(o.VM), Problem: "is in a pool already; use move"})
	}
	if item, err := wire.DecodeItem(rows[1].Value); err != nil || item.Pool == nil {
		return fleet.VM{}, trace.Wrap(&NotFoundError{Subject: fleet.SubjectPool(o.Pool)})
	}
	ledger, err := platform.TouchLedger(o.Pool, rows[2], o.Identity.ID)
	if err != nil {
		return fleet.VM{}, trace.Wrap(err)
	}
	listed, now := list.VMs[i], x.Clock.Now()
	vm := fleet.VM{
		ID: listed.ID, Zone: listed.Zone, Rack: listed.Rack, Address: listed.Address, Slots: listed.Slots,
		Connections: listed.Connections, Resources: listed.Resources, Version: listed.Version,
		Pool: o.Pool, State: fleet.VMStateServing, AssignmentEpoch: 1, OperationID: o.Identity.ID, Since: now,
		// An adopted VM counts as just maintained, so that maintenance starts with those that served longest.
		LastMaintained: now, Generation: 1, History: changes.History,
	}
	audit := x.audit(o.Identity, fleet.AuditActionVMAdopt, fleet.SubjectVM(vm.ID), fleet.SubjectPool(vm.Pool))
	audit.To = string(vm.State)
	_, err = x.Table.Commit(ctx, platform.Transaction{
		History: changes.History,
		Audit:   audit,
		Preconditions: []platform.Precondition{
			{Key: wire.KeyVM(vm.ID)}, {Key: wire.KeyPool(vm.Pool), Version: rows[1].Version}, {Key: ledger.Key, Version: rows[2].Version},
		},
		Puts: []platform.Put{{Key: wire.KeyVM(vm.ID), Value: wire.EncodeVM(vm)}, ledger},
	})
	return vm, trace.Wrap(err)
}

// drain acquires a grant of the pool's budget and starts the drain in the same transaction.
func (o ChangeVM) drain(ctx context.Context, x *Executor) (fleet.VM, error) {
	record, err := x.readVM(ctx, o.VM)
	if err != nil {
		return fleet.VM{}, trace.Wrap(err)
	}
	state, err := x.states.Next(record.vm.State, move.EventDrain)
	if err != nil {
		return fleet.VM{}, trace.Wrap(&InvalidStateError{Subject: fleet.SubjectVM(o.VM), Problem: err.Error()})
	}
	pool, err := x.readPool(ctx, record)
	if err != nil {
		return fleet.VM{}, trace.Wrap(err)
	}
	if err := budget.Allow(pool, record.vm); err != nil {
		return fleet.VM{}, trace.Wrap(err)
	}
	now := x.Clock.Now()
	vm := move.Apply(record.vm, move.EventDrain, state, o.Identity.ID, now)
	vm.Purpose, vm.GrantID = o.purpose(), fleet.GrantID(o.Identity.ID)
	vm.TargetVersion = o.Version
	if vm.Purpose == fleet.VMPurposeMove {
		vm.TargetPool = o.Pool
	}
	record.ledger.Grants = append(record.ledger.Grants, fleet.Grant{
		ID: vm.GrantID, VM: vm.ID, Zone: vm.Zone, Slots: vm.Slots, HolderKind: fleet.HolderKindOperator,
		Holder: string(o.Identity.Actor), OperationID: o.Identity.ID, GrantedAt: now,
	})
	return vm, x.commitVM(ctx, record, vm, x.audit(o.Identity, fleet.AuditActionVMDrain, fleet.SubjectVM(vm.ID), fleet.SubjectPool(vm.Pool)))
}

func (o ChangeVM) purpose() fleet.VMPurpose {
	switch o.Command {
	case VMCommandMove:
		return fleet.VMPurposeMove
	case VMCommandReboot:
		return fleet.VMPurposeReboot
	case VMCommandReplace:
		return fleet.VMPurposeReplace
	case VMCommandRollOut:
		return fleet.VMPurposeRollOut
	case VMCommandRemove:
		return fleet.VMPurposeRemove
	default:
		return fleet.VMPurposeHold
	}
}

// cancelDrain puts a draining or drained VM back into service and returns its grant to the budget.
func (o ChangeVM) cancelDrain(ctx context.Context, x *Executor) (fleet.VM, error) {
	record, err := x.readVM(ctx, o.VM)
	if err != nil {
		return fleet.VM{}, trace.Wrap(err)
	}
	state, err := x.states.Next(record.vm.State, move.EventCancel)
	if err != nil {
		return fleet.VM{}, trace.Wrap(&InvalidStateError{Subject: fleet.SubjectVM(o.VM), Problem: err.Error()})
	}
	changes, err := x.Table.Changes(ctx, 0, 1, wire.KeyVM(o.VM))
	if err != nil {
		return fleet.VM{}, trace.Wrap(err)
	}
	if changes.History != record.vm.History {
		return fleet.VM{}, trace.Wrap(&UnconfirmedError{VM: record.vm.ID})
	}
	vm := move.Apply(record.vm, move.EventCancel, state, o.Identity.ID, x.Clock.Now())
	record.ledger.Grants = slices.DeleteFunc(record.ledger.Grants, func(g fleet.Grant) bool { return g.VM == vm.ID })
	return vm, x.commitVM(ctx, record, vm, x.audit(o.Identity, fleet.AuditActionVMCancel, fleet.SubjectVM(vm.ID), fleet.SubjectPool(vm.Pool)))
}
