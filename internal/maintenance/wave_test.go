package maintenance_test

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/maintenance"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

var small = size{pools: 3, vms: 12, zones: 2, limit: 3}

func runningWave(is *is.I, w *simulatedFleet, spec fleet.WaveSpec) fleet.Wave {
	p, err := maintenance.NewPlan(maintenance.Request{ID: "w", Spec: spec, VMs: w.list(), Parallel: w.parallel(), StepTime: 5 * time.Minute}, start)
	is.NoErr(err)
	p.Wave.State = fleet.WaveStateRunning
	return p.Wave
}

// Guards against a wave that disrupts two zones of a pool at a time, skips its canary, breaks a budget, or
// depends on anything but its row: each decision is repeated from the encoded row.
func TestWaveKeepsDomainsBudgetAndCanary(t *testing.T) {
	is := is.New(t)
	w := newSimulatedFleet(small, 1)
	canaryDone := false
	end, _ := w.run(runningWave(is, w, rollOut(fleet.WaveLimits{})), 12*time.Hour, func(d maintenance.Decision, now time.Time) {
		restored, err := wire.DecodeWave(wire.EncodeWave(d.Wave))
		is.NoErr(err)
		again := maintenance.Next(restored, w.facts(), now)
		is.Equal(again.Start, d.Start)
		is.Equal(again.Event, d.Event)
		zones, inFlight := map[fleet.PoolID]fleet.ZoneID{}, len(d.Start)
		for _, v := range d.Wave.VMs {
			canaryDone = canaryDone || v.State == fleet.WaveVMStateDone
			if v.State == fleet.WaveVMStateSoaking {
				inFlight++
			}
			if v.State == fleet.WaveVMStateStarted {
				inFlight++
				is.True(zones[v.Pool] == "" || zones[v.Pool] == v.Zone) // one zone of a pool at a time
				zones[v.Pool] = v.Zone
			}
		}
		is.True(canaryDone || inFlight <= 1) // only the canary until its soak has ended
	})
	is.Equal(end.State, fleet.WaveStateFinished)
	is.Equal(w.violations, 0)
	is.True(end.Width > 1) // widened
	for _, vm := range w.vms {
		is.Equal(vm.Version, fleet.Version("v2"))
	}
}

// Guards against a bad version that spreads, and against a roll-back that leaves it on a VM.
func TestWaveHaltsAndRollsBack(t *testing.T) {
	cases := []struct {
		name        string
		bad         func(fleet.VM) bool
		reason      string
		maxFailures int
	}{
		{"every VM fails", func(vm fleet.VM) bool { return vm.Version == "v2" }, maintenance.ReasonCanary, 1},
		{"one zone fails", func(vm fleet.VM) bool { return vm.Version == "v2" && vm.Zone == "zone-1" }, maintenance.ReasonFailureRate, 9},
		{"one pool fails", func(vm fleet.VM) bool { return vm.Version == "v2" && vm.Pool == "pool-001" }, maintenance.ReasonFailureRate, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulatedFleet(small, 2)
			w.isBad = c.bad
			halted, _ := w.run(runningWave(is, w, rollOut(fleet.WaveLimits{})), 12*time.Hour, ignore)
			is.Equal(halted.State, fleet.WaveStateHalted)
			is.Equal(halted.Reason, c.reason)
			is.True(int(halted.Failures) <= c.maxFailures)
			w.advance(start.Add(24 * time.Hour)) // lets running steps end
			for id, vm := range w.vms {
				vm.State = fleet.VMStateServing
				w.vms[id] = vm
			}
			back, err := maintenance.Command(halted, fleet.WaveCommandRollBack, start)
			is.NoErr(err)
			back.State = fleet.WaveStateRollingBack
			back, _ = w.run(back, 24*time.Hour, ignore)
			is.Equal(back.State, fleet.WaveStateRolledBack)
			for _, vm := range w.vms {
				is.Equal(vm.Version, fleet.Version("v1"))
			}
		})
	}
}

// Guards against halts caused by background failures alone, and against late detection of a bad change.
// The bounds are those of the doc comment of isExcessive.
func TestHaltRuleErrorRates(t *testing.T) {
	is := is.New(t)
	const waves, vms = 2000, 176
	falseHalts, missed, spent := 0, 0, 0
	for seed := range uint64(waves) {
		r := rand.New(rand.NewPCG(seed, 3))
		if _, halted := runFailingWave(r, vms, 72.0/7400/24); halted {
			falseHalts++
		}
		n, halted := runFailingWave(r, vms, 0.4)
		spent += n
		if !halted {
			missed++
		}
	}
	t.Logf("false halts %d of %d, missed %d, VMs spent on a bad change %.1f", falseHalts, waves, missed, float64(spent)/waves)
	is.True(falseHalts <= waves/100)
	is.True(missed <= waves/100)
}

