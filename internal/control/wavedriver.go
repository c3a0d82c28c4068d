package control

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/budget"
	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/machine"
	"github.com/mimosawharf/mimosawharf/internal/maintenance"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// WaveDriver is the duty that advances maintenance waves. It acts only while this entry holds its lease. It
// starts the drains of VMs, and the fleet driver drives them through the action.
type WaveDriver struct {
	// The fields are set before Run.
	DriverConfig
	Interval time.Duration
	// Period is the time in which the standing schedule maintains every VM once; 0 turns the schedule off.
	Period time.Duration

	disrupter disrupter
	states    *machine.Machine[fleet.WaveState, maintenance.Event]
}

// Name implements duty.Duty.
func (*WaveDriver) Name() fleet.DutyName { return fleet.DutyWaveDriver }

// Run implements duty.Duty.
func (d *WaveDriver) Run(ctx context.Context) error {
	for {
		d.Step(ctx)
		if err := clock.Wait(ctx, d.Clock, d.Interval); err != nil {
			return trace.Wrap(err)
		}
	}
}

// Step advances every wave as far as possible if this entry holds the lease. Only Run and tests call it.
func (d *WaveDriver) Step(ctx context.Context) {
	if d.states == nil {
		d.states = maintenance.NewMachine()
		d.disrupter = d.newDisrupter(fleet.DutyWaveDriver, fleet.HolderKindWave)
	}
	held, ok := d.Held.Get()[fleet.DutyWaveDriver]
	view := d.View.Get()
	if !ok || view == nil {
		return
	}
	// Without a fresh list it is unknown which VMs are available, so no wave is evaluated or advanced.
	unavailable, err := budget.Unavailable(maps.Values(view.VMs), view, d.Clock.Now(), d.ListMaxAge)
	if err != nil {
		return
	}
	changed := false
	for _, id := range slices.Sorted(maps.Keys(view.Waves)) {
		acted, err := d.advance(ctx, held, view, unavailable, view.Waves[id])
		changed = changed || acted
		d.logFailure(id, err)
	}
	acted, err := d.schedule(ctx, held, view, unavailable)
	d.logFailure("", err)
	if changed || acted {
		_ = d.Poller.Push(PollerEvent{PollNow: true})
	}
}

// logFailure logs a failed step. A conflict is not logged: the view was outdated, and the next round
// decides again.
func (d *WaveDriver) logFailure(id fleet.WaveID, err error) {
	var conflict *platform.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		d.Log.Warn("wave-driver: step failed", zap.String("wave", string(id)), zap.Error(err))
	}
}

// advance advances one wave as far as possible. It reports whether a row was written.
func (d *WaveDriver) advance(ctx context.Context, held HeldLease, view *fleet.View, unavailable map[fleet.VMID]bool, wave fleet.Wave) (bool, error) {
	if wave.State.IsFinal() || wave.State == fleet.WaveStatePlanned {
		return false, nil
	}
	decision := maintenance.Next(wave, maintenance.Facts{
		VMs: view.VMs, Unavailable: unavailable, Urgent: d.Load.Get().Urgent, Budget: &viewBudget{view: view, unavailable: unavailable},
	}, d.Clock.Now())
	next := decision.Wave
	if decision.Event != "" {
		state, err := d.states.Next(wave.State, decision.Event)
		if err != nil {
			return false, trace.Wrap(err)
		}
		next.State = state
	}
	written := false
	if hasProgressed(wave, next) {
		audit := d.disrupter.audit(fleet.AuditActionWaveStep, fleet.SubjectWave(wave.ID))
		audit.From, audit.To, audit.Reason = string(wave.State), string(next.State), next.Reason
		if err := d.commitWave(ctx, held, &next, platform.Transaction{Audit: audit, History: view.History}); err != nil {
			return false, trace.Wrap(err)
		}
		d.logChange(wave, next)
		written = true
	}
	order, groups := groupByPool(view, decision.Start)
	for _, pool := range order {
		if err := d.startDrains(ctx, held, view, &next, pool, groups[pool]); err != nil {
			return written, trace.Wrap(err)
		}
		written = true
	}
	return written, nil
}

// hasProgressed reports whether a decision changed the row of a wave.
func hasProgressed(a, b fleet.Wave) bool {
	return a.State != b.State || a.Reason != b.Reason || a.Width != b.Width || a.Healthy != b.Healthy || a.Failures != b.Failures ||
		a.UnexpectedFailures != b.UnexpectedFailures || a.Late != b.Late || !a.LowLoadSince.Equal(b.LowLoadSince) || !slices.Equal(a.VMs, b.VMs)
}

// viewBudget checks disruptions against the budgets of a view. It counts the VMs only once a wave has room
// for a start, because counting takes longer than the rest of a decision.
type viewBudget struct {
	view        *fleet.View
	unavailable map[fleet.VMID]bool
	tracker     maintenance.BudgetTracker
}

