package control_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/configuration"
	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// rowTable is an in-memory table that reports each attempt to commit.
type rowTable struct {
	rows     map[fleet.TableKey]platform.Row
	revision fleet.TableRevision
	commits  *ring.Ring[error]
	// beforeCommit is called between the read and the commit of a step.
	beforeCommit func(*rowTable)
}

func (t *rowTable) put(key fleet.TableKey, value []byte) {
	t.revision++
	t.rows[key] = platform.Row{Key: key, Value: value, Version: fleet.RowVersion(t.revision)}
}

func (t *rowTable) Read(_ context.Context, keys ...fleet.TableKey) ([]platform.Row, error) {
	var list []platform.Row
	for _, k := range keys {
		list = append(list, t.rows[k])
	}
	t.beforeCommit(t)
	return list, nil
}

func (t *rowTable) Commit(_ context.Context, c platform.Transaction) (fleet.TableRevision, error) {
	var err error
	for _, p := range c.Preconditions {
		if t.rows[p.Key].Version != p.Version {
			err = &platform.ConflictError{Keys: []fleet.TableKey{p.Key}}
		}
	}
	if err == nil {
		t.revision++
		for _, p := range c.Puts {
			t.rows[p.Key] = platform.Row{Key: p.Key, Value: p.Value, Version: fleet.RowVersion(t.revision)}
		}
	}
	return t.revision, t.commits.Push(err)
}

// newTable returns a table with a lease at version 1, a pool of two VMs with a budget of one, and a running wave.
func newTable(now time.Time) (*rowTable, *fleet.View) {
	t := &rowTable{rows: map[fleet.TableKey]platform.Row{}, commits: ring.New[error]("commits", 16), beforeCommit: func(*rowTable) {}}
	view := fleet.NewView()
	t.put(wire.KeyLease(fleet.DutyWaveDriver), nil)
	pool := fleet.Pool{ID: "rota", Budget: fleet.Budget{MaxUnavailableVMs: 1}}
	view.Configuration.Pools["rota"] = pool
	t.put(wire.KeyPool("rota"), wire.EncodeItem(configuration.Item{Pool: &pool, Revision: 1}))
	wave := fleet.Wave{ID: "w", State: fleet.WaveStateRunning, Width: 2, Spec: fleet.WaveSpec{Action: fleet.WaveActionReboot}}
	for _, id := range []fleet.VMID{"vm-1", "vm-2"} {
		vm := fleet.VM{ID: id, Pool: "rota", Zone: "a", State: fleet.VMStateServing, Since: now}
		t.put(wire.KeyVM(id), wire.EncodeVM(vm))
		view.VMs[id] = vm
		view.List.VMs = append(view.List.VMs, fleet.PlatformVM{ID: id, State: fleet.PlatformVMStateLive})
		wave.VMs = append(wave.VMs, fleet.WaveVM{VM: id, Pool: "rota", Zone: "a", State: fleet.WaveVMStatePending})
	}
	t.put(wire.KeyWave("w"), wire.EncodeWave(wave))
	wave.RowVersion = t.rows[wire.KeyWave("w")].Version
	view.Waves["w"] = wave
	view.ListReadAt, view.List.AsOf = now, now
	return t, view
}

// Guards against drains without a grant, beyond the budget, under a lost lease or based on an old ledger.
func TestWaveDriverStartsUnderPreconditions(t *testing.T) {
	other := wire.EncodeLedger(fleet.Ledger{Pool: "rota", Grants: []fleet.Grant{{ID: "g", VM: "vm-2"}}})
	cases := []struct {
		name    string
		race    func(*rowTable)
		drained fleet.VMCount
		grants  int
	}{
		{"nobody else acts", func(*rowTable) {}, 1, 1},
		{"an operator takes a grant meanwhile", func(t *rowTable) { t.put(wire.KeyLedger("rota"), other) }, 0, 1},
		{"another entry takes the lease meanwhile", func(t *rowTable) { t.put(wire.KeyLease(fleet.DutyWaveDriver), nil) }, 0, 0},
		{"an operator changes the budget meanwhile", func(t *rowTable) { t.put(wire.KeyPool("rota"), t.rows[wire.KeyPool("rota")].Value) }, 0, 0},
		{"an operator halts the wave meanwhile", func(t *rowTable) { t.put(wire.KeyWave("w"), t.rows[wire.KeyWave("w")].Value) }, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			table, view := newTable(clock.Now())
			table.beforeCommit = c.race
			d := &control.WaveDriver{Interval: time.Second, DriverConfig: control.DriverConfig{
				Entry: "entry-1", Table: table, View: &ring.Latest[*fleet.View]{}, Held: &ring.Latest[control.Leases]{},
				Load: &ring.Latest[control.Load]{}, Poller: ring.New[control.PollerEvent]("poller", 4),
				Clock: clock, Log: zap.NewNop(), ListMaxAge: time.Minute,
			}}
			d.View.Set(view)
			d.Held.Set(control.Leases{fleet.DutyWaveDriver: {RowVersion: 1}})
			ctx, cancel := context.WithCancel(context.Background())
			done := ring.New[error]("done", 1)
			go func() { _ = done.Push(d.Run(ctx)) }()
			conflict, err := table.commits.Pop(ctx)
			is.NoErr(err)
			cancel()
			_, err = done.Pop(context.Background())
			is.NoErr(err)
			is.Equal(conflict == nil, c.drained > 0)
			drained := fleet.VMCount(0)
			for _, id := range []fleet.VMID{"vm-1", "vm-2"} {
				vm, err := wire.DecodeVM(table.rows[wire.KeyVM(id)].Value)
				is.NoErr(err)
				if vm.State == fleet.VMStateDraining {
					drained++
					is.True(vm.GrantID != "" && vm.Wave == "w" && vm.Purpose == fleet.VMPurposeReboot)
				}
			}
			ledger, err := wire.DecodeLedger(table.rows[wire.KeyLedger("rota")].Value)
			is.NoErr(err)
			wave, err := wire.DecodeWave(table.rows[wire.KeyWave("w")].Value)
			is.NoErr(err)
			is.Equal(drained, c.drained)
			is.Equal(len(ledger.Grants), c.grants)
			is.Equal(wave.VMs[0].State == fleet.WaveVMStateStarted, c.drained > 0) // same transaction
		})
	}
}
