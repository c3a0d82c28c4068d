package maintenance

import (
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Budget checks disruptions against the availability budgets of the pools.
type Budget interface {
	// Reserve counts the VM as disrupted when the budget of its pool allows that, and reports whether
	// it does.
	Reserve(vm fleet.VM) bool
}

// Facts are the observations that a decision depends on, besides the row of the wave.
type Facts struct {
	VMs map[fleet.VMID]fleet.VM
	// Unavailable holds the VMs that are not known to be available, whatever state their rows show.
	Unavailable map[fleet.VMID]bool
	Budget      Budget
	// Urgent is the share of the fleet's slots that urgent work uses or waits for.
	Urgent fleet.Percent
}

// Decision is the next step of a wave.
type Decision struct {
	// Wave is the row with the progress and the event applied; starts are not applied yet.
	Wave fleet.Wave
	// Event is the transition of the wave, or empty if the state does not change.
	Event Event
	// Start holds the VMs to drain now, in order.
	Start []fleet.VMID
}

// Thresholds of urgent load. A wave waits from urgentHigh on and proceeds once the load has been at most
// urgentLow for lowLoadTime. The hysteresis keeps a wave from reacting to every short change of load.
const (
	urgentHigh  fleet.Percent = 60
	urgentLow   fleet.Percent = 40
	lowLoadTime               = 10 * time.Minute
)

// Reasons why a wave waits or is halted.
const (
	ReasonUrgentLoad  = "urgent-load-high"
	ReasonFailureRate = "failures-exceed-background-rate"
	ReasonCanary      = "canary-failed"
	ReasonMaxFailures = "max-failures-reached"
	ReasonOperator    = "halted-by-operator"
)

// Next decides the next step of a wave. The decision depends on the arguments only.
func Next(w fleet.Wave, f Facts, now time.Time) Decision {
	if w.State.IsFinal() || w.State == fleet.WaveStatePlanned {
		return Decision{Wave: w}
	}
	w.VMs = slices.Clone(w.VMs)
	for i := range w.VMs {
		updateVM(&w, i, f, now)
	}
	w = widen(w)
	w.Late = isLate(w, now)
	d := Decision{Wave: w}
	d.Event, d.Wave.Reason = nextEvent(&d.Wave, f, now)
	if d.Event == "" && (w.State == fleet.WaveStateRunning || w.State == fleet.WaveStateRollingBack) {
		d.Start = selectStarts(d.Wave, f)
	}
	return d
}

// nextEvent returns the transition that the wave makes without an operator, and the reason of its next
// state.
func nextEvent(w *fleet.Wave, f Facts, now time.Time) (Event, string) {
	active := w.State == fleet.WaveStateRunning || w.State == fleet.WaveStateWaiting
	if reason := haltReason(*w, now); active && reason != "" {
		return EventHalt, reason
	}
	switch w.State {
	case fleet.WaveStateRunning:
		if !hasOpenVMs(*w) {
			return EventFinish, ""
		}
		if f.Urgent >= urgentHigh {
			w.LowLoadSince = time.Time{}
			return EventWait, ReasonUrgentLoad
		}
	case fleet.WaveStateWaiting:
		if isLoadLow(w, f.Urgent, now) {
			w.LowLoadSince = time.Time{}
			return EventProceed, ""
		}
	case fleet.WaveStateRollingBack:
		if !hasOpenVMs(*w) {
			return EventRolledBack, ""
		}
	}
	return "", w.Reason
}

// isLoadLow records when urgent load became low and reports whether it has been low for lowLoadTime.
func isLoadLow(w *fleet.Wave, urgent fleet.Percent, now time.Time) bool {
	if urgent > urgentLow {
		w.LowLoadSince = time.Time{}
		return false
	}
	if w.LowLoadSince.IsZero() {
		w.LowLoadSince = now
	}
	return now.Sub(w.LowLoadSince) >= lowLoadTime
}

func haltReason(w fleet.Wave, now time.Time) string {
	switch {
	case canaryFailed(w):
		return ReasonCanary
	case isExcessive(w, now):
		return ReasonFailureRate
	case newFailures(w) >= WithDefaults(w.Spec.Limits).MaxFailures:
		return ReasonMaxFailures
	default:
		return ""
	}
}

// canaryFailed reports whether a VM of the canary failed, unless an operator accepted the failure.
func canaryFailed(w fleet.Wave) bool {
	return w.Width == 0 && newFailures(w) > 0
}

// newFailures counts the failed VMs, except those that an operator accepted by resuming the wave.
func newFailures(w fleet.Wave) fleet.VMCount {
	var n fleet.VMCount
	for i := range w.VMs {
		if v := &w.VMs[i]; v.State == fleet.WaveVMStateFailed && v.ChangedAt.After(w.FailuresSince) {
			n++
		}
	}
	return n
}

func hasOpenVMs(w fleet.Wave) bool {
	for i := range w.VMs {
		if v := &w.VMs[i]; v.State == fleet.WaveVMStatePending || isInFlight(*v) {
			return true
		}
	}
	return false
}

// isInFlight reports whether the VM is in its step or soaking.
func isInFlight(v fleet.WaveVM) bool {
	return v.State == fleet.WaveVMStateStarted || v.State == fleet.WaveVMStateSoaking
}
