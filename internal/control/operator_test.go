package control_test

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/mimosawharf/mimosawharf/internal/configuration"
	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/operation"
	"github.com/mimosawharf/mimosawharf/internal/operator"
	"github.com/mimosawharf/mimosawharf/internal/spare"
	"github.com/mimosawharf/mimosawharf/internal/standin"
	fleetv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/fleet/v1"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Push implements the inbox of operator.Handler. The entry's executor runs the operation at once.
func (e *entry) Push(o operation.Operation) error {
	e.executor.Execute(context.Background(), o)
	return nil
}

// refresh reads the table and the list of VMs, runs the fleet driver, acknowledges the view and renews the
// row of the entry.
func (e *entry) refresh(ctx context.Context) {
	e.poller.Poll(ctx)
	list, err := e.client.ListVMs(ctx)
	if err == nil {
		e.poller.Handle(ctx, control.PollerEvent{List: &list})
	}
	e.driver.Step(ctx)
	e.poller.Poll(ctx)
	e.status.Set(dispatch.Status{Acknowledged: e.view.Get().Revision, History: e.view.Get().History})
	e.holder.Step(ctx)
	e.poller.Poll(ctx)
}

// Guards against wave operations that take effect twice, write in a dry run, or are allowed in any state.
func TestWaveOperationsOverRPC(t *testing.T) {
	is, s := newIdleSimulation(t)
	e := s.entries[0]
	e.refresh(t.Context())
	h := &operator.Handler{Inbox: e, View: e.view, Clock: s.clock}
	create := func(id string, dry bool, pools ...string) (*connect.Response[operatorv1.CreateWaveResponse], error) {
		return h.CreateWave(t.Context(), connect.NewRequest(&operatorv1.CreateWaveRequest{
			Operation: &operatorv1.Operation{Id: id}, Id: "autumn", Spec: &fleetv1.WaveSpec{Action: "reboot", Pools: pools}, DryRun: dry,
		}))
	}
	controlWave := func(id, wave, action string) (string, error) {
		r, err := h.ControlWave(t.Context(), connect.NewRequest(&operatorv1.ControlWaveRequest{Operation: &operatorv1.Operation{Id: id}, Id: wave, Action: action}))
		if err != nil {
			return "", err
		}
		return r.Msg.GetWave().GetState(), nil
	}
	_, err := create("op-1", false, "nowhere")
	is.Equal(connect.CodeOf(err), connect.CodeNotFound)
	plan, err := create("op-1", true, "rota")
	is.NoErr(err)
	is.Equal(len(plan.Msg.GetWave().GetVms()), vms/2)
	_, err = controlWave("op-2", "autumn", "start")
	is.Equal(connect.CodeOf(err), connect.CodeNotFound) // the dry run wrote nothing
	for range 2 {
		_, err = create("op-1", false, "rota")
		is.NoErr(err) // a repeated call returns the wave of the first
	}
	_, err = create("op-3", false, "rota")
	is.Equal(connect.CodeOf(err), connect.CodeFailedPrecondition)
	_, err = controlWave("op-4", "autumn", "resume")
	is.Equal(connect.CodeOf(err), connect.CodeFailedPrecondition) // it has not started
	for range 2 {
		state, err := controlWave("op-5", "autumn", "start")
		is.NoErr(err)
		is.Equal(state, "running")
	}
	_, err = controlWave("op-6", "autumn", "start")
	is.Equal(connect.CodeOf(err), connect.CodeFailedPrecondition)
	e.poller.Poll(t.Context())
	waves, err := h.ListWaves(t.Context(), connect.NewRequest(&operatorv1.ListWavesRequest{Id: "autumn"}))
	is.NoErr(err)
	is.Equal(len(waves.Msg.GetWaves()), 1)
}

// Guards against a roll-out of one VM without a version, and against losing its version.
func TestRollOutOfOneVM(t *testing.T) {
	is, s := newIdleSimulation(t)
	e := s.entries[0]
	e.refresh(t.Context())
	h := &operator.Handler{Inbox: e, View: e.view, Clock: s.clock}
	changeVM := func(action, version string) (*connect.Response[operatorv1.ChangeVMResponse], error) {
		return h.ChangeVM(t.Context(), connect.NewRequest(&operatorv1.ChangeVMRequest{Vm: "vm-0", Action: action, Version: version}))
	}
	_, err := changeVM("roll-out", "")
	is.Equal(connect.CodeOf(err), connect.CodeInvalidArgument)
	_, err = changeVM("reboot", "v2")
	is.Equal(connect.CodeOf(err), connect.CodeInvalidArgument)
	r, err := changeVM("roll-out", "v2")
	is.NoErr(err)
	is.Equal(r.Msg.GetVm().GetTargetVersion(), "v2")
	is.True(r.Msg.GetVm().GetLastMaintained() != nil) // set at adoption
	for range 12 {
		e.refresh(t.Context())
		s.clock.Advance(time.Second)
	}
	vm := e.view.Get().VMs["vm-0"]
	is.Equal(vm.State, fleet.VMStateServing)
	is.Equal(vm.Version, fleet.Version("v2"))
}

