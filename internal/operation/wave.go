package operation

import (
	"context"
	"maps"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/budget"
	"github.com/mimosawharf/mimosawharf/internal/maintenance"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// CreateWave plans a maintenance wave and stores it. A dry run only plans it.
type CreateWave struct {
	Identity Identity
	ID       fleet.WaveID
	Spec     fleet.WaveSpec
	DryRun   bool
	Reply    *ring.Ring[Result[maintenance.Plan]]
}

func (o CreateWave) execute(ctx context.Context, x *Executor) {
	value, err := retryConflicts(func() (maintenance.Plan, error) { return o.attempt(ctx, x) })
	// The reply ring has room for the one result.
	_ = o.Reply.Push(Result[maintenance.Plan]{Value: value, Err: err})
	x.PollNow()
}

func (o CreateWave) attempt(ctx context.Context, x *Executor) (maintenance.Plan, error) {
	rows, err := x.Table.Read(ctx, wire.KeyWave(o.ID))
	if err != nil {
		return maintenance.Plan{}, trace.Wrap(err)
	}
	if rows[0].Exists() {
		return o.existing(rows[0])
	}
	request, err := o.request(ctx, x)
	if err != nil {
		return maintenance.Plan{}, trace.Wrap(err)
	}
	plan, err := maintenance.NewPlan(request, x.Clock.Now())
	if err != nil || o.DryRun {
		return plan, trace.Wrap(err)
	}
	plan.Wave.OperationID = o.Identity.ID
	audit := x.audit(o.Identity, fleet.AuditActionWaveCreate, fleet.SubjectWave(o.ID))
	audit.To = string(plan.Wave.State)
	return plan, x.commitWave(ctx, plan.Wave, audit)
}

// existing answers a repeated call with the wave that the first call created.
func (o CreateWave) existing(row platform.Row) (maintenance.Plan, error) {
	wave, err := wire.DecodeWave(row.Value)
	if err != nil {
		return maintenance.Plan{}, trace.Wrap(err)
	}
	if wave.OperationID != o.Identity.ID {
		return maintenance.Plan{}, trace.Wrap(&InvalidStateError{Subject: fleet.SubjectWave(o.ID), Problem: "exists already; choose another id"})
	}
	return maintenance.Plan{Wave: wave}, nil
}

// request reads the VMs and the budgets that a plan is based on.
func (o CreateWave) request(ctx context.Context, x *Executor) (maintenance.Request, error) {
	stored, _, err := x.readConfiguration(ctx)
	if err != nil {
		return maintenance.Request{}, trace.Wrap(err)
	}
	config, _ := stored.Latest()
	for _, pool := range o.Spec.Pools {
		if _, ok := config.Pools[pool]; !ok {
			return maintenance.Request{}, trace.Wrap(&NotFoundError{Subject: fleet.SubjectPool(pool)})
		}
	}
	changes, err := x.Table.Changes(ctx, 0, 0, wire.PrefixVM)
	if err != nil {
		return maintenance.Request{}, trace.Wrap(err)
	}
	r := maintenance.Request{ID: o.ID, Spec: o.Spec, StepTime: maintenance.DefaultStepTime}
	vms := map[fleet.VMID]fleet.VM{}
	for _, row := range changes.Rows {
		if vm, err := wire.DecodeVM(row.Value); err == nil && !row.Deleted {
			vms[vm.ID] = vm
			r.VMs = append(r.VMs, vm)
		}
	}
	view := x.View.Get()
	if view == nil {
		view = fleet.NewView()
	}
	unavailable, err := budget.Unavailable(maps.Values(vms), view, x.Clock.Now(), x.ListMaxAge)
	if err != nil {
		return maintenance.Request{}, trace.Wrap(err)
	}
	r.Parallel = maintenance.NewBudgetTracker(config, vms, unavailable).Parallel()
	return r, nil
}

// ControlWave starts, halts, resumes, rolls back or cancels a wave.
type ControlWave struct {
	Identity Identity
	ID       fleet.WaveID
	Command  fleet.WaveCommand
	Reply    *ring.Ring[Result[fleet.Wave]]
}

func (o ControlWave) execute(ctx context.Context, x *Executor) {
	value, err := retryConflicts(func() (fleet.Wave, error) { return o.attempt(ctx, x) })
	// The reply ring has room for the one result.
	_ = o.Reply.Push(Result[fleet.Wave]{Value: value, Err: err})
	x.PollNow()
}

func (o ControlWave) attempt(ctx context.Context, x *Executor) (fleet.Wave, error) {
	rows, err := x.Table.Read(ctx, wire.KeyWave(o.ID))
	if err != nil {
		return fleet.Wave{}, trace.Wrap(err)
	}
	if !rows[0].Exists() {
		return fleet.Wave{}, trace.Wrap(&NotFoundError{Subject: fleet.SubjectWave(o.ID)})
	}
	wave, err := wire.DecodeWave(rows[0].Value)
	if err != nil {
		return fleet.Wave{}, trace.Wrap(err)
	}
	wave.RowVersion = rows[0].Version
	if wave.OperationID == o.Identity.ID {
		return wave, nil
	}
	// The commands have the names of their events.
	state, err := maintenance.NewMachine().Next(wave.State, maintenance.Event(o.Command))
	if err != nil {
		return fleet.Wave{}, trace.Wrap(&InvalidStateError{Subject: fleet.SubjectWave(o.ID), Problem: err.Error()})
	}
	now := x.Clock.Now()
	next, err := maintenance.Command(wave, o.Command, now)
	if err != nil {
		return fleet.Wave{}, trace.Wrap(err)
	}
	next.State, next.ChangedAt, next.OperationID = state, now, o.Identity.ID
	audit := x.audit(o.Identity, fleet.AuditActionWaveControl, fleet.SubjectWave(o.ID))
	audit.From, audit.To = string(wave.State), string(next.State)
	return next, x.commitWave(ctx, next, audit)
}

// commitWave writes a wave if its row has not changed since it was read.
func (x *Executor) commitWave(ctx context.Context, w fleet.Wave, audit *fleet.Audit) error {
	_, err := x.Table.Commit(ctx, platform.Transaction{
		Audit:         audit,
		Preconditions: []platform.Precondition{{Key: wire.KeyWave(w.ID), Version: w.RowVersion}},
		Puts:          []platform.Put{{Key: wire.KeyWave(w.ID), Value: wire.EncodeWave(w)}},
	})
	return trace.Wrap(err)
}
