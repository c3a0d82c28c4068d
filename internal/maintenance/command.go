package maintenance

import (
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// RollBackError reports a roll-back of a wave whose action installs no version.
type RollBackError struct {
	Wave   fleet.WaveID
	Action fleet.WaveAction
}

// Error implements error.
func (e *RollBackError) Error() string {
	return "wave " + string(e.Wave) + " cannot roll back its action " + string(e.Action) + ": cancel it instead"
}

// Command returns the row of a wave after an operator's command. The caller applies the event of the same
// name to the state and has checked that the state allows it. Command returns *RollBackError, or
// *DeadlineError when it starts a wave whose canary alone would end after the deadline.
func Command(w fleet.Wave, c fleet.WaveCommand, now time.Time) (fleet.Wave, error) {
	w.Reason = ""
	switch c {
	case fleet.WaveCommandStart:
		// The plan met the deadline when it was made, but may have been left unstarted for too long.
		end := now.Add(DefaultStepTime + WithDefaults(w.Spec.Limits).Soak)
		if !w.Spec.Deadline.IsZero() && end.After(w.Spec.Deadline) {
			return w, trace.Wrap(&DeadlineError{Wave: w.ID, Deadline: w.Spec.Deadline, Expected: end})
		}
	case fleet.WaveCommandHalt:
		w.Reason = ReasonOperator
	case fleet.WaveCommandResume:
		w.FailuresSince, w.LowLoadSince = now, time.Time{}
	case fleet.WaveCommandRollBack:
		if w.Spec.Action != fleet.WaveActionRollOut {
			return w, trace.Wrap(&RollBackError{Wave: w.ID, Action: w.Spec.Action})
		}
		w = rollBack(w, now)
	}
	return w, nil
}

// rollBack schedules every VM that the wave has started for its previous version. There is no canary,
// because the previous version is known to work.
func rollBack(w fleet.Wave, now time.Time) fleet.Wave {
	w.VMs = slices.Clone(w.VMs)
	for i := range w.VMs {
		v := &w.VMs[i]
		needsRollBack := !v.StartedAt.IsZero() && v.PreviousVersion != "" && v.PreviousVersion != w.Spec.Version
		v.StartedAt = time.Time{}
		if needsRollBack {
			setState(v, fleet.WaveVMStatePending, now)
		} else {
			setState(v, fleet.WaveVMStateSkipped, now)
		}
	}
	w.Width, w.Healthy, w.FailuresSince = 1, 0, now
	return w
}

// Started returns the row of a wave after the drains of some VMs have started.
func Started(w fleet.Wave, ids []fleet.VMID, now time.Time) fleet.Wave {
	w.VMs = slices.Clone(w.VMs)
	started := map[fleet.VMID]bool{}
	for _, id := range ids {
		started[id] = true
	}
	for i := range w.VMs {
		if v := &w.VMs[i]; started[v.VM] {
			setState(v, fleet.WaveVMStateStarted, now)
			v.StartedAt = now
		}
	}
	return w
}

// Disruption returns the purpose and the target version of a VM's drain in the wave.
func Disruption(w fleet.Wave, id fleet.VMID) (fleet.VMPurpose, fleet.Version) {
	switch w.Spec.Action {
	case fleet.WaveActionReboot:
		return fleet.VMPurposeReboot, ""
	case fleet.WaveActionReplace:
		return fleet.VMPurposeReplace, ""
	case fleet.WaveActionRollOut:
		i := slices.IndexFunc(w.VMs, func(v fleet.WaveVM) bool { return v.VM == id })
		if w.State == fleet.WaveStateRollingBack && i >= 0 {
			return fleet.VMPurposeRollOut, w.VMs[i].PreviousVersion
		}
		return fleet.VMPurposeRollOut, w.Spec.Version
	default:
		return fleet.VMPurposeHold, ""
	}
}
