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

// Fleet is the duty that publishes metrics of the fleet view: revisions, ages, grants, loans, waves and
// the performance measures of the fleet.
type Fleet struct {
	// The fields are set before Run.
	Scope    tally.Scope
	View     *ring.Latest[*fleet.View]
	Clock    clock.Clock
	Interval time.Duration
	// OwnsCounters reports whether this entry counts the events of the fleet. One entry at a time does, so
	// that the sum over all entries counts each event once.
	OwnsCounters func() bool

	last   *fleet.View
	lastAt time.Time
	// idleVMHours is the idle capacity accumulated since the entry started.
	idleVMHours float64
	// published holds the tagged gauges that were set; a gauge without a current value is set to 0.
	published map[gaugeKey]bool
}

type gaugeKey struct{ name, tag, value string }

// Name implements duty.Duty.
func (*Fleet) Name() fleet.DutyName { return "fleet-metrics" }

// Run implements duty.Duty.
func (f *Fleet) Run(ctx context.Context) error {
	f.published = map[gaugeKey]bool{}
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
	f.publishAge(now, "view_age_seconds", view.RefreshedAt)
	f.publishAge(now, "vm_list_age_seconds", view.ListReadAt)
	f.publishGauges(view)
	ownsCounters := f.OwnsCounters()
	if ownsCounters && f.last != nil {
		f.idleVMHours += idleVMs(view) * now.Sub(f.lastAt).Hours()
		f.Scope.Counter("vm_moves").Inc(countMoves(f.last, view))
		f.recordWaves(f.last, view)
	}
	f.Scope.Gauge("buffer_cost_vm_hours").Update(f.idleVMHours)
	f.last, f.lastAt = view, now
}

// publishAge publishes the age of state that was read at a time; state that was never read has no age.
func (f *Fleet) publishAge(now time.Time, name string, at time.Time) {
	if !at.IsZero() {
		f.Scope.Gauge(name).Update(max(0, now.Sub(at)).Seconds())
	}
}

// publishGauges publishes the grants and the lent VMs of each pool, and the waves in each state.
func (f *Fleet) publishGauges(view *fleet.View) {
	values := map[gaugeKey]float64{}
	for key := range f.published {
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
		f.published[key] = true
		f.Scope.Tagged(map[string]string{key.tag: key.value}).Gauge(key.name).Update(value)
	}
}

// recordWaves records the duration of each wave that has just finished.
func (f *Fleet) recordWaves(before, after *fleet.View) {
	for id, w := range after.Waves {
		if old, ok := before.Waves[id]; !ok || old.State.IsFinal() || w.State != fleet.WaveStateFinished {
			continue
		}
		took := w.ChangedAt.Sub(startedAt(w))
		f.Scope.Tagged(map[string]string{"action": string(w.Spec.Action)}).Histogram("roll_out_seconds", waveBuckets).RecordDuration(took)
	}
}

// startedAt returns when the first VM of a wave was disrupted.
func startedAt(w fleet.Wave) time.Time {
	at := w.ChangedAt
	for _, vm := range w.VMs {
		if !vm.StartedAt.IsZero() && vm.StartedAt.Before(at) {
			at = vm.StartedAt
		}
	}
	return at
}

// countMoves counts the VMs whose pool has changed. Adopting a VM does not count.
func countMoves(before, after *fleet.View) int64 {
	n := int64(0)
	for id, vm := range after.VMs {
		if old, ok := before.VMs[id]; ok && old.Pool != vm.Pool && old.Pool != fleet.PoolUnassigned {
			n++
		}
	}
	return n
}

// idleVMs returns the unused capacity of serving VMs, in VMs, from the usage in the platform's list.
func idleVMs(view *fleet.View) float64 {
	sum := 0.0
	for _, listed := range view.List.VMs {
		if vm, ok := view.VMs[listed.ID]; ok && vm.State == fleet.VMStateServing && vm.Pool != fleet.PoolUnassigned {
			sum += 1 - float64(listed.Usage)/100
		}
	}
	return sum
}
