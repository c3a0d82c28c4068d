package move

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Facts are the observations that the next step of a VM depends on, besides its row.
type Facts struct {
	// Released reports whether no entry sends work of the current assignment to the VM any more.
	Released bool
	// Listed is the VM in the platform's list, or nil if it is not listed.
	Listed *fleet.PlatformVM
	// ListIsFresh reports whether the list is within its maximum age and newer than the VM's state, so
	// that a VM missing from it is lost.
	ListIsFresh bool
	// WaveEnded reports whether the wave that disrupts the VM has ended.
	WaveEnded bool
}

// Step is the next action on a VM. The zero value is no action.
type Step struct {
	// Event is the transition to make, or empty if the state does not change.
	Event Event
	// Command is the command to send to the platform, or nil.
	Command *fleet.VMCommand
}

// Next returns the next step of a VM.
func Next(vm fleet.VM, f Facts) Step {
	if f.ListIsFresh && f.Listed == nil && vm.State != fleet.VMStateFailed && vm.State != fleet.VMStateRemoved {
		return Step{Event: EventFail}
	}
	isLive := f.Listed != nil && f.Listed.State == fleet.PlatformVMStateLive
	switch vm.State {
	case fleet.VMStateDraining:
		if f.WaveEnded {
			return Step{Event: EventCancel}
		}
		if f.Released {
			return Step{Event: EventRelease}
		}
	case fleet.VMStateDrained:
		return nextDrained(vm, f)
	case fleet.VMStateRebooting:
		if isLive && f.Listed.LastOperation == vm.OperationID {
			return Step{Event: EventBooted}
		}
		// The platform executes each operation id once, so repeating the command is safe.
		return Step{Command: command(vm)}
	case fleet.VMStateFailed:
		if f.ListIsFresh && isLive {
			return Step{Event: EventRecover}
		}
	}
	return Step{}
}

func nextDrained(vm fleet.VM, f Facts) Step {
	switch vm.Purpose {
	case fleet.VMPurposeMove:
		return Step{Event: EventAttach}
	case fleet.VMPurposeReboot, fleet.VMPurposeReplace, fleet.VMPurposeRollOut:
		// The row changes before the command is sent. In the other order, a cancel between the command
		// and the row would return a VM to service that is about to reboot.
		return Step{Event: EventReboot}
	case fleet.VMPurposeRemove:
		return Step{Event: EventRemove}
	default:
		if f.WaveEnded {
			return Step{Event: EventCancel}
		}
		return Step{}
	}
}

// command returns the platform command for a VM in state rebooting.
func command(vm fleet.VM) *fleet.VMCommand {
	c := &fleet.VMCommand{
		VM: vm.ID, Action: fleet.VMActionReboot, OperationID: vm.OperationID, RowVersion: vm.RowVersion, History: vm.History,
	}
	switch vm.Purpose {
	case fleet.VMPurposeReplace:
		c.Action = fleet.VMActionReplace
	case fleet.VMPurposeRollOut:
		c.Action, c.Version = fleet.VMActionRollOut, vm.TargetVersion
	}
	return c
}

// Apply returns the row of the VM after an event. state is the state that the event leads to; the caller
// has checked that the transition is allowed.
func Apply(vm fleet.VM, event Event, state fleet.VMState, operation fleet.OperationID, now time.Time) fleet.VM {
	vm.State, vm.OperationID, vm.Since = state, operation, now
	vm.Generation++
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

// ReturnsGrant reports whether the event ends the disruption, so that its grant is returned.
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
