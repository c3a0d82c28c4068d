package maintenance

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// progress takes what happened to one VM of the wave into the row.
func progress(w *fleet.Wave, i int, f Facts, now time.Time) {
	v := &w.VMs[i]
	if isJudged(v, now) {
		return
	}
	vm, known := f.VMs[v.VM]
	gone := !known || vm.State == fleet.VMStateRemoved
	broken := gone || vm.State == fleet.VMStateFailed || f.Lost[v.VM] && vm.State == fleet.VMStateServing
	limits := WithDefaults(w.Spec.Limits)
	switch v.State {
	case fleet.WaveVMStatePending:
		if gone || vm.State == fleet.VMStateFailed || vm.Pool != v.Pool || isHeld(vm, limits.StepTimeout, now) {
			if vm.State == fleet.VMStateFailed {
				w.UnexpectedFailures++
			}
			setState(v, fleet.WaveVMStateSkipped, now)
		}
	case fleet.WaveVMStateStarted:
		switch {
		case vm.State == fleet.VMStateFailed || gone || now.Sub(v.StartedAt) > limits.StepTimeout:
			w.Failures++
			fail(w, v, now)
		case isBack(*w, vm):
			setState(v, afterStep(*w, *v, vm), now)
		}
	case fleet.WaveVMStateSoaking:
		if broken {
			w.Failures++
			fail(w, v, now)
		} else if now.Sub(v.ChangedAt) >= limits.Soak {
			w.Healthy++
			setState(v, fleet.WaveVMStateDone, now)
		}
	case fleet.WaveVMStateDone:
		// A VM that leaves its pool later has not failed.
		if broken && !gone && vm.Pool == v.Pool && now.Sub(v.ChangedAt) < watchTime {
			w.UnexpectedFailures++
			fail(w, v, now)
		}
	}
}

// isJudged reports whether nothing that happens to the VM counts for the wave any more. In a long wave
// that holds for most VMs.
func isJudged(v *fleet.WaveVM, now time.Time) bool {
	switch v.State {
	case fleet.WaveVMStateFailed, fleet.WaveVMStateSkipped:
		return true
	case fleet.WaveVMStateDone:
		return now.Sub(v.ChangedAt) >= watchTime
	default:
		return false
	}
}

// isHeld reports whether an operator has held the VM drained for longer than a step may take.
func isHeld(vm fleet.VM, stepTimeout time.Duration, now time.Time) bool {
	return vm.State == fleet.VMStateDrained && vm.Purpose == fleet.VMPurposeHold && now.Sub(vm.Since) > stepTimeout
}

// isBack reports whether the action on the VM is over.
func isBack(w fleet.Wave, vm fleet.VM) bool {
	if w.Spec.Action == fleet.WaveActionDrain {
		return vm.State == fleet.VMStateDrained
	}
	return vm.State == fleet.VMStateServing
}

// clockSlack is the difference between the clocks of two entries that decisions tolerate.
const clockSlack = time.Minute

// afterStep returns the state of a VM that is back. A VM whose drain an operator cancelled was not
// maintained and is skipped.
func afterStep(w fleet.Wave, v fleet.WaveVM, vm fleet.VM) fleet.WaveVMState {
	if w.Spec.Action != fleet.WaveActionDrain && vm.LastMaintained.Before(v.StartedAt.Add(-clockSlack)) {
		return fleet.WaveVMStateSkipped
	}
	return fleet.WaveVMStateSoaking
}

// fail counts a VM against the wave and halves the width.
func fail(w *fleet.Wave, v *fleet.WaveVM, now time.Time) {
	w.Healthy = 0
	if w.Width > 0 {
		w.Width = max(1, w.Width/2)
	}
	setState(v, fleet.WaveVMStateFailed, now)
}

func countState(w fleet.Wave, s fleet.WaveVMState) fleet.VMCount {
	var n fleet.VMCount
	for i := range w.VMs {
		if w.VMs[i].State == s {
			n++
		}
	}
	return n
}

func setState(v *fleet.WaveVM, s fleet.WaveVMState, now time.Time) {
	v.State, v.ChangedAt = s, now
}

// widthAfterCanary is the width at which pools begin. Beginning at 1 made a roll-out under a budget of
// 2 of 19 VMs 1.21 times as long as the shortest, which is beyond its target of 1.2.
const widthAfterCanary = 2

// widen ends the canary when all of its VMs are judged, and doubles the width when as many VMs were
// judged healthy as all open pools disrupt at the present width.
func widen(w fleet.Wave) fleet.Wave {
	if w.Width == 0 {
		canary := min(WithDefaults(w.Spec.Limits).CanaryVMs, fleet.VMCount(len(w.VMs))-countState(w, fleet.WaveVMStateSkipped))
		if w.Healthy >= canary || w.Healthy > 0 && countState(w, fleet.WaveVMStatePending) == 0 {
			w.Width, w.Healthy = widthAfterCanary, 0
		}
		return w
	}
	if w.Width < maxWidth && w.Healthy >= w.Width*max(1, openPools(w)) {
		w.Width, w.Healthy = 2*w.Width, 0
	}
	return w
}

// openPools counts the pools with VMs that the wave has not begun. The VMs of a pool follow each other.
func openPools(w fleet.Wave) fleet.VMCount {
	var n fleet.VMCount
	var last fleet.PoolID
	for i := range w.VMs {
		if v := &w.VMs[i]; v.State == fleet.WaveVMStatePending && (n == 0 || v.Pool != last) {
			n, last = n+1, v.Pool
		}
	}
	return n
}
