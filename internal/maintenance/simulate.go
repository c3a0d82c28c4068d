package maintenance

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// simulatedBudget holds how many more VMs of each pool may be disrupted.
type simulatedBudget map[fleet.PoolID]fleet.VMCount

// Reserve implements Budget.
func (b simulatedBudget) Reserve(vm fleet.VM) bool {
	if b[vm.Pool] == 0 {
		return false
	}
	b[vm.Pool]--
	return true
}

// simulate runs the wave without failures and returns its steps and its duration. A pool whose budget
// allows no disruption at present is planned with one VM at a time.
func simulate(w fleet.Wave, r Request) ([]Step, time.Duration) {
	begin := w.CreatedAt
	limits := WithDefaults(w.Spec.Limits)
	tick := max(time.Second, min(r.StepTime, limits.Soak)/2)
	w.State = fleet.WaveStateRunning
	f := Facts{VMs: map[fleet.VMID]fleet.VM{}}
	for _, v := range w.VMs {
		f.VMs[v.VM] = fleet.VM{ID: v.VM, Pool: v.Pool, Zone: v.Zone, Rack: v.Rack, State: fleet.VMStateServing}
	}
	var steps []Step
	longest := time.Duration(len(w.VMs)+2) * (r.StepTime + limits.Soak + 2*tick)
	for at := time.Duration(0); at < longest; {
		now, width := begin.Add(at), w.Width
		changes := !nextEnd(w, r).After(now)
		completeSteps(w, f, r, now)
		f.Budget = freeBudget(w, r)
		d := Next(w, f, now)
		w = d.Wave
		if d.Event == EventFinish {
			return steps, at
		}
		at += tick
		if !changes && len(d.Start) == 0 && w.Width == width {
			// Nothing changes before the next step or soak ends, so the ticks until then are skipped.
			at = max(at, ceilTick(nextEnd(w, r).Sub(begin), tick))
			continue
		}
		w = Started(w, d.Start, now)
		for _, id := range d.Start {
			steps = recordStart(w, f, steps, id)
		}
	}
	return steps, longest
}

// ceilTick rounds up to a whole number of ticks.
func ceilTick(d, tick time.Duration) time.Duration { return (d + tick - 1) / tick * tick }

// nextEnd returns when the first running step or soak ends, or the zero time if there is none.
func nextEnd(w fleet.Wave, r Request) time.Time {
	soak := WithDefaults(w.Spec.Limits).Soak
	var first time.Time
	for i := range w.VMs {
		v := &w.VMs[i]
		var end time.Time
		switch v.State {
		case fleet.WaveVMStateStarted:
			end = v.StartedAt.Add(r.StepTime)
		case fleet.WaveVMStateSoaking:
			end = v.ChangedAt.Add(soak)
		default:
			continue
		}
		if first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return first
}

// completeSteps ends the steps that have lasted the expected time: their VMs serve again, or are drained.
func completeSteps(w fleet.Wave, f Facts, r Request, now time.Time) {
	for i := range w.VMs {
		v := &w.VMs[i]
		if v.State == fleet.WaveVMStateStarted && now.Sub(v.StartedAt) >= r.StepTime {
			vm := f.VMs[v.VM]
			vm.State, vm.LastMaintained = fleet.VMStateServing, now
			if w.Spec.Action == fleet.WaveActionDrain {
				vm.State = fleet.VMStateDrained
			}
			f.VMs[v.VM] = vm
		}
	}
}

func freeBudget(w fleet.Wave, r Request) simulatedBudget {
	b := simulatedBudget{}
	for i := range w.VMs {
		// The VMs of a pool are adjacent, so each pool is set once.
		if pool := w.VMs[i].Pool; i == 0 || pool != w.VMs[i-1].Pool {
			b[pool] = max(1, r.Parallel[pool])
		}
	}
	for i := range w.VMs {
		if v := &w.VMs[i]; v.State == fleet.WaveVMStateStarted && b[v.Pool] > 0 {
			b[v.Pool]--
		}
	}
	return b
}

// recordStart drains a VM and adds it to the last step if that has the same pool and rack.
func recordStart(w fleet.Wave, f Facts, steps []Step, id fleet.VMID) []Step {
	vm := f.VMs[id]
	vm.State = fleet.VMStateDraining
	f.VMs[id] = vm
	if n := len(steps); n > 0 && steps[n-1].Pool == vm.Pool && steps[n-1].Zone == vm.Zone && steps[n-1].Rack == vm.Rack && w.Width > 1 {
		steps[n-1].VMs = append(steps[n-1].VMs, id)
		return steps
	}
	return append(steps, Step{Pool: vm.Pool, Zone: vm.Zone, Rack: vm.Rack, VMs: []fleet.VMID{id}})
}
