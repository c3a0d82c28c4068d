package metrics

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Fleet is the duty that publishes what the view shows: revisions, ages, grants, loans, waves and the
// performance measures of the fleet.
type Fleet struct {
	// The fields are set before Run.
	Scope    tally.Scope
	View     *ring.Latest[*fleet.View]
	Clock    clock.Clock
	Interval time.Duration
	// Counts reports whether this entry counts what happens in the fleet. One entry at a time does, so
	// that the sum over all entries is right.
	Counts func() bool

	last   *fleet.View
	lastAt time.Time
	// buffer is the idle capacity since the entry started, in VM-hours.
	buffer float64
	// shown holds the tagged gauges that were set, which are set to 0 when their subject has gone.
	shown map[gaugeKey]bool
}

type gaugeKey struct{ name, tag, value string }

// Name implements duty.Duty.
func (*Fleet) Name() fleet.DutyName { return "fleet-metrics" }

// Run implements duty.Duty.
func (f *Fleet) Run(ctx context.Context) error {
	f.shown = map[gaugeKey]bool{}
	for {
		if view := f.View.Get(); view != nil {
			f.publish(f.Clock.Now(), view)
		}
		if err := clock.Wait(ctx, f.Clock, f.Interval); err != nil {
			return trace.Wrap(err)
		}
	}
}

func (f *Fleet) publish(now time.Time, view *fleet.View) {
	f.Scope.Gauge("config_revision").Update(float64(view.Configuration.Revision))
	f.Scope.Gauge("table_revision").Update(float64(view.Revision))
	f.age(now, "view_age_seconds", view.RefreshedAt)
	f.age(now, "vm_list_age_seconds", view.ListReadAt)
	f.subjects(view)
	counts := f.Counts()
	if counts && f.last != nil {
		f.buffer += idle(view) * now.Sub(f.lastAt).Hours()
		f.Scope.Counter("vm_moves").Inc(moves(f.last, view))
		f.waves(f.last, view)
	}
	f.Scope.Gauge("buffer_cost_vm_hours").Update(f.buffer)
	f.last, f.lastAt = view, now
}

// age shows how old state is; what was never read has no age.
func (f *Fleet) age(now time.Time, name string, at time.Time) {
	if !at.IsZero() {
		f.Scope.Gauge(name).Update(max(0, now.Sub(at)).Seconds())
	}
}

// subjects shows the grants and the lent VMs of each pool, and the waves in each state.
func (f *Fleet) subjects(view *fleet.View) {
	values := map[gaugeKey]float64{}
	for key := range f.shown {
		values[key] = 0
	}
	for pool, ledger := range view.Ledgers {
		values[gaugeKey{"grants", "pool", string(pool)}] = float64(len(ledger.Grants))
	}
	for _, vm := range view.VMs {
		if vm.HomePool != "" && vm.HomePool != vm.Pool && vm.State != fleet.VMStateRemoved {
			values[gaugeKey{"loans", "pool", string(vm.HomePool)}]++
		}
	}
	for _, w := range view.Waves {
		values[gaugeKey{"waves", "state", string(w.State)}]++
	}
	for key, value := range values {
		f.shown[key] = true
		f.Scope.Tagged(map[string]string{key.tag: key.value}).Gauge(key.name).Update(value)
	}
}

// waves records how long each wave took that has just finished.
func (f *Fleet) waves(before, after *fleet.View) {
	for id, w := range after.Waves {
		if old, ok := before.Waves[id]; !ok || old.State.IsFinal() || w.State != fleet.WaveStateFinished {
			continue
		}
		took := w.ChangedAt.Sub(begun(w))
		f.Scope.Tagged(map[string]string{"action": string(w.Spec.Action)}).Histogram("roll_out_seconds", waveBuckets).RecordDuration(took)
	}
}

// begun returns when the first VM of a wave was disrupted.
func begun(w fleet.Wave) time.Time {
	at := w.ChangedAt
	for _, vm := range w.VMs {
		if !vm.StartedAt.IsZero() && vm.StartedAt.Before(at) {
			at = vm.StartedAt
		}
	}
	return at
}

// moves counts the VMs whose pool has changed. The adoption of a VM is no move.
func moves(before, after *fleet.View) int64 {
	n := int64(0)
	for id, vm := range after.VMs {
		if old, ok := before.VMs[id]; ok && old.Pool != vm.Pool && old.Pool != fleet.PoolUnassigned {
			n++
		}
	}
	return n
}

// idle returns the capacity of serving VMs that is not in use by the platform's list, in VMs.
func idle(view *fleet.View) float64 {
	sum := 0.0
	for _, one := range view.List.VMs {
		if vm, ok := view.VMs[one.ID]; ok && vm.State == fleet.VMStateServing && vm.Pool != fleet.PoolUnassigned {
			sum += 1 - float64(one.Usage)/100
		}
	}
	return sum
}
