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

func planned(is *is.I, w *world, spec fleet.WaveSpec) fleet.Wave {
	p, err := maintenance.New(maintenance.Request{ID: "w", Spec: spec, VMs: w.list(), Parallel: w.parallel(), StepTime: 5 * time.Minute}, start)
	is.NoErr(err)
	p.Wave.State = fleet.WaveStateRunning
	return p.Wave
}

// Guards against a wave that opens two domains of a pool, skips its canary, breaks a budget, or
// depends on anything but its row: each decision is made again from the stored bytes of the row.
func TestWaveKeepsDomainsBudgetAndCanary(t *testing.T) {
	is := is.New(t)
	w := newWorld(small, 1)
	judged := false
	end, _ := w.run(planned(is, w, rollOut(fleet.WaveLimits{})), 12*time.Hour, func(d maintenance.Decision, now time.Time) {
		restored, err := wire.DecodeWave(wire.EncodeWave(d.Wave))
		is.NoErr(err)
		again := maintenance.Next(restored, w.facts(), now)
		is.Equal(again.Start, d.Start)
		is.Equal(again.Event, d.Event)
		zones, exposed := map[fleet.PoolID]fleet.ZoneID{}, len(d.Start)
		for _, v := range d.Wave.VMs {
			judged = judged || v.State == fleet.WaveVMStateDone
			if v.State == fleet.WaveVMStateSoaking {
				exposed++
			}
			if v.State == fleet.WaveVMStateStarted {
				exposed++
				is.True(zones[v.Pool] == "" || zones[v.Pool] == v.Zone) // one zone of a pool at a time
				zones[v.Pool] = v.Zone
			}
		}
		is.True(judged || exposed <= 1) // only the canary before the first judgement
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
		name   string
		bad    func(fleet.VM) bool
		reason string
		most   int
	}{
		{"every VM fails", func(vm fleet.VM) bool { return vm.Version == "v2" }, maintenance.ReasonCanary, 1},
		{"one zone fails", func(vm fleet.VM) bool { return vm.Version == "v2" && vm.Zone == "zone-1" }, maintenance.ReasonFailureRate, 9},
		{"one pool fails", func(vm fleet.VM) bool { return vm.Version == "v2" && vm.Pool == "pool-001" }, maintenance.ReasonFailureRate, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(small, 2)
			w.isBad = c.bad
			halted, _ := w.run(planned(is, w, rollOut(fleet.WaveLimits{})), 12*time.Hour, ignore)
			is.Equal(halted.State, fleet.WaveStateHalted)
			is.Equal(halted.Reason, c.reason)
			is.True(int(halted.Failures) <= c.most)
			w.advance(start.Add(24 * time.Hour)) // lets steps under way end
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

// Guards against halts by background failures alone, and against a bad change that is found late.
// The bounds are those of the doc comment of the rule.
func TestHaltRuleErrorRates(t *testing.T) {
	is := is.New(t)
	const waves, vms = 2000, 176
	falseHalts, missed, spent := 0, 0, 0
	for seed := range uint64(waves) {
		r := rand.New(rand.NewPCG(seed, 3))
		if _, halted := failing(r, vms, 72.0/7400/24); halted {
			falseHalts++
		}
		n, halted := failing(r, vms, 0.4)
		spent += n
		if !halted {
			missed++
		}
	}
	t.Logf("false halts %d of %d, missed %d, VMs spent on a bad change %.1f", falseHalts, waves, missed, float64(spent)/waves)
	is.True(falseHalts <= waves/100)
	is.True(missed <= waves/100)
}

// failing runs a wave of steps one after another whose VMs fail at a rate per hour.
func failing(r *rand.Rand, vms int, rate float64) (int, bool) {
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

// Guards against a wave that runs into a storm, or that switches with every change of load.
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
	w, states := newWorld(small, 4), maintenance.NewMachine()
	wave := planned(is, w, rollOut(fleet.WaveLimits{}))
	for _, s := range steps {
		facts := w.facts()
		facts.Urgent = s.urgent
		d := maintenance.Next(wave, facts, start.Add(s.at))
		wave = d.Wave
		if d.Event != "" {
			wave.State, _ = states.Next(wave.State, d.Event)
		}
		is.Equal(wave.State, s.want)
		is.Equal(wave.Reason != "", s.want == fleet.WaveStateWaiting) // reports that it waits
		is.True(s.want == fleet.WaveStateRunning || len(d.Start) == 0)
	}
}

// Guards against a plan that is accepted although it cannot end in time.
func TestPlanRefusesDeadlineThatCannotHold(t *testing.T) {
	is := is.New(t)
	w := newWorld(small, 5)
	request := maintenance.Request{ID: "w", Spec: rollOut(fleet.WaveLimits{}), VMs: w.list(), Parallel: w.parallel(), StepTime: 5 * time.Minute}
	p, err := maintenance.New(request, start)
	is.NoErr(err)
	request.Spec.Deadline = start.Add(p.Expected - time.Minute)
	var late *maintenance.DeadlineError
	_, err = maintenance.New(request, start)
	is.True(errors.As(err, &late))
	request.Spec.Deadline = start.Add(p.Expected)
	p, err = maintenance.New(request, start)
	is.NoErr(err)
	_, err = maintenance.Command(p.Wave, fleet.WaveCommandStart, request.Spec.Deadline)
	is.True(errors.As(err, &late)) // a plan that lay until its deadline does not start
}

// Guards against VMs that the standing schedule leaves unmaintained for longer than its period.
func TestStandingScheduleCoversPeriod(t *testing.T) {
	is := is.New(t)
	const period = 6 * 7 * 24 * time.Hour
	w := newWorld(size{pools: 4, vms: 37, zones: 3, limit: 2}, 6)
	_, _, due := maintenance.Standing(w.pools(), w.list(), nil, 0, start.Add(period))
	is.True(!due) // a fleet does not reboot by itself unless it is asked to
	waves := map[fleet.WaveID]fleet.Wave{}
	for day := range 130 {
		now := start.Add(time.Duration(day) * 24 * time.Hour)
		id, spec, due := maintenance.Standing(w.pools(), w.list(), waves, period, now)
		if !due {
			continue
		}
		p, err := maintenance.New(maintenance.Request{ID: id, Spec: spec, VMs: w.list(), Parallel: w.parallel(), StepTime: time.Minute}, now)
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
