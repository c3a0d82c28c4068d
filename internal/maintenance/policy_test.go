package maintenance_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// shortestRollOut returns the duration of a roll-out with perfect information: it knows how long each step
// takes, always disrupts as many VMs as the budget allows, and needs no canary, soak or failure domain.
func shortestRollOut(s size, seed uint64) time.Duration {
	w := newSimulatedFleet(s, seed)
	// Listed once, because sorting all VMs at each tick took half of the benchmark's time at 7,486 VMs.
	waiting := w.list()
	for at := time.Duration(0); ; at += tick {
		now := start.Add(at)
		w.advance(now)
		facts := w.facts()
		waiting = slices.DeleteFunc(waiting, func(vm fleet.VM) bool {
			if !facts.Budget.Reserve(vm) {
				return false
			}
			w.drain(vm.ID, "v2", now)
			return true
		})
		if len(waiting)+len(w.stepEnds) == 0 {
			return at
		}
	}
}

// BenchmarkPolicyWave compares a roll-out with one VM at a time and with the shortest that the budgets
// allow, at present sizes and at a tenth of the pools expected in two years, with steps of 4 to 6 minutes
// and seeds 1 to 3.
func BenchmarkPolicyWave(b *testing.B) {
	oneVM := map[time.Duration][]fleet.VMID{20 * time.Minute: {"pool-001-007"}}
	rack := map[time.Duration][]fleet.VMID{20 * time.Minute: {"pool-000-004", "pool-001-004", "pool-002-004", "pool-003-004"}}
	ikirere := size{pools: 5, vms: 10, zones: 3, limit: 2}
	for _, c := range []struct {
		name   string
		size   size
		canary fleet.VMCount
		lost   map[time.Duration][]fleet.VMID
	}{
		{"newsroom", size{pools: 5, vms: 10, zones: 4, limit: 1}, 0, nil},
		{"ikirere", ikirere, 0, nil},
		{"ikirere-canary-in-each-pool", ikirere, 5, nil},
		{"ikirere-vm-lost", ikirere, 0, oneVM},
		{"ikirere-rack-lost", ikirere, 0, rack},
		{"two-years-tenth", size{pools: 40, vms: 19, zones: 3, limit: 1}, 0, nil},
		{"two-years-tenth-wide", size{pools: 40, vms: 19, zones: 3, limit: 2}, 0, nil},
	} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				measure(b, c.size, c.canary, c.lost)
			}
		})
	}
}

func measure(b *testing.B, s size, canary fleet.VMCount, lost map[time.Duration][]fleet.VMID) {
	is := is.New(b)
	var wave, shortest time.Duration
	violations, halts := 0, 0
	for seed := range uint64(3) {
		w := newSimulatedFleet(s, seed+1)
		w.losses = lost
		end, took := w.run(runningWave(is, w, rollOut(fleet.WaveLimits{Soak: time.Minute, CanaryVMs: canary})), 1000*time.Hour, ignore)
		is.Equal(end.State, fleet.WaveStateFinished)
		wave, violations, halts = wave+took, violations+w.violations, halts+w.halts
		shortest += shortestRollOut(s, seed+1)
	}
	single := time.Duration(s.pools*s.vms*3) * 5 * time.Minute // the mean duration of a step
	b.ReportMetric(wave.Minutes()/3, "wave:rollout-minutes")
	b.ReportMetric(single.Minutes()/3, "one-at-a-time:rollout-minutes")
	b.ReportMetric(shortest.Minutes()/3, "perfect:rollout-minutes")
	b.ReportMetric(float64(wave)/float64(shortest), "wave:ratio")
	b.ReportMetric(float64(violations), "budget-violations")
	b.ReportMetric(float64(halts), "halts")
}

// Guards against a roll-out that takes more than 1.2 times the shortest that the budgets allow.
func TestRollOutTime(t *testing.T) {
	is := is.New(t)
	s := size{pools: 5, vms: 10, zones: 4, limit: 1}
	w := newSimulatedFleet(s, 1)
	_, took := w.run(runningWave(is, w, rollOut(fleet.WaveLimits{Soak: time.Minute})), 100*time.Hour, ignore)
	is.True(took <= shortestRollOut(s, 1)*12/10)
}
