package operation

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/configuration"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// readLedgers reads the ledgers of the pools that the changes delete.
func (x *Executor) readLedgers(ctx context.Context, changes []configuration.Change) ([]platform.Row, error) {
	var keys []fleet.TableKey
	for _, c := range changes {
		if c.DeletePool != "" {
			keys = append(keys, wire.KeyLedger(c.DeletePool))
		}
	}
	if len(keys) == 0 {
		return nil, nil
	}
	rows, err := x.Table.Read(ctx, keys...)
	return rows, trace.Wrap(err)
}

// capacities reads all VMs and counts them by pool. A read that is older than the ledger of a pool to be
// deleted is a conflict: it may miss a VM that the pool has adopted.
func (x *Executor) capacities(ctx context.Context, ledgers []platform.Row) (map[fleet.PoolID]configuration.Capacity, error) {
	vms := map[fleet.VMID]fleet.VM{}
	revision, err := x.eachRow(ctx, wire.PrefixVM, func(row platform.Row) error {
		vm, err := wire.DecodeVM(row.Value)
		if err == nil && !row.Deleted {
			vms[vm.ID] = vm
		}
		return trace.Wrap(err)
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, row := range ledgers {
		if revision < fleet.TableRevision(row.Version) {
			return nil, trace.Wrap(&platform.ConflictError{Keys: []fleet.TableKey{row.Key}})
		}
	}
	unavailable := map[fleet.VMID]bool{}
	if view := x.View.Get(); view != nil {
		unavailable = view.Leaving
	}
	return configuration.Capacities(vms, unavailable), nil
}

// rowsPerRead bounds the rows of one read.
const rowsPerRead = 2000

// eachRow calls visit for all rows under a prefix and returns the revision up to which they are complete.
func (x *Executor) eachRow(ctx context.Context, prefix fleet.TableKey, visit func(platform.Row) error) (fleet.TableRevision, error) {
	after := fleet.TableRevision(0)
	for {
		changes, err := x.Table.Changes(ctx, after, rowsPerRead, prefix)
		if err != nil {
			return 0, trace.Wrap(err)
		}
		for _, row := range changes.Rows {
			if err := visit(row); err != nil {
				return 0, trace.Wrap(err)
			}
		}
		if after = changes.Revision; !changes.More {
			return after, nil
		}
	}
}
