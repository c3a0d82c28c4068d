// Package machine checks transitions of state machines against tables of looplab/fsm.
package machine

import (
	"context"

	"github.com/gravitational/trace"
	"github.com/looplab/fsm"
)

// TransitionError reports an event that the current state does not allow. The state is unchanged.
type TransitionError struct {
	Machine string
	State   string
	Event   string
}

// Error implements error.
func (e *TransitionError) Error() string {
	return e.Machine + " in state " + e.State + " does not allow " + e.Event
}

// Machine applies one transition table to any number of objects, whose states their owners keep. It is not
// safe for concurrent use: the objects share one table, because building a table per object is costly.
type Machine[S, E ~string] struct {
	name  string
	table *fsm.FSM
}

// New returns a machine with a name for errors and a transition table.
func New[S, E ~string](name string, events fsm.Events) *Machine[S, E] {
	return &Machine[S, E]{name: name, table: fsm.NewFSM("", events, fsm.Callbacks{})}
}

// Next returns the state that follows an event. It returns *TransitionError and the same state when
// the state does not allow the event.
func (m *Machine[S, E]) Next(state S, event E) (S, error) {
	m.table.SetState(string(state))
	if err := m.table.Event(context.Background(), string(event)); err != nil {
		return state, trace.Wrap(&TransitionError{Machine: m.name, State: string(state), Event: string(event)})
	}
	return S(m.table.Current()), nil
}
