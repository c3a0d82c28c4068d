package maintenance_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/maintenance"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

var start = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

// simulatedFleet is an in-memory fleet with a budget of unavailable VMs per pool.
type simulatedFleet struct {
	vms        map[fleet.VMID]fleet.VM
	limit      map[fleet.PoolID]int
	stepEnds   map[fleet.VMID]time.Time
	random     *rand.Rand
	isBad      func(fleet.VM) bool
	violations int
	// losses holds the VMs to lose at each time, and halts counts how often an operator resumed the wave.
	losses map[time.Duration][]fleet.VMID
	halts  int
}

type size struct{ pools, vms, zones, limit int }

func newSimulatedFleet(s size, seed uint64) *simulatedFleet {
	w := &simulatedFleet{
		vms: map[fleet.VMID]fleet.VM{}, limit: map[fleet.PoolID]int{}, stepEnds: map[fleet.VMID]time.Time{},
		random: rand.New(rand.NewPCG(seed, 1)), isBad: func(fleet.VM) bool { return false },
	}
	for p := range s.pools {
		pool := fleet.PoolID(fmt.Sprintf("pool-%03d", p))
		w.limit[pool] = s.limit
		for i := range s.vms {
			zone := i * s.zones / s.vms
			id := fleet.VMID(fmt.Sprintf("%s-%03d", pool, i))
			w.vms[id] = fleet.VM{
				ID: id, Pool: pool, State: fleet.VMStateServing, Version: "v1", Since: start.Add(-time.Hour),
				Zone: fleet.ZoneID(fmt.Sprintf("zone-%d", zone)), Rack: fleet.RackID(fmt.Sprintf("rack-%d-%d", zone, i/4)),
			}
		}
	}
	return w
}

func (w *simulatedFleet) list() []fleet.VM {
	return slices.SortedFunc(maps.Values(w.vms), func(a, b fleet.VM) int { return cmp.Compare(a.ID, b.ID) })
}

func (w *simulatedFleet) parallel() map[fleet.PoolID]fleet.VMCount {
	parallel := map[fleet.PoolID]fleet.VMCount{}
	for pool, limit := range w.limit {
		parallel[pool] = fleet.VMCount(limit)
	}
	return parallel
}

func (w *simulatedFleet) pools() map[fleet.PoolID]fleet.Pool {
	pools := map[fleet.PoolID]fleet.Pool{}
	for pool := range w.limit {
		pools[pool] = fleet.Pool{ID: pool}
	}
	return pools
}

// freeBudget is how many more VMs of each pool may be disrupted.
type freeBudget map[fleet.PoolID]int

func (l freeBudget) Reserve(vm fleet.VM) bool {
	if l[vm.Pool] <= 0 {
		return false
	}
	l[vm.Pool]--
	return true
}

// drain starts the step of a VM. A step takes 4 to 6 minutes.
func (w *simulatedFleet) drain(id fleet.VMID, version fleet.Version, now time.Time) {
	vm := w.vms[id]
	vm.State, vm.TargetVersion = fleet.VMStateRebooting, version
	w.vms[id] = vm
	out := 0
	for _, other := range w.vms {
		if other.Pool == vm.Pool && other.State != fleet.VMStateServing {
			out++
		}
	}
	if out > w.limit[vm.Pool] {
		w.violations++
	}
	w.stepEnds[id] = now.Add(4*time.Minute + time.Duration(w.random.Int64N(int64(2*time.Minute))))
}

func (w *simulatedFleet) advance(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(w.stepEnds)) {
		until := w.stepEnds[id]
		if now.Before(until) {
			continue
		}
		vm := w.vms[id]
		vm.State, vm.LastMaintained, vm.Version = fleet.VMStateServing, now, vm.TargetVersion
		if w.isBad(vm) {
			vm.State = fleet.VMStateFailed
		}
		w.vms[id] = vm
		delete(w.stepEnds, id)
	}
}

func (w *simulatedFleet) facts() maintenance.Facts {
	l := freeBudget{}
	for pool, limit := range w.limit {
		l[pool] = limit
	}
	for _, vm := range w.vms {
		if vm.State != fleet.VMStateServing {
			l[vm.Pool]--
		}
	}
	for _, free := range l {
		if free < 0 && w.losses == nil { // a loss is not a voluntary disruption, which drain checks
			w.violations++
		}
	}
	return maintenance.Facts{VMs: w.vms, Budget: l}
}

// tick is the time between decisions.
const tick = 5 * time.Second

// run drives a wave until it ends, halts or reaches the time limit, and returns its row and duration. With
// losses, it resumes a halted wave instead.
func (w *simulatedFleet) run(wave fleet.Wave, limit time.Duration, observe func(maintenance.Decision, time.Time)) (fleet.Wave, time.Duration) {
	states := maintenance.NewMachine()
	for at := time.Duration(0); at < limit; at += tick {
		now := start.Add(at)
		w.advance(now)
		w.lose(at)
		d := maintenance.Next(wave, w.facts(), now)
		observe(d, now)
		wave = d.Wave
		if d.Event != "" {
			wave.State, _ = states.Next(wave.State, d.Event)
		}
		if wave.State == fleet.WaveStateHalted && w.losses != nil {
			wave, _ = maintenance.Command(wave, fleet.WaveCommandResume, now)
			wave.State = fleet.WaveStateRunning
			w.halts++
		}
		if wave.State.IsFinal() || wave.State == fleet.WaveStateHalted {
			return wave, at
		}
		for _, id := range d.Start {
			_, version := maintenance.Disruption(wave, id)
			w.drain(id, version, now)
		}
		wave = maintenance.Started(wave, d.Start, now)
	}
	return wave, limit
}

// lose fails the VMs that are lost now. They serve again after 15 minutes, with their old version.
func (w *simulatedFleet) lose(at time.Duration) {
	for _, id := range w.losses[at] {
		vm := w.vms[id]
		vm.State, vm.TargetVersion = fleet.VMStateFailed, vm.Version
		w.vms[id], w.stepEnds[id] = vm, start.Add(at+15*time.Minute)
	}
}

func rollOut(limits fleet.WaveLimits) fleet.WaveSpec {
	return fleet.WaveSpec{Action: fleet.WaveActionRollOut, Version: "v2", Limits: limits}
}

func ignore(maintenance.Decision, time.Time) {}
