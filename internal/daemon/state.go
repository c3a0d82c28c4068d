package daemon

import (
	"github.com/looplab/fsm"

	"github.com/mimosawharf/mimosawharf/internal/machine"
)

// State is a state of the daemon's life cycle.
type State string

// States of the daemon.
const (
	StateStarting    State = "starting"
	StateReady       State = "ready"
	StateSettling    State = "settling"
	StateDraining    State = "draining"
	StateHandingOver State = "handing-over"
	StateStopped     State = "stopped"
)

// Event triggers a transition between states.
type Event string

// Events of the daemon.
const (
	EventLoad       Event = "load"
	EventStop       Event = "stop"
	EventSettled    Event = "settled"
	EventDrained    Event = "drained"
	EventHandedOver Event = "handed-over"
)

// Transitions returns the transition table of the daemon.
func Transitions() fsm.Events {
	return fsm.Events{
		{Name: string(EventLoad), Src: []string{string(StateStarting)}, Dst: string(StateReady)},
		{Name: string(EventStop), Src: []string{string(StateReady)}, Dst: string(StateSettling)},
		{Name: string(EventSettled), Src: []string{string(StateSettling)}, Dst: string(StateDraining)},
		{Name: string(EventDrained), Src: []string{string(StateDraining)}, Dst: string(StateHandingOver)},
		{Name: string(EventHandedOver), Src: []string{string(StateHandingOver)}, Dst: string(StateStopped)},
		{Name: string(EventStop), Src: []string{string(StateStarting)}, Dst: string(StateStopped)},
	}
}

// NewMachine returns the state machine of the daemon.
func NewMachine() *machine.Machine[State, Event] {
	return machine.New[State, Event]("daemon", Transitions())
}
