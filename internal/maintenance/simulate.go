package maintenance

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// simulatedBudget holds how many more VMs of each pool may be disrupted.
type simulatedBudget map[fleet.PoolID]fleet.VMCount

// Take implements Budget.
func (b simulatedBudget) Take(vm fleet.VM) bool {
	if b[vm.Pool] == 0 {
		return false
	}
	b[vm.Pool]--
	return true
}

// simulate runs the wave without failures and returns its steps and how long it takes. A pool whose
// budget admits nothing now is planned with one VM at a time.
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
	for at := time.Duration(0); at < longest; at += tick {
		now := begin.Add(at)
		finishSteps(w, f, r, now)
		f.Budget = freeBudget(w, r)
		d := Next(w, f, now)
		w = Started(d.Wave, d.Start, now)
		if d.Event == EventFinish {
			return steps, at
		}
		for _, id := range d.Start {
			steps = begun(w, f, steps, id)
		}
	}
	return steps, longest
}

// finishSteps brings back the VMs whose step has lasted its time.
func finishSteps(w fleet.Wave, f Facts, r Request, now time.Time) {
	for _, v := range w.VMs {
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
	for _, v := range w.VMs {
		if _, ok := b[v.Pool]; !ok {
			b[v.Pool] = max(1, r.Parallel[v.Pool])
		}
	}
	for _, v := range w.VMs {
		if v.State == fleet.WaveVMStateStarted && b[v.Pool] > 0 {
			b[v.Pool]--
		}
	}
	return b
}

// begun drains a VM and adds it to the step of its failure domain.
func begun(w fleet.Wave, f Facts, steps []Step, id fleet.VMID) []Step {
	vm := f.VMs[id]
	vm.State = fleet.VMStateDraining
	f.VMs[id] = vm
	if n := len(steps); n > 0 && steps[n-1].Pool == vm.Pool && steps[n-1].Zone == vm.Zone && steps[n-1].Rack == vm.Rack && w.Width > 1 {
		steps[n-1].VMs = append(steps[n-1].VMs, id)
		return steps
	}
	return append(steps, Step{Pool: vm.Pool, Zone: vm.Zone, Rack: vm.Rack, VMs: []fleet.VMID{id}})
}