// Reserve implements maintenance.Budget.
func (v *viewBudget) Reserve(vm fleet.VM) bool {
	// A pool whose grants use up its budget admits nothing. During a wave this holds for most pools, and it
	// saves counting their VMs. The start of a drain counts grants as disrupted as well.
	limit := v.view.Configuration.Pools[vm.Pool].Budget.MaxUnavailableVMs
	if limit > 0 && len(v.view.Ledgers[vm.Pool].Grants) >= int(limit) {
		return false
	}
	if v.tracker == nil {
		v.tracker = maintenance.NewBudgetTracker(v.view.Configuration, v.view.VMs, v.unavailable)
	}
	return v.tracker.Reserve(vm)
}

func (d *WaveDriver) logChange(from, to fleet.Wave) {
	if from.State != to.State {
		d.Log.Info("wave-driver: wave changed state", zap.String("wave", string(to.ID)), zap.String("from", string(from.State)),
			zap.String("to", string(to.State)), zap.String("reason", to.Reason))
	}
	if to.Late && !from.Late {
		d.Log.Warn("wave-driver: wave is expected to miss its deadline", zap.String("wave", string(to.ID)), zap.Time("deadline", to.Spec.Deadline))
	}
}

// startDrains starts the drains of VMs of one pool. The grants, the VM rows and the wave's row change in
// one transaction.
func (d *WaveDriver) startDrains(ctx context.Context, held HeldLease, view *fleet.View, wave *fleet.Wave, pool fleet.PoolID, ids []fleet.VMID) error {
	var list []disruption
	for _, id := range ids {
		purpose, version := maintenance.Disruption(*wave, id)
		list = append(list, disruption{vm: id, purpose: purpose, version: version, wave: wave.ID})
	}
	batch, err := d.disrupter.prepare(ctx, view, held, pool, string(wave.ID), list)
	if err != nil || len(batch.vms) == 0 {
		return trace.Wrap(err)
	}
	var started []fleet.VMID
	for _, vm := range batch.vms {
		started = append(started, vm.ID)
	}
	next := maintenance.Started(*wave, started, batch.transaction.Audit.At)
	batch.transaction.Audit.Subjects = append(batch.transaction.Audit.Subjects, fleet.SubjectWave(wave.ID))
	if err := d.commitWave(ctx, held, &next, batch.transaction); err != nil {
		return trace.Wrap(err)
	}
	*wave = next
	return nil
}

// commitWave commits the row of a wave along with a transaction and records the row's new version.
func (d *WaveDriver) commitWave(ctx context.Context, held HeldLease, wave *fleet.Wave, t platform.Transaction) error {
	wave.ChangedAt, wave.OperationID = t.Audit.At, t.Audit.OperationID
	if !slices.Contains(t.Preconditions, d.disrupter.lease(held)) {
		t.Preconditions = append(t.Preconditions, d.disrupter.lease(held))
	}
	t.Preconditions = append(t.Preconditions, platform.Precondition{Key: wire.KeyWave(wave.ID), Version: wave.RowVersion})
	t.Puts = append(t.Puts, platform.Put{Key: wire.KeyWave(wave.ID), Value: wire.EncodeWave(*wave)})
	revision, err := d.Table.Commit(ctx, t)
	if err != nil {
		return trace.Wrap(err)
	}
	wave.RowVersion = fleet.RowVersion(revision)
	return nil
}

// schedule creates and starts today's wave of the standing schedule when VMs are due.
func (d *WaveDriver) schedule(ctx context.Context, held HeldLease, view *fleet.View, unavailable map[fleet.VMID]bool) (bool, error) {
	now := d.Clock.Now()
	if d.Period == 0 || maintenance.HasStandingWave(view.Waves, now) {
		return false, nil
	}
	vms := wire.SortedVMs(view)
	id, spec, due := maintenance.StandingWave(view.Configuration.Pools, vms, view.Waves, d.Period, now)
	if !due {
		return false, nil
	}
	plan, err := maintenance.NewPlan(maintenance.Request{
		ID: id, Spec: spec, VMs: vms, StepTime: maintenance.DefaultStepTime,
		Parallel: maintenance.NewBudgetTracker(view.Configuration, view.VMs, unavailable).Parallel(),
	}, now)
	if err != nil {
		return false, trace.Wrap(err)
	}
	if plan.Wave.State, err = d.states.Next(plan.Wave.State, maintenance.EventStart); err != nil {
		return false, trace.Wrap(err)
	}
	audit := d.disrupter.audit(fleet.AuditActionWaveCreate, fleet.SubjectWave(id))
	audit.To, audit.Reason = string(plan.Wave.State), "standing schedule"
	return true, d.commitWave(ctx, held, &plan.Wave, platform.Transaction{Audit: audit, History: view.History})
}
