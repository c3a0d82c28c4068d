package operation

import (
	"context"
	"slices"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/budget"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// vmRecord is a VM with the ledger and the configuration of its pool, and the row versions that were read.
type vmRecord struct {
	vm            fleet.VM
	ledger        fleet.Ledger
	pool          fleet.Pool
	poolVersion   fleet.RowVersion
	ledgerVersion fleet.RowVersion
}

func (x *Executor) readVM(ctx context.Context, id fleet.VMID) (vmRecord, error) {
	rows, err := x.Table.Read(ctx, wire.KeyVM(id))
	if err != nil {
		return vmRecord{}, trace.Wrap(err)
	}
	if !rows[0].Exists() {
		return vmRecord{}, trace.Wrap(&NotFoundError{Subject: fleet.SubjectVM(id)})
	}
	record := vmRecord{}
	if record.vm, err = wire.DecodeVM(rows[0].Value); err != nil {
		return vmRecord{}, trace.Wrap(err)
	}
	record.vm.RowVersion = rows[0].Version
	rows, err = x.Table.Read(ctx, wire.KeyLedger(record.vm.Pool), wire.KeyPool(record.vm.Pool))
	if err != nil {
		return vmRecord{}, trace.Wrap(err)
	}
	if rows[0].Exists() {
		if record.ledger, err = wire.DecodeLedger(rows[0].Value); err != nil {
			return vmRecord{}, trace.Wrap(err)
		}
	}
	item, err := wire.DecodeItem(rows[1].Value)
	if err != nil || item.Pool == nil {
		return vmRecord{}, trace.Wrap(&NotFoundError{Subject: fleet.SubjectPool(record.vm.Pool)})
	}
	record.ledger.Pool, record.ledgerVersion, record.pool, record.poolVersion = record.vm.Pool, rows[0].Version, *item.Pool, rows[1].Version
	return record, nil
}

// commitVM writes a VM and the ledger of its pool if none of the rows has changed since it was read.
func (x *Executor) commitVM(ctx context.Context, record vmRecord, vm fleet.VM, audit *fleet.Audit) error {
	audit.From, audit.To = string(record.vm.State), string(vm.State)
	record.ledger.OperationID = audit.OperationID
	_, err := x.Table.Commit(ctx, platform.Transaction{
		Audit: audit, History: record.vm.History,
		Preconditions: []platform.Precondition{
			{Key: wire.KeyVM(vm.ID), Version: record.vm.RowVersion},
			{Key: wire.KeyLedger(record.ledger.Pool), Version: record.ledgerVersion},
			{Key: wire.KeyPool(record.pool.ID), Version: record.poolVersion},
		},
		Puts: []platform.Put{
			{Key: wire.KeyVM(vm.ID), Value: wire.EncodeVM(vm)},
			{Key: wire.KeyLedger(record.ledger.Pool), Value: wire.EncodeLedger(record.ledger)},
		},
	})
	return trace.Wrap(err)
}

// readPool reads the VMs of a pool and determines which of them are available. A read that is older than
// the ledger is a conflict: it may show VMs as serving whose disruption the ledger no longer lists.
func (x *Executor) readPool(ctx context.Context, record vmRecord) (budget.Pool, error) {
	changes, err := x.Table.Changes(ctx, 0, 0, wire.PrefixVM)
	if err != nil {
		return budget.Pool{}, trace.Wrap(err)
	}
	if changes.Revision < fleet.TableRevision(record.ledgerVersion) {
		return budget.Pool{}, trace.Wrap(&platform.ConflictError{Keys: []fleet.TableKey{wire.KeyLedger(record.pool.ID)}})
	}
	if changes.History != record.vm.History {
		return budget.Pool{}, trace.Wrap(&UnconfirmedError{VM: record.vm.ID})
	}
	p := budget.Pool{Config: record.pool, Grants: record.ledger.Grants}
	for _, row := range changes.Rows {
		vm, err := wire.DecodeVM(row.Value)
		if err != nil || row.Deleted || vm.Pool != record.pool.ID || vm.State == fleet.VMStateRemoved {
			continue
		}
		p.VMs = append(p.VMs, vm)
	}
	view := x.View.Get()
	if view == nil {
		view = fleet.NewView()
	}
	p.Unavailable, err = budget.Unavailable(slices.Values(p.VMs), view, x.Clock.Now(), x.ListMaxAge)
	return p, trace.Wrap(err)
}

// UnconfirmedError reports a VM whose row came from a backup of the table and is not confirmed yet.
// Nothing was changed.
type UnconfirmedError struct {
	VM fleet.VMID
}

// Error implements error.
func (e *UnconfirmedError) Error() string {
	return "row of VM " + string(e.VM) + " came from a backup of the table and is not confirmed yet: try again in a minute"
}
