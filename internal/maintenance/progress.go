package maintenance

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// updateVM updates the state of the i-th VM of the wave from the observed state of the VM.
func updateVM(w *fleet.Wave, i int, f Facts, now time.Time) {
	v := &w.VMs[i]
	if isSettled(v, now) {
		return
	}
	vm, known := f.VMs[v.VM]
	gone := !known || vm.State == fleet.VMStateRemoved
	broken := gone || vm.State == fleet.VMStateFailed || f.Unavailable[v.VM] && vm.State == fleet.VMStateServing
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
			markFailed(w, v, now)
		case isActionDone(*w, vm):
			setState(v, stateAfterAction(*w, *v, vm), now)
		}
	case fleet.WaveVMStateSoaking:
		if broken {
			w.Failures++
			markFailed(w, v, now)
		} else if now.Sub(v.ChangedAt) >= limits.Soak {
			w.Healthy++
			setState(v, fleet.WaveVMStateDone, now)
		}
	case fleet.WaveVMStateDone:
		// A VM that leaves its pool later has not failed.
		if broken && !gone && vm.Pool == v.Pool && now.Sub(v.ChangedAt) < watchTime {
			w.UnexpectedFailures++
			markFailed(w, v, now)
		}
	}
}

// isSettled reports whether the state of the VM in the wave is final. In a long wave this holds for most
// VMs.
func isSettled(v *fleet.WaveVM, now time.Time) bool {
	switch v.State {
	case fleet.WaveVMStateFailed, fleet.WaveVMStateSkipped:
		return true
	case fleet.WaveVMStateDone:
		return now.Sub(v.ChangedAt) >= watchTime
	default:
		return false
	}
}

// isHeld reports whether an operator has kept the VM drained for longer than the step timeout.
func isHeld(vm fleet.VM, stepTimeout time.Duration, now time.Time) bool {
	return vm.State == fleet.VMStateDrained && vm.Purpose == fleet.VMPurposeHold && now.Sub(vm.Since) > stepTimeout
}

// isActionDone reports whether the action of the wave on the VM has ended.
func isActionDone(w fleet.Wave, vm fleet.VM) bool {
	if w.Spec.Action == fleet.WaveActionDrain {
		return vm.State == fleet.VMStateDrained
	}
	return vm.State == fleet.VMStateServing
}

// maxClockSkew is the clock skew between two entries that decisions tolerate.
const maxClockSkew = time.Minute

// stateAfterAction returns the state of a VM in the wave once its action has ended. A VM whose drain an
// operator cancelled was not maintained and is skipped.
func stateAfterAction(w fleet.Wave, v fleet.WaveVM, vm fleet.VM) fleet.WaveVMState {
	if w.Spec.Action != fleet.WaveActionDrain && vm.LastMaintained.Before(v.StartedAt.Add(-maxClockSkew)) {
		return fleet.WaveVMStateSkipped
	}
	return fleet.WaveVMStateSoaking
}

// markFailed sets a VM of the wave to failed and halves the width.
func markFailed(w *fleet.Wave, v *fleet.WaveVM, now time.Time) {
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

// widthAfterCanary is the width after the canary. At 1, a roll-out under a budget of 2 of 19 VMs took 1.21
// times as long as the shortest possible one, which exceeds the target of 1.2.
const widthAfterCanary = 2

// widen ends the canary when all of its VMs are healthy after their soak, or when some are and no VM is
// pending. After that, it doubles the width whenever as many VMs in a row have become healthy as all open
// pools together disrupt at the present width.
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

// openPools counts the pools with pending VMs. The VMs of a pool are adjacent in the wave.
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
