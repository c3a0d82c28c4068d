package control_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/operation"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	standinplatform "github.com/mimosawharf/mimosawharf/internal/standin/platform"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// newIdleSimulation returns a simulation in which no other entries run in the middle of a call.
func newIdleSimulation(t *testing.T) (*is.I, *simulation) {
	is := is.New(t)
	s := newSimulation(is, 1)
	for _, e := range s.entries {
		e.busy, e.poller.Entry = true, "" // so that VMs are used without an entry row
		e.poller.Poll(t.Context())
	}
	return is, s
}

// Guards against a view that goes back because of a stale read, an old row of a peer or a restored table.
func TestViewOnlyMovesForward(t *testing.T) {
	is, s := newIdleSimulation(t)
	e := s.entries[0]
	before := e.view.Get()
	s.store.Faults = standinplatform.Faults{StaleReads: 1, StaleBy: 3}
	s.clock.Advance(time.Second)
	e.poller.Poll(t.Context())
	is.Equal(e.view.Get(), before) // a stale read confirms nothing
	old := before.VMs["vm-0"]
	old.Pool = "old"
	rows := func(version fleet.RowVersion) control.PollerEvent {
		return control.PollerEvent{Rows: []platform.Row{{Key: wire.KeyVM("vm-0"), Value: wire.EncodeVM(old), Version: version}}}
	}
	e.poller.Handle(t.Context(), rows(before.VMs["vm-0"].RowVersion-1))
	is.Equal(e.view.Get().VMs["vm-0"].Pool, fleet.PoolID("rota"))
	e.poller.Handle(t.Context(), rows(1000))
	is.Equal(e.view.Get().VMs["vm-0"].Pool, fleet.PoolID("old")) // a newer row of a peer is applied at once
	s.store.Restore()
	e.poller.Poll(t.Context())
	is.Equal(len(e.view.Get().VMs), vms) // assignments do not go back, and are to be written back
	is.Equal(len(e.view.Get().Reverted), vms)
	is.Equal(e.view.Get().VMs["vm-1"].RowVersion, fleet.RowVersion(0))
	is.Equal(e.view.Get().VMs["vm-1"].AssignmentEpoch, before.VMs["vm-1"].AssignmentEpoch)
	is.Equal(e.view.Get().Configuration, before.Configuration) // the configuration stays in force
	is.Equal(before.VMs["vm-0"].Pool, fleet.PoolID("rota"))    // a published view is never modified
}

// Guards against an entry that uses VMs of other zones when these may already move them to another pool.
func TestOldViewLeavesOutOtherZones(t *testing.T) {
	is, s := newIdleSimulation(t)
	e := s.entries[0]
	list, err := e.client.ListVMs(t.Context())
	is.NoErr(err)
	e.poller.Handle(t.Context(), control.PollerEvent{List: &list})
	is.Equal(len(e.view.Get().Leaving), 0)
	e.cut = true
	for _, c := range []struct {
		wait    time.Duration
		leaving int
	}{{holdTime / 2, 0}, {time.Millisecond, vms / 2}} {
		s.clock.Advance(c.wait)
		e.poller.Poll(t.Context())
		is.Equal(len(e.view.Get().Leaving), c.leaving)
	}
	is.True(e.view.Get().Leaving["vm-1"])
	e.cut = false
	e.poller.Poll(t.Context())
	is.Equal(len(e.view.Get().Leaving), 0)
}

// Guards against a holder that changes rows after a pause in which another entry acquired its lease.
func TestPausedHolderChangesNothing(t *testing.T) {
	is, s := newIdleSimulation(t)
	first, second := s.entries[0], s.entries[2]
	step := func(e *entry) {
		e.holder.Step(t.Context())
		e.poller.Poll(t.Context())
		e.status.Set(dispatch.Status{Acknowledged: e.view.Get().Revision, History: e.view.Get().History})
	}
	step(first)
	step(first)
	s.change(second, operation.ChangeVM{Command: operation.VMCommandDrain, VM: "vm-0"}, fleet.NewOperationID()) // refused: no list yet
	list, err := second.client.ListVMs(t.Context())
	is.NoErr(err)
	second.poller.Handle(t.Context(), control.PollerEvent{List: &list})
	s.change(second, operation.ChangeVM{Command: operation.VMCommandDrain, VM: "vm-0"}, fleet.NewOperationID())
	step(first)
	step(first) // acknowledges the drain and pauses before its driver runs
	step(second)
	step(second)
	is.Equal(second.view.Get().Leases[fleet.DutyFleetDriver].Holder, first.holder.Entry.ID)
	s.clock.Advance(leaseDuration + time.Millisecond)
	step(second)
	is.Equal(second.view.Get().Leases[fleet.DutyFleetDriver].Holder, second.holder.Entry.ID)
	first.driver.Step(t.Context())
	rows, err := second.client.Read(t.Context(), wire.KeyVM("vm-0"))
	is.NoErr(err)
	vm, err := wire.DecodeVM(rows[0].Value)
	is.NoErr(err)
	is.Equal(vm.State, fleet.VMStateDraining) // the former holder released nothing
}

// Guards against an entry that cannot start while the table is unavailable, or that then uses VMs of other
// zones.
func TestStartFromSnapshot(t *testing.T) {
	is, s := newIdleSimulation(t)
	held := &ring.Latest[control.Leases]{}
	writer := &control.Snapshot{Table: s.entries[0].client, Objects: s.entries[0].client, Held: held, Clock: s.clock}
	is.NoErr(writer.Step(t.Context()))
	data, err := s.entries[0].client.GetObject(t.Context(), platform.ObjectSnapshot)
	is.NoErr(err)
	is.Equal(data, nil) // no lease, no snapshot
	held.Set(control.Leases{fleet.DutySnapshot: {}})
	is.NoErr(writer.Step(t.Context()))
	late := s.newEntry("late", "z0")
	late.busy, late.cut = true, true
	late.poller.Objects = late.client
	late.poller.Poll(t.Context())
	view := late.view.Get()
	is.Equal(view.Configuration.Pools, s.entries[0].view.Get().Configuration.Pools)
	is.Equal(len(view.VMs), vms)
	is.Equal(len(view.Leaving), vms/2) // those of the other zone
}