// runFailingWave runs a wave with consecutive steps whose VMs fail at the given rate per hour. It returns
// the number of VMs disrupted and whether the wave halted.
func runFailingWave(r *rand.Rand, vms int, rate float64) (int, bool) {
	w := fleet.Wave{State: fleet.WaveStateRunning, Width: 1, VMs: make([]fleet.WaveVM, vms)}
	for i := range w.VMs {
		now := start.Add(time.Duration(i) * 15 * time.Minute)
		w.VMs[i] = fleet.WaveVM{State: fleet.WaveVMStateDone, StartedAt: now, ChangedAt: now.Add(15 * time.Minute)}
		if r.ExpFloat64()/rate < 0.25 {
			w.VMs[i].State = fleet.WaveVMStateFailed
			if maintenance.Next(w, maintenance.Facts{}, now.Add(15*time.Minute)).Event == maintenance.EventHalt {
				return i + 1, true
			}
		}
	}
	return vms, false
}

// Guards against a wave that proceeds under high urgent load, or that reacts to every change of load.
func TestWaveWaitsWhileUrgentLoadIsHigh(t *testing.T) {
	steps := []struct {
		at     time.Duration
		urgent fleet.Percent
		want   fleet.WaveState
	}{
		{0, 50, fleet.WaveStateRunning},
		{time.Minute, 60, fleet.WaveStateWaiting},
		{2 * time.Minute, 50, fleet.WaveStateWaiting},
		{3 * time.Minute, 30, fleet.WaveStateWaiting},
		{12 * time.Minute, 45, fleet.WaveStateWaiting},
		{14 * time.Minute, 30, fleet.WaveStateWaiting},
		{24 * time.Minute, 30, fleet.WaveStateRunning},
	}
	is := is.New(t)
	w, states := newSimulatedFleet(small, 4), maintenance.NewMachine()
	wave := runningWave(is, w, rollOut(fleet.WaveLimits{}))
	for _, s := range steps {
		facts := w.facts()
		facts.Urgent = s.urgent
		d := maintenance.Next(wave, facts, start.Add(s.at))
		wave = d.Wave
		if d.Event != "" {
			wave.State, _ = states.Next(wave.State, d.Event)
		}
		is.Equal(wave.State, s.want)
		is.Equal(wave.Reason != "", s.want == fleet.WaveStateWaiting) // a waiting wave has a reason
		is.True(s.want == fleet.WaveStateRunning || len(d.Start) == 0)
	}
}

// Guards against accepting a plan that cannot end before its deadline.
func TestPlanRefusesDeadlineThatCannotHold(t *testing.T) {
	is := is.New(t)
	w := newSimulatedFleet(small, 5)
	request := maintenance.Request{ID: "w", Spec: rollOut(fleet.WaveLimits{}), VMs: w.list(), Parallel: w.parallel(), StepTime: 5 * time.Minute}
	p, err := maintenance.NewPlan(request, start)
	is.NoErr(err)
	request.Spec.Deadline = start.Add(p.Expected - time.Minute)
	var late *maintenance.DeadlineError
	_, err = maintenance.NewPlan(request, start)
	is.True(errors.As(err, &late))
	request.Spec.Deadline = start.Add(p.Expected)
	p, err = maintenance.NewPlan(request, start)
	is.NoErr(err)
	_, err = maintenance.Command(p.Wave, fleet.WaveCommandStart, request.Spec.Deadline)
	is.True(errors.As(err, &late)) // a plan that was not started before its deadline does not start
}

// Guards against VMs that the standing schedule leaves unmaintained for longer than its period.
func TestStandingScheduleCoversPeriod(t *testing.T) {
	is := is.New(t)
	const period = 6 * 7 * 24 * time.Hour
	w := newSimulatedFleet(size{pools: 4, vms: 37, zones: 3, limit: 2}, 6)
	_, _, due := maintenance.StandingWave(w.pools(), w.list(), nil, 0, start.Add(period))
	is.True(!due) // without a period, a fleet does not reboot by itself
	waves := map[fleet.WaveID]fleet.Wave{}
	for day := range 130 {
		now := start.Add(time.Duration(day) * 24 * time.Hour)
		id, spec, due := maintenance.StandingWave(w.pools(), w.list(), waves, period, now)
		if !due {
			continue
		}
		p, err := maintenance.NewPlan(maintenance.Request{ID: id, Spec: spec, VMs: w.list(), Parallel: w.parallel(), StepTime: time.Minute}, now)
		is.NoErr(err)
		is.True(len(p.Wave.VMs) <= 4*2) // spread over the days
		p.Wave.State = fleet.WaveStateFinished
		waves[id] = p.Wave
		for _, v := range p.Wave.VMs {
			vm := w.vms[v.VM]
			vm.LastMaintained = now
			w.vms[v.VM] = vm
		}
		for _, vm := range w.vms {
			is.True(now.Sub(vm.Since) < period || now.Sub(vm.LastMaintained) < period)
		}
	}
}
