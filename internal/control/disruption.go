package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/budget"
	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/machine"
	"github.com/mimosawharf/mimosawharf/internal/maintenance"
	"github.com/mimosawharf/mimosawharf/internal/move"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// PoolLoad is the load of one pool, as the dispatchers report it.
type PoolLoad struct {
	// Queued is the expected run time of the queued work that can run, estimated from observed run times.
	Queued time.Duration
}

// Load is the load of the fleet, as the dispatchers report it. The zero value is an idle fleet.
type Load struct {
	// Urgent is the share of the fleet's slots that urgent work uses or waits for.
	Urgent fleet.Percent
	Pools  map[fleet.PoolID]PoolLoad
}

// DriverConfig holds the fields shared by the duties that start disruptions of VMs. They are set before Run.
type DriverConfig struct {
	Entry      fleet.EntryID
	Table      Table
	View       *ring.Latest[*fleet.View]
	Held       *ring.Latest[Leases]
	Load       *ring.Latest[Load]
	Poller     *ring.Ring[PollerEvent]
	Clock      clock.Clock
	Log        *zap.Logger
	ListMaxAge time.Duration
}

func (d *DriverConfig) newDisrupter(duty fleet.DutyName, kind fleet.HolderKind) disrupter {
	return disrupter{
		table: d.Table, clock: d.Clock, entry: d.Entry, duty: duty, kind: kind, states: move.NewMachine(), listMaxAge: d.ListMaxAge,
	}
}

// disruption is the drain of one VM and the action that follows it.
type disruption struct {
	vm      fleet.VMID
	purpose fleet.VMPurpose
	version fleet.Version
	target  fleet.PoolID
	wave    fleet.WaveID
}

// disrupter starts drains for one duty. Each drain and its grant are written in one transaction.
type disrupter struct {
	table  Table
	clock  clock.Clock
	entry  fleet.EntryID
	duty   fleet.DutyName
	kind   fleet.HolderKind
	states *machine.Machine[fleet.VMState, move.Event]
	// listMaxAge is the greatest age of a list of VMs that decisions may rely on.
	listMaxAge time.Duration
}

// drainBatch is the transaction that starts the drains of some VMs of one pool, with their new rows.
type drainBatch struct {
	transaction platform.Transaction
	vms         []fleet.VM
}

// audit returns the audit row of a change that the duty makes.
func (d *disrupter) audit(action fleet.AuditAction, subjects ...fleet.AuditSubject) *fleet.Audit {
	return &fleet.Audit{
		OperationID: fleet.NewOperationID(), At: d.clock.Now(), Actor: string(d.entry) + "/" + string(d.duty),
		Action: action, Subjects: subjects, Outcome: "done", Entry: d.entry,
	}
}

// lease returns the precondition that the entry still holds the lease of the duty.
func (d *disrupter) lease(held HeldLease) platform.Precondition {
	return platform.Precondition{Key: wire.KeyLease(d.duty), Version: held.RowVersion}
}

// prepare reads the pool's configuration, its ledger and the VMs to drain from the table and returns the
// transaction that starts those drains that the budget allows. Its preconditions are the lease and the
// versions of the pool, the ledger and the drained VMs.
func (d *disrupter) prepare(ctx context.Context, view *fleet.View, held HeldLease, pool fleet.PoolID, holder string, list []disruption) (drainBatch, error) {
	rows, tracker, err := d.read(ctx, view, pool, list)
	if err != nil {
		return drainBatch{}, trace.Wrap(err)
	}
	audit := d.audit(fleet.AuditActionVMDrain, fleet.SubjectPool(pool))
	batch := drainBatch{transaction: platform.Transaction{Audit: audit, History: view.History, Preconditions: []platform.Precondition{
		d.lease(held), {Key: wire.KeyPool(pool), Version: rows.poolVersion}, {Key: wire.KeyLedger(pool), Version: rows.ledger.RowVersion},
	}}}
	for i, planned := range list {
		vm := rows.vms[i]
		state, err := d.states.Next(vm.State, move.EventDrain)
		if err != nil || vm.Pool != pool || vm.History != view.History || !tracker.Reserve(vm) {
			continue
		}
		version := vm.RowVersion
		vm = move.Apply(vm, move.EventDrain, state, audit.OperationID, audit.At)
		vm.Purpose, vm.TargetVersion, vm.TargetPool, vm.Wave = planned.purpose, planned.version, planned.target, planned.wave
		// A transaction may start several drains, so the id of a grant includes its VM.
		vm.GrantID = fleet.GrantID(string(audit.OperationID) + "/" + string(vm.ID))
		if planned.target != "" && vm.HomePool == "" {
			vm.HomePool = pool
		}
		rows.ledger.Grants = append(rows.ledger.Grants, fleet.Grant{
			ID: vm.GrantID, VM: vm.ID, Zone: vm.Zone, Slots: vm.Slots, HolderKind: d.kind, Holder: holder,
			OperationID: audit.OperationID, GrantedAt: audit.At,
		})
		audit.Subjects = append(audit.Subjects, fleet.SubjectVM(vm.ID))
		batch.transaction.Preconditions = append(batch.transaction.Preconditions, platform.Precondition{Key: wire.KeyVM(vm.ID), Version: version})
		batch.transaction.Puts = append(batch.transaction.Puts, platform.Put{Key: wire.KeyVM(vm.ID), Value: wire.EncodeVM(vm)})
		batch.vms = append(batch.vms, vm)
	}
	audit.From, audit.To = string(fleet.VMStateServing), string(fleet.VMStateDraining)
	rows.ledger.OperationID = audit.OperationID
	batch.transaction.Puts = append(batch.transaction.Puts, platform.Put{Key: wire.KeyLedger(pool), Value: wire.EncodeLedger(rows.ledger)})
	return batch, nil
}

