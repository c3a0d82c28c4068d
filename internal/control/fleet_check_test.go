package control_test

import (
	"context"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/platform"
	standinplatform "github.com/mimosawharf/mimosawharf/internal/standin/platform"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// changesWithoutFaults reads what changed in the table after a revision, with all faults switched off.
func (s *simulation) changesWithoutFaults(ctx context.Context, after fleet.TableRevision, prefixes ...fleet.TableKey) platform.Changes {
	faults := s.store.Faults
	s.store.Faults = standinplatform.Faults{}
	direct := platform.NewClientWithServices(platform.Services{Table: s.store, Objects: s.store, VMs: s.store}, time.Minute)
	changes, err := direct.Changes(ctx, after, 0, prefixes...)
	s.is.NoErr(err)
	s.store.Faults = faults
	return changes
}

// check compares the rows of the table with the guarantees.
func (s *simulation) check(ctx context.Context) {
	m := s.model
	changes := s.changesWithoutFaults(ctx, m.revision, wire.PrefixVM, wire.PrefixPool, wire.PrefixAudit)
	m.history, m.revision = changes.History, changes.Revision
	unavailable, available, started := map[fleet.PoolID]fleet.VMCount{}, map[fleet.PoolID]fleet.VMCount{}, map[fleet.PoolID]bool{}
	for _, row := range changes.Rows {
		switch {
		case wire.HasPrefix(row.Key, wire.PrefixAudit): // an operation takes effect at most once
			s.is.True(m.audits[row.Key] == 0 || m.audits[row.Key] == row.Version)
			m.audits[row.Key] = row.Version
		case wire.HasPrefix(row.Key, wire.PrefixPool):
			item, err := wire.DecodeItem(row.Value)
			s.is.NoErr(err)
			if item.Pool != nil {
				m.budgets[item.Pool.ID] = item.Pool.Budget
			}
		default:
			vm, err := wire.DecodeVM(row.Value)
			s.is.NoErr(err)
			if s.checkRow(row.Key, vm) {
				started[vm.Pool] = true
			}
		}
	}
	for _, vm := range m.rows {
		if s.isUnavailable(vm) {
			unavailable[vm.Pool]++
		} else {
			available[vm.Pool]++
		}
	}
	for pool, b := range m.budgets {
		n := unavailable[pool]
		if (m.isCalm || started[pool]) && b.MaxUnavailableVMs > 0 && n > b.MaxUnavailableVMs {
			s.is.Equal(n, b.MaxUnavailableVMs) // the budget is broken
		}
		if started[pool] && available[pool] < b.MinAvailableVMs {
			s.is.Equal(available[pool], b.MinAvailableVMs) // the budget is broken
		}
	}
}

// isUnavailable reports whether the VM is out of service. A lost VM counts only after listMaxAge, because
// the list shows a loss after a lag, and a grant may be based on a list of up to that age.
func (s *simulation) isUnavailable(vm fleet.VM) bool {
	lost := s.model.lostAt[vm.ID]
	return vm.State != fleet.VMStateServing || !lost.IsZero() && s.clock.Now().Sub(lost) > listMaxAge
}

// checkRow compares the row of a VM with its predecessor and reports whether a drain started.
func (s *simulation) checkRow(key fleet.TableKey, vm fleet.VM) bool {
	m := s.model
	old, known := m.rows[key]
	m.rows[key] = vm
	if !known || vm.Generation == old.Generation {
		return false
	}
	if old.History != m.history || vm.History != m.history {
		s.checkConfirmed(vm)
		return false // a row from a backup is being replaced or confirmed
	}
	s.is.True(vm.AssignmentEpoch >= old.AssignmentEpoch)
	if old.Pool != vm.Pool { // the pool changes only together with the epoch
		s.is.Equal(vm.AssignmentEpoch, old.AssignmentEpoch+1)
		m.counts.moves++
	}
	starts := old.State == fleet.VMStateServing && vm.State == fleet.VMStateDraining
	switch {
	case !starts:
	case vm.Wave != "":
		m.counts.waveDrains++
	case vm.HomePool != "":
		m.counts.spareDrains++
	default:
		m.counts.operatorDrains++
	}
	return starts
}

// checkConfirmed checks a row that is confirmed after a restore: the endpoint has run no requests of a later
// assignment, nor of a different one with the same epoch.
func (s *simulation) checkConfirmed(vm fleet.VM) {
	last := s.model.endpoints[vm.ID]
	// If the only entry that knew an assignment died before it wrote the row back, no requests of that
	// assignment are in flight, and the endpoint refuses those of older ones.
	if vm.History != s.model.history || !slices.Contains(s.entries, s.model.firstUsers[vm.ID]) {
		return
	}
	s.is.True(vm.AssignmentEpoch >= last.epoch)
	if vm.AssignmentEpoch == last.epoch {
		s.is.Equal(vm.Pool, last.pool)
	}
}

// checkIdle guards against a platform action on a VM with requests in flight or with a newer state.
func (s *simulation) checkIdle(ctx context.Context, id fleet.VMID, operation fleet.OperationID) {
	s.model.counts.actions++
	now := s.clock.Now()
	for _, e := range s.entries {
		for _, a := range e.attempts {
			isOver := zoneOfVM(id) != e.zone && now.Sub(a.since) >= crossZoneRunTime
			if a.vm == id && !isOver {
				s.is.Equal(a.vm, "") // a request in flight is cut off
			}
		}
	}
	for _, row := range s.changesWithoutFaults(ctx, 0, wire.KeyVM(id)).Rows {
		vm, err := wire.DecodeVM(row.Value)
		s.is.NoErr(err)
		if vm.ID == id {
			s.is.Equal(vm.OperationID, operation) // the action is late
			s.is.Equal(vm.State, fleet.VMStateRebooting)
		}
	}
}

// checkAudit compares the audit trail with the state: each row of a VM, a ledger or a wave was written in
// the same transaction as the audit row of its operation id, and agrees with that audit row.
func (s *simulation) checkAudit(ctx context.Context) {
	changes := s.changesWithoutFaults(ctx, 0, wire.PrefixAudit, wire.PrefixVM, wire.PrefixLedger, wire.PrefixWave)
	audits, at := map[fleet.OperationID]fleet.Audit{}, map[fleet.OperationID]fleet.RowVersion{}
	for _, row := range changes.Rows {
		if wire.HasPrefix(row.Key, wire.PrefixAudit) {
			a, err := wire.DecodeAudit(row.Value)
			s.is.NoErr(err)
			audits[a.OperationID], at[a.OperationID] = a, row.Version
		}
	}
	for _, row := range changes.Rows {
		var id fleet.OperationID
		switch {
		case wire.HasPrefix(row.Key, wire.PrefixVM):
			vm, err := wire.DecodeVM(row.Value)
			s.is.NoErr(err)
			id = vm.OperationID
			s.is.Equal(audits[id].To, string(vm.State))
			s.is.True(slices.Contains(audits[id].Subjects, fleet.SubjectVM(vm.ID)))
		case wire.HasPrefix(row.Key, wire.PrefixLedger):
			ledger, err := wire.DecodeLedger(row.Value)
			s.is.NoErr(err)
			id = ledger.OperationID
			s.is.True(slices.Contains(audits[id].Subjects, fleet.SubjectPool(ledger.Pool)))
		case wire.HasPrefix(row.Key, wire.PrefixWave):
			wave, err := wire.DecodeWave(row.Value)
			s.is.NoErr(err)
			id = wave.OperationID
			s.is.True(slices.Contains(audits[id].Subjects, fleet.SubjectWave(wave.ID)))
		default:
			continue
		}
		s.is.Equal(at[id], row.Version) // written by one transaction
	}
}
