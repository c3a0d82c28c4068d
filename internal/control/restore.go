package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/move"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// restoreTracker records when this entry first saw the present history of the table.
type restoreTracker struct {
	history fleet.TableHistory
	since   time.Time
	// restored reports whether this entry saw another history before.
	restored bool
}

func (r *restoreTracker) observe(now time.Time, history fleet.TableHistory) {
	if r.history != history || r.since.IsZero() {
		r.restored = !r.since.IsZero()
		r.history, r.since = history, now
	}
}

// writeBack writes the rows that a restore has removed from the table and that this entry still knows.
// Every entry does so without a lease: the generations order the rows, and the row in the table is a
// precondition.
func (d *FleetDriver) writeBack(ctx context.Context, view *fleet.View) {
	for _, id := range slices.Sorted(maps.Keys(view.Reverted)) {
		d.logFailure("write back", string(id), d.restoreVM(ctx, view, view.VMs[id]))
	}
}

// restoreVM writes a row in place of an older one, with the grant under which the VM is disrupted.
func (d *FleetDriver) restoreVM(ctx context.Context, view *fleet.View, known fleet.VM) error {
	t := platform.Transaction{History: view.History, Audit: &fleet.Audit{
		OperationID: fleet.NewOperationID(), At: d.Clock.Now(), Actor: string(d.Entry), Action: fleet.AuditActionVMRestore,
		Subjects: []fleet.AuditSubject{fleet.SubjectVM(known.ID), fleet.SubjectPool(known.Pool)},
		To:       string(known.State), Reason: "table was restored", Outcome: "done", Entry: d.Entry,
	}}
	known.OperationID = t.Audit.OperationID
	t.Preconditions = []platform.Precondition{{Key: wire.KeyVM(known.ID), Version: known.RowVersion}}
	t.Puts = []platform.Put{{Key: wire.KeyVM(known.ID), Value: wire.EncodeVM(known)}}
	ledger := view.Ledgers[known.Pool]
	isListed := func(g fleet.Grant) bool { return g.ID == known.GrantID }
	if known.GrantID != "" && !slices.ContainsFunc(ledger.Grants, isListed) {
		version := ledger.RowVersion
		ledger.Pool, ledger.OperationID = known.Pool, t.Audit.OperationID
		ledger.Grants = append(slices.Clone(ledger.Grants), fleet.Grant{
			ID: known.GrantID, VM: known.ID, Zone: known.Zone, Slots: known.Slots, HolderKind: fleet.HolderKindOperator,
			Holder: string(d.Entry), OperationID: t.Audit.OperationID, GrantedAt: t.Audit.At,
		})
		t.Preconditions = append(t.Preconditions, platform.Precondition{Key: wire.KeyLedger(known.Pool), Version: version})
		t.Puts = append(t.Puts, platform.Put{Key: wire.KeyLedger(known.Pool), Value: wire.EncodeLedger(ledger)})
	}
	_, err := d.Table.Commit(ctx, t)
	return trace.Wrap(err)
}

// canConfirm reports whether no entry can know a newer row of the VM than the restored table: each one has
// written back what it knew, is gone, or is in another zone and has stopped using the VM. By then, an entry
// whose own row was lost in the restore has renewed it.
func (d *FleetDriver) canConfirm(now time.Time, view *fleet.View, vm fleet.VM, entries []move.EntryFacts) bool {
	wait := time.Duration(0)
	for _, e := range entries {
		wait = max(wait, 2*e.Entry.Duration)
	}
	// Only the history has to match, not the revision: an entry with nothing left to write back may still
	// have requests in flight.
	vm.RowVersion, vm.History = 0, view.History
	return now.Sub(d.restores.since) > wait && move.IsReleased(vm, now.Sub(d.restores.since), entries, d.HoldTime)
}

// confirm moves the row of a restored table to the present history, so that it can be changed again.
func (d *FleetDriver) confirm(ctx context.Context, held HeldLease, view *fleet.View, vm fleet.VM) error {
	next := vm
	t := d.transaction(held, fleet.AuditActionVMConfirm, fleet.SubjectVM(vm.ID), fleet.SubjectPool(vm.Pool))
	t.Audit.From, t.Audit.To, t.Audit.Reason = string(vm.State), string(vm.State), "confirmed after a restore"
	next.History, next.Generation, next.OperationID = view.History, vm.Generation+1, t.Audit.OperationID
	t.Preconditions = append(t.Preconditions, platform.Precondition{Key: wire.KeyVM(vm.ID), Version: vm.RowVersion})
	t.Puts = append(t.Puts, platform.Put{Key: wire.KeyVM(vm.ID), Value: wire.EncodeVM(next)})
	_, err := d.Table.Commit(ctx, t)
	return trace.Wrap(err)
}
