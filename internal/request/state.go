package request

import (
	"github.com/looplab/fsm"

	"github.com/mimosawharf/mimosawharf/internal/machine"
)

// State is the state of a request in its life cycle.
type State string

// States of a request.
const (
	StateReceived State = "received"
	StateQueued   State = "queued"
	StateRunning  State = "running"
	StateAnswered State = "answered"
	StateNotRun   State = "not-run"
	StateUnknown  State = "unknown"
)

// Event moves a request from one state to another.
type Event string

// Events of a request.
const (
	EventQueue   Event = "queue"
	EventSend    Event = "send"
	EventRequeue Event = "requeue"
	EventAnswer  Event = "answer"
	EventRefuse  Event = "refuse"
	EventLose    Event = "lose"
)

// Transitions returns the transition table of a request.
func Transitions() fsm.Events {
	return fsm.Events{
		{Name: string(EventQueue), Src: []string{string(StateReceived)}, Dst: string(StateQueued)},
		{Name: string(EventSend), Src: []string{string(StateQueued)}, Dst: string(StateRunning)},
		{Name: string(EventRequeue), Src: []string{string(StateRunning)}, Dst: string(StateQueued)},
		{Name: string(EventAnswer), Src: []string{string(StateRunning), string(StateUnknown)}, Dst: string(StateAnswered)},
		{Name: string(EventRefuse), Src: []string{string(StateReceived), string(StateQueued), string(StateRunning)}, Dst: string(StateNotRun)},
		{Name: string(EventLose), Src: []string{string(StateQueued), string(StateRunning)}, Dst: string(StateUnknown)},
	}
}

// NewMachine returns the state machine of requests.
func NewMachine() *machine.Machine[State, Event] {
	return machine.New[State, Event]("request", Transitions())
}