// Guards against a VM in a pool that does not exist: the adoption and the pool's deletion exclude each
// other, whichever of the two commits between the other's decision and its transaction.
func TestAdoptionExcludesDeletionOfItsPool(t *testing.T) {
	for _, first := range []bool{true, false} {
		is, s := newIdleSimulation(t)
		s.store.PutVM(standin.NewVM("vm-9", "z0", "r", "127.0.0.1:9"))
		s.clock.Advance(time.Second)
		s.apply(s.entries[0], configuration.Change{PutPool: &fleet.Pool{ID: "late", Budget: fleet.Budget{MaxUnavailableVMs: 1}}})
		remove := func() { s.apply(s.entries[0], configuration.Change{DeletePool: "late"}) }
		adopt := func() {
			s.change(s.entries[1], operation.ChangeVM{Command: operation.VMCommandAdopt, VM: "vm-9", Pool: "late"}, fleet.NewOperationID())
		}
		if first {
			s.entries[0].beforeCommit = adopt
			remove()
		} else {
			s.entries[1].beforeCommit = remove
			adopt()
		}
		e := s.entries[2]
		e.refresh(t.Context())
		_, exists := e.view.Get().Configuration.Pools["late"]
		_, adopted := e.view.Get().VMs["vm-9"]
		is.Equal(adopted, exists) // the first to commit wins
		is.Equal(adopted, first)
	}
}

// Guards against a move that cannot be cancelled while the zone of its VM is cut off, and against releasing
// the VM in that time.
func TestCancelOfMoveThatWaitsForCutOffZone(t *testing.T) {
	is, s := newIdleSimulation(t)
	e, cut := s.entries[0], s.entries[1]
	cut.refresh(t.Context())
	e.refresh(t.Context())
	cut.cut = true
	s.change(e, operation.ChangeVM{Command: operation.VMCommandMove, VM: "vm-1", Pool: "rota"}, fleet.NewOperationID())
	for range 20 {
		e.refresh(t.Context())
		s.clock.Advance(time.Minute)
	}
	is.Equal(e.view.Get().VMs["vm-1"].State, fleet.VMStateDraining) // an entry of its zone may still work on it
	s.change(e, operation.ChangeVM{Command: operation.VMCommandCancel, VM: "vm-1"}, fleet.NewOperationID())
	e.refresh(t.Context())
	vm := e.view.Get().VMs["vm-1"]
	is.Equal(vm.State, fleet.VMStateServing)
	is.Equal(vm.Pool, fleet.PoolID("spare"))
	is.Equal(vm.AssignmentEpoch, fleet.AssignmentEpoch(1))
	is.Equal(len(e.view.Get().Ledgers["spare"].Grants), 0)
}

// fixedMove always decides on the same move.
type fixedMove struct{ spare.Move }

func (f fixedMove) Decide(time.Time, []spare.Pool) []spare.Move { return []spare.Move{f.Move} }

// Guards against lending without a lease, on a stale list of VMs, without a grant or beyond the budget, and
// against a lent VM without its home pool.
func TestSpareDriverLendsUnderBudget(t *testing.T) {
	is, s := newIdleSimulation(t)
	e := s.entries[0]
	lend := func(vm fleet.VMID) fleet.VMState {
		e.spares.NewPlanner = func() control.MovePlanner { return fixedMove{spare.Move{VM: vm, From: "spare", To: "rota"}} }
		e.spares.Held.Set(control.Leases{}) // a new planner is made for each lease
		e.spares.Step(t.Context())
		e.holder.Step(t.Context())
		e.spares.Step(t.Context())
		e.poller.Poll(t.Context())
		return e.view.Get().VMs[vm].State
	}
	e.poller.Poll(t.Context())
	is.Equal(lend("vm-1"), fleet.VMStateServing) // no list was read yet
	e.refresh(t.Context())
	s.clock.Advance(listMaxAge + time.Second)
	is.Equal(lend("vm-1"), fleet.VMStateServing) // the list is too old
	e.refresh(t.Context())
	is.Equal(lend("vm-1"), fleet.VMStateDraining)
	is.Equal(lend("vm-3"), fleet.VMStateServing) // the budget is used up
	view := e.view.Get()
	is.Equal(view.VMs["vm-1"].HomePool, fleet.PoolID("spare"))
	is.Equal(view.VMs["vm-1"].TargetPool, fleet.PoolID("rota"))
	is.Equal(len(view.Ledgers["spare"].Grants), 1)
	is.Equal(view.Ledgers["spare"].Grants[0].HolderKind, fleet.HolderKindSpare)
}
