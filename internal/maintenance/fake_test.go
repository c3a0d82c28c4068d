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

// world is a fleet in memory with a budget of VMs per pool.
type world struct {
	vms        map[fleet.VMID]fleet.VM
	limit      map[fleet.PoolID]int
	until      map[fleet.VMID]time.Time
	steps      *rand.Rand
	isBad      func(fleet.VM) bool
	violations int
	// lost holds when VMs are lost, and halts how often an operator had to resume the wave.
	lost  map[time.Duration][]fleet.VMID
	halts int
}

type size struct{ pools, vms, zones, limit int }

func newWorld(s size, seed uint64) *world {
	w := &world{
		vms: map[fleet.VMID]fleet.VM{}, limit: map[fleet.PoolID]int{}, until: map[fleet.VMID]time.Time{},
		steps: rand.New(rand.NewPCG(seed, 1)), isBad: func(fleet.VM) bool { return false },
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

func (w *world) list() []fleet.VM {
	return slices.SortedFunc(maps.Values(w.vms), func(a, b fleet.VM) int { return cmp.Compare(a.ID, b.ID) })
}

func (w *world) parallel() map[fleet.PoolID]fleet.VMCount {
	parallel := map[fleet.PoolID]fleet.VMCount{}
	for pool, limit := range w.limit {
		parallel[pool] = fleet.VMCount(limit)
	}
	return parallel
}

func (w *world) pools() map[fleet.PoolID]fleet.Pool {
	pools := map[fleet.PoolID]fleet.Pool{}
	for pool := range w.limit {
		pools[pool] = fleet.Pool{ID: pool}
	}
	return pools
}

// ledger takes grants against the VMs out of service at one instant.
type ledger map[fleet.PoolID]int

func (l ledger) Take(vm fleet.VM) bool {
	if l[vm.Pool] <= 0 {
		return false
	}
	l[vm.Pool]--
	return true
}

// drain starts the step of a VM. A step takes 4 to 6 minutes.
func (w *world) drain(id fleet.VMID, version fleet.Version, now time.Time) {
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
	w.until[id] = now.Add(4*time.Minute + time.Duration(w.steps.Int64N(int64(2*time.Minute))))
}

func (w *world) advance(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(w.until)) {
		until := w.until[id]
		if now.Before(until) {
			continue
		}
		vm := w.vms[id]
		vm.State, vm.LastMaintained, vm.Version = fleet.VMStateServing, now, vm.TargetVersion
		if w.isBad(vm) {
			vm.State = fleet.VMStateFailed
		}
		w.vms[id] = vm
		delete(w.until, id)
	}
}

func (w *world) facts() maintenance.Facts {
	l := ledger{}
	for pool, limit := range w.limit {
		l[pool] = limit
	}
	for _, vm := range w.vms {
		if vm.State != fleet.VMStateServing {
			l[vm.Pool]--
		}
	}
	for _, free := range l {
		if free < 0 && w.lost == nil { // a loss is no voluntary disruption; drain judges those
			w.violations++
		}
	}
	return maintenance.Facts{VMs: w.vms, Budget: l}
}

// tick is how often the driver decides.
const tick = 5 * time.Second

// run drives a wave until it ends, halts or the time is up, and returns its row and end.
func (w *world) run(wave fleet.Wave, most time.Duration, observe func(maintenance.Decision, time.Time)) (fleet.Wave, time.Duration) {
	states := maintenance.NewMachine()
	for at := time.Duration(0); at < most; at += tick {
		now := start.Add(at)
		w.advance(now)
		w.lose(at)
		d := maintenance.Next(wave, w.facts(), now)
		observe(d, now)
		wave = d.Wave
		if d.Event != "" {
			wave.State, _ = states.Next(wave.State, d.Event)
		}
		if wave.State == fleet.WaveStateHalted && w.lost != nil {
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
	return wave, most
}

// lose fails the VMs that are lost now; they come back after a quarter of an hour with their old version.
func (w *world) lose(at time.Duration) {
	for _, id := range w.lost[at] {
		vm := w.vms[id]
		vm.State, vm.TargetVersion = fleet.VMStateFailed, vm.Version
		w.vms[id], w.until[id] = vm, start.Add(at+15*time.Minute)
	}
}

func rollOut(limits fleet.WaveLimits) fleet.WaveSpec {
	return fleet.WaveSpec{Action: fleet.WaveActionRollOut, Version: "v2", Limits: limits}
}

func ignore(maintenance.Decision, time.Time) {}