// poolRows are the rows on which prepare decides.
type poolRows struct {
	poolVersion fleet.RowVersion
	ledger      fleet.Ledger
	vms         []fleet.VM
}

// read returns the rows for prepare and a budget tracker for the pool. The other VMs of the pool come from the
// view; those that the ledger names count as disrupted.
func (d *disrupter) read(ctx context.Context, view *fleet.View, pool fleet.PoolID, list []disruption) (poolRows, maintenance.BudgetTracker, error) {
	keys := []fleet.TableKey{wire.KeyPool(pool), wire.KeyLedger(pool)}
	for _, planned := range list {
		keys = append(keys, wire.KeyVM(planned.vm))
	}
	rows, err := d.table.Read(ctx, keys...)
	if err != nil {
		return poolRows{}, nil, trace.Wrap(err)
	}
	out := poolRows{poolVersion: rows[0].Version, ledger: fleet.Ledger{Pool: pool}}
	config := fleet.NewConfiguration()
	if item, err := wire.DecodeItem(rows[0].Value); err != nil {
		return poolRows{}, nil, trace.Wrap(err)
	} else if item.Pool != nil {
		config.Pools[pool] = *item.Pool
	}
	if rows[1].Exists() {
		if out.ledger, err = wire.DecodeLedger(rows[1].Value); err != nil {
			return poolRows{}, nil, trace.Wrap(err)
		}
		out.ledger.RowVersion = rows[1].Version
	}
	// A view older than the ledger may show VMs as serving whose disruption the ledger no longer lists.
	if fleet.TableRevision(out.ledger.RowVersion) > view.Revision {
		return poolRows{}, nil, trace.Wrap(&platform.ConflictError{Keys: []fleet.TableKey{wire.KeyLedger(pool)}})
	}
	vms := poolVMs(view, pool)
	for _, row := range rows[2:] {
		vm, err := wire.DecodeVM(row.Value)
		if err != nil {
			return poolRows{}, nil, trace.Wrap(err)
		}
		vm.RowVersion = row.Version
		out.vms = append(out.vms, vm)
		vms[vm.ID] = vm
	}
	unavailable, err := budget.Unavailable(maps.Values(vms), view, d.clock.Now(), d.listMaxAge)
	if err != nil {
		return poolRows{}, nil, trace.Wrap(err)
	}
	for _, g := range out.ledger.Grants {
		unavailable[g.VM] = true
	}
	return out, maintenance.NewBudgetTracker(config, vms, unavailable), nil
}

func poolVMs(view *fleet.View, pool fleet.PoolID) map[fleet.VMID]fleet.VM {
	vms := map[fleet.VMID]fleet.VM{}
	for id, vm := range view.VMs {
		if vm.Pool == pool {
			vms[id] = vm
		}
	}
	return vms
}

// groupByPool groups VMs by the pool that their rows name, in the order of their first VM.
func groupByPool(view *fleet.View, ids []fleet.VMID) ([]fleet.PoolID, map[fleet.PoolID][]fleet.VMID) {
	var order []fleet.PoolID
	groups := map[fleet.PoolID][]fleet.VMID{}
	for _, id := range ids {
		pool := view.VMs[id].Pool
		if !slices.Contains(order, pool) {
			order = append(order, pool)
		}
		groups[pool] = append(groups[pool], id)
	}
	return order, groups
}
