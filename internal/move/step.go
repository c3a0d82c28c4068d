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
	// ListIsFresh says that the list is younger than its bound and than the VM's state, so that a VM
	// that it does not show is lost.
	ListIsFresh bool
	// HolderGone says that the wave on whose behalf the VM is disrupted has ended.
	HolderGone bool
}

// Step is the next thing to do for a VM.
type Step struct {
	// Event is the transition to make; it is empty when the state stays.
	Event Event
	// Command is what to ask of the platform, if anything.
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
		if f.HolderGone {
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
		// The platform carries an operation id out once, so the command may be repeated.
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
		// The row changes before the platform is asked: a cancel that came between the command and
		// the row would put a VM into service that is about to reboot.
		return Step{Event: EventReboot}
	case fleet.VMPurposeRemove:
		return Step{Event: EventRemove}
	default:
		if f.HolderGone {
			return Step{Event: EventCancel}
		}
		return Step{}
	}
}

// command returns what a rebooting VM needs of the platform.
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

// Apply returns the row of the VM after an event. The caller has checked that the state allows it.
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
