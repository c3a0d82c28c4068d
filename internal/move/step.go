package move

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Facts are what the next step of a VM depends on.
type Facts struct {
	// Released says that no entry sends work of the current assignment to the VM any more.
	Released bool
	// Listed is the VM in the platform's list, nil when the list does not show it.
	Listed *fleet.PlatformVM
}

// Step is the next thing to do for a VM.
type Step struct {
	// Event is the transition to make; it is empty when nothing is to be done.
	Event Event
	// Command is what to ask of the platform before the transition, if anything.
	Command *fleet.VMCommand
}

// Next returns the next step of a VM that is being disrupted.
func Next(vm fleet.VM, f Facts) Step {
	switch vm.State {
	case fleet.VMStateDraining:
		if f.Released {
			return Step{Event: EventRelease}
		}
	case fleet.VMStateDrained:
		return nextDrained(vm)
	case fleet.VMStateRebooting:
		if f.Listed != nil && f.Listed.State == fleet.PlatformVMStateLive && f.Listed.LastOperation == vm.OperationID {
			return Step{Event: EventBooted}
		}
	}
	return Step{}
}

func nextDrained(vm fleet.VM) Step {
	switch vm.Purpose {
	case fleet.VMPurposeMove:
		return Step{Event: EventAttach}
	case fleet.VMPurposeReboot:
		return Step{Event: EventReboot, Command: &fleet.VMCommand{VM: vm.ID, Action: fleet.VMActionReboot}}
	case fleet.VMPurposeReplace:
		return Step{Event: EventReboot, Command: &fleet.VMCommand{VM: vm.ID, Action: fleet.VMActionReplace}}
	case fleet.VMPurposeRollOut:
		return Step{Event: EventReboot, Command: &fleet.VMCommand{VM: vm.ID, Action: fleet.VMActionRollOut, Version: vm.TargetVersion}}
	case fleet.VMPurposeRemove:
		return Step{Event: EventRemove}
	default:
		return Step{}
	}
}

// Apply returns the row of the VM after an event. The caller has checked that the state allows it.
func Apply(vm fleet.VM, event Event, state fleet.VMState, operation fleet.OperationID, now time.Time) fleet.VM {
	vm.State, vm.OperationID, vm.Since = state, operation, now
	switch event {
	case EventAttach:
		vm.Pool = vm.TargetPool
		vm.AssignmentEpoch++
		return clearDisruption(vm)
	case EventBooted:
		vm.LastMaintained = now
		if vm.TargetVersion != "" {
			vm.Version = vm.TargetVersion
		}
		return clearDisruption(vm)
	case EventCancel, EventRecover, EventRemove:
		return clearDisruption(vm)
	default:
		return vm
	}
}

// ReturnsGrant reports whether the grant of the disruption ends with the event.
func ReturnsGrant(event Event) bool {
	switch event {
	case EventAttach, EventBooted, EventCancel, EventRecover, EventRemove:
		return true
	default:
		return false
	}
}

func clearDisruption(vm fleet.VM) fleet.VM {
	vm.TargetPool, vm.TargetVersion, vm.GrantID, vm.Wave = "", "", "", ""
	vm.Purpose = fleet.VMPurposeNone
	return vm
}
