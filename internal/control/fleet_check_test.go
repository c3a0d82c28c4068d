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

// truth reads what changed in the table after a revision, past all faults.
func (s *site) truth(ctx context.Context, after fleet.TableRevision, prefixes ...fleet.TableKey) platform.Changes {
	faults := s.store.Faults
	s.store.Faults = standinplatform.Faults{}
	direct := platform.NewClientOf(platform.Services{Table: s.store, Objects: s.store, VMs: s.store}, time.Minute)
	changes, err := direct.Changes(ctx, after, 0, prefixes...)
	s.is.NoErr(err)
	s.store.Faults = faults
	return changes
}

// check compares the rows of the table with what the guarantees allow.
func (s *site) check(ctx context.Context) {
	m := s.model
	changes := s.truth(ctx, m.revision, wire.PrefixVM, wire.PrefixPool, wire.PrefixAudit)
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

// isUnavailable reports whether the VM is out of service. The list of VMs shows a loss after its lag, and
// a grant may rest on a list that is as old as its bound.
func (s *site) isUnavailable(vm fleet.VM) bool {
	lost := s.model.lostAt[vm.ID]
	return vm.State != fleet.VMStateServing || !lost.IsZero() && s.clock.Now().Sub(lost) > maxAge
}

// checkRow compares the row of a VM with its predecessor and reports whether a drain started.
func (s *site) checkRow(key fleet.TableKey, vm fleet.VM) bool {
	m := s.model
	old, known := m.rows[key]
	m.rows[key] = vm
	if !known || vm.Generation == old.Generation {
		return false
	}
	if old.History != m.history || vm.History != m.history {
		s.checkConfirmed(vm)
		return false // the row of a backup is being written back
	}
	s.is.True(vm.AssignmentEpoch >= old.AssignmentEpoch)
	if old.Pool != vm.Pool { // a pool changes only with the epoch
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

// checkConfirmed compares a row that a restored table confirms with what has been in effect: the endpoint
// has run requests of no later assignment, and of no other one of the same epoch.
func (s *site) checkConfirmed(vm fleet.VM) {
	last := s.model.endpoints[vm.ID]
	// An assignment that no entry knows any more, because the one that knew it died before it wrote the row
	// back, has no requests in flight. The endpoint refuses older ones.
	if vm.History != s.model.history || !slices.Contains(s.entries, s.model.users[vm.ID]) {
		return
	}
	s.is.True(vm.AssignmentEpoch >= last.epoch)
	if vm.AssignmentEpoch == last.epoch {
		s.is.Equal(vm.Pool, last.pool)
	}
}

// checkIdle guards against an action of the platform on a VM that works or that has moved on.
func (s *site) checkIdle(ctx context.Context, id fleet.VMID, operation fleet.OperationID) {
	s.model.counts.actions++
	now := s.clock.Now()
	for _, e := range s.entries {
		for _, a := range e.attempts {
			isOver := zoneOfVM(id) != e.zone && now.Sub(a.since) >= foreignTime
			if a.vm == id && !isOver {
				s.is.Equal(a.vm, "") // a request in flight is cut off
			}
		}
	}
	for _, row := range s.truth(ctx, 0, wire.KeyVM(id)).Rows {
		vm, err := wire.DecodeVM(row.Value)
		s.is.NoErr(err)
		if vm.ID == id {
			s.is.Equal(vm.OperationID, operation) // the action is late
			s.is.Equal(vm.State, fleet.VMStateRebooting)
		}
	}
}

// checkAudit compares the audit trail with the state, row by row: the row of a VM, of a ledger and of a
// wave was written by the transaction of the audit row that it names, and says what that row says.
func (s *site) checkAudit(ctx context.Context) {
	changes := s.truth(ctx, 0, wire.PrefixAudit, wire.PrefixVM, wire.PrefixLedger, wire.PrefixWave)
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
