// Package move decides the life cycle of a VM: drain, release, attach and reboot.
package move

import (
	"github.com/looplab/fsm"

	"github.com/mimosawharf/mimosawharf/internal/machine"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Event is a transition between two states of a VM.
type Event string

// Events of a VM.
const (
	EventDrain   Event = "drain"
	EventRelease Event = "release"
	EventAttach  Event = "attach"
	EventReboot  Event = "reboot"
	EventBooted  Event = "booted"
	EventCancel  Event = "cancel"
	EventFail    Event = "fail"
	EventRecover Event = "recover"
	EventRemove  Event = "remove"
)

// Transitions returns the transition table of a VM.
func Transitions() fsm.Events {
	s := func(states ...fleet.VMState) []string {
		var list []string
		for _, v := range states {
			list = append(list, string(v))
		}
		return list
	}
	return fsm.Events{
		{Name: string(EventDrain), Src: s(fleet.VMStateServing), Dst: string(fleet.VMStateDraining)},
		{Name: string(EventRelease), Src: s(fleet.VMStateDraining), Dst: string(fleet.VMStateDrained)},
		{Name: string(EventAttach), Src: s(fleet.VMStateDrained), Dst: string(fleet.VMStateServing)},
		{Name: string(EventReboot), Src: s(fleet.VMStateDrained), Dst: string(fleet.VMStateRebooting)},
		{Name: string(EventBooted), Src: s(fleet.VMStateRebooting), Dst: string(fleet.VMStateServing)},
		{Name: string(EventCancel), Src: s(fleet.VMStateDraining, fleet.VMStateDrained), Dst: string(fleet.VMStateServing)},
		{Name: string(EventFail), Src: s(fleet.VMStateServing, fleet.VMStateDraining, fleet.VMStateDrained, fleet.VMStateRebooting), Dst: string(fleet.VMStateFailed)},
		{Name: string(EventRecover), Src: s(fleet.VMStateFailed), Dst: string(fleet.VMStateServing)},
		{Name: string(EventRemove), Src: s(fleet.VMStateDrained, fleet.VMStateFailed), Dst: string(fleet.VMStateRemoved)},
	}
}

// NewMachine returns the state machine of VMs.
func NewMachine() *machine.Machine[fleet.VMState, Event] {
	return machine.New[fleet.VMState, Event]("VM", Transitions())
}
