package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// rowChanges records when each row last changed, by this entry's clock.
type rowChanges[K ~string] map[K]rowChange

type rowChange struct {
	version fleet.RowVersion
	at      time.Time
}

func (s rowChanges[K]) observe(now time.Time, versions map[K]fleet.RowVersion) {
	maps.DeleteFunc(s, func(id K, _ rowChange) bool { _, ok := versions[id]; return !ok })
	for id, version := range versions {
		if known, ok := s[id]; !ok || known.version != version {
			s[id] = rowChange{version: version, at: now}
		}
	}
}

func entryVersions(view *fleet.View) map[fleet.EntryID]fleet.RowVersion {
	versions := map[fleet.EntryID]fleet.RowVersion{}
	for id, e := range view.Entries {
		versions[id] = e.RowVersion
	}
	return versions
}

func drainVersions(view *fleet.View) map[fleet.VMID]fleet.RowVersion {
	versions := map[fleet.VMID]fleet.RowVersion{}
	for id, vm := range view.VMs {
		if vm.State == fleet.VMStateDraining {
			versions[id] = vm.RowVersion
		}
	}
	return versions
}

// returnGrants returns grants whose VM is no longer disrupted under them. A restored table may hold
// such grants, and a VM that was removed leaves one behind.
func (d *FleetDriver) returnGrants(ctx context.Context, held HeldLease, view *fleet.View) bool {
	changed := false
	for _, pool := range slices.Sorted(maps.Keys(view.Ledgers)) {
		ledger := view.Ledgers[pool]
		for _, g := range ledger.Grants {
			vm := view.VMs[g.VM]
			if vm.Pool == pool && vm.GrantID == g.ID || d.mayBeStale(view, vm) {
				continue
			}
			t := d.transaction(held, fleet.AuditActionGrantReturn, fleet.SubjectPool(pool), fleet.SubjectVM(g.VM))
			// The VM's row is a precondition, because the grant may be newer than the view.
			t.Preconditions = append(t.Preconditions, platform.Precondition{Key: wire.KeyVM(g.VM), Version: vm.RowVersion})
			returnGrant(&t, ledger, fleet.VM{ID: g.VM, Pool: pool})
			_, err := d.Table.Commit(ctx, t)
			d.logFailure("return grant", string(g.ID), err)
			changed = true
			break // the ledger has a new version
		}
	}
	return changed
}

// mayBeStale reports whether the row of a VM came from a backup or may have been lost in a restore.
func (d *FleetDriver) mayBeStale(view *fleet.View, vm fleet.VM) bool {
	if vm.ID != "" {
		return vm.History != view.History
	}
	return d.restores.restored && d.Clock.Now().Sub(d.restores.since) <= d.HoldTime
}

// removeEntries removes the rows of entries whose VM the platform's list no longer shows.
func (d *FleetDriver) removeEntries(ctx context.Context, held HeldLease, view *fleet.View) bool {
	changed := false
	for _, id := range slices.Sorted(maps.Keys(view.Entries)) {
		e := view.Entries[id]
		if !d.isEntryGone(d.Clock.Now(), view, e) {
			continue
		}
		t := d.transaction(held, fleet.AuditActionEntryRemove, fleet.SubjectEntry(id))
		t.Preconditions = append(t.Preconditions, platform.Precondition{Key: wire.KeyEntry(id), Version: e.RowVersion})
		t.Puts = append(t.Puts, platform.Put{Key: wire.KeyEntry(id), Delete: true})
		_, err := d.Table.Commit(ctx, t)
		d.logFailure("remove entry", string(id), err)
		changed = true
	}
	return changed
}

// transaction returns a transaction that applies only while this entry holds the lease.
func (d *FleetDriver) transaction(held HeldLease, action fleet.AuditAction, subjects ...fleet.AuditSubject) platform.Transaction {
	return platform.Transaction{
		Audit: &fleet.Audit{
			OperationID: fleet.NewOperationID(), At: d.Clock.Now(), Actor: string(d.Entry), Action: action,
			Subjects: subjects, Outcome: "done", Entry: d.Entry,
		},
		Preconditions: []platform.Precondition{{Key: wire.KeyLease(fleet.DutyFleetDriver), Version: held.RowVersion}},
		History:       d.restores.history,
	}
}
