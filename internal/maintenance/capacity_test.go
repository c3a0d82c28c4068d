package maintenance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/maintenance"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// capacitySizes end with 394 pools of 19 VMs, the size expected in two years.
var capacitySizes = []size{
	{pools: 40, vms: 19, zones: 3, limit: 1},
	{pools: 100, vms: 19, zones: 3, limit: 1},
	{pools: 200, vms: 19, zones: 3, limit: 1},
	{pools: 394, vms: 19, zones: 3, limit: 1},
}

// BenchmarkCapacityPlan measures the plan of a wave over the whole fleet.
func BenchmarkCapacityPlan(b *testing.B) {
	for _, s := range capacitySizes {
		b.Run(fmt.Sprintf("vms-%d", s.pools*s.vms), func(b *testing.B) {
			is := is.New(b)
			w := newSimulatedFleet(s, 1)
			r := maintenance.Request{
				ID: "wave", Spec: rollOut(fleet.WaveLimits{}), VMs: w.list(), Parallel: w.parallel(), StepTime: maintenance.DefaultStepTime,
			}
			for b.Loop() {
				p, err := maintenance.NewPlan(r, start)
				is.NoErr(err)
				b.ReportMetric(p.Expected.Minutes(), "expected-minutes")
				b.ReportMetric(float64(len(p.Steps)), "steps")
			}
		})
	}
}

// BenchmarkCapacityPlanOfOnePool measures the plan of one pool with one VM at a time, the longest plan for
// that number of VMs.
func BenchmarkCapacityPlanOfOnePool(b *testing.B) {
	for _, vms := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("vms-%d", vms), func(b *testing.B) {
			is := is.New(b)
			w := newSimulatedFleet(size{pools: 1, vms: vms, zones: 3, limit: 1}, 1)
			for b.Loop() {
				runningWave(is, w, rollOut(fleet.WaveLimits{}))
			}
		})
	}
}

// BenchmarkCapacityDecision measures one decision in the middle of a wave over the whole fleet.
func BenchmarkCapacityDecision(b *testing.B) {
	for _, s := range capacitySizes {
		b.Run(fmt.Sprintf("vms-%d", s.pools*s.vms), func(b *testing.B) {
			w := newSimulatedFleet(s, 1)
			var wave fleet.Wave
			w.run(runningWave(is.New(b), w, rollOut(fleet.WaveLimits{})), 30*time.Minute, func(d maintenance.Decision, _ time.Time) { wave = d.Wave })
			facts := w.facts()
			for b.Loop() {
				maintenance.Next(wave, facts, start.Add(30*time.Minute))
			}
		})
	}
}

// BenchmarkCapacityRollOut compares a roll-out over the whole fleet, from plan to end, with the shortest
// that the budgets allow.
func BenchmarkCapacityRollOut(b *testing.B) {
	for range b.N {
		measure(b, capacitySizes[len(capacitySizes)-1], 0, nil)
	}
}
