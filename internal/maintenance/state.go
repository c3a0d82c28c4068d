// Package maintenance decides the steps of maintenance waves. The state of a wave is kept in its row only,
// so every entry makes the same decision from the same row.
package maintenance

import (
	"github.com/looplab/fsm"

	"github.com/mimosawharf/mimosawharf/internal/machine"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Event is a transition between two states of a wave.
type Event string

// Events of a wave.
const (
	EventStart      Event = "start"
	EventWait       Event = "wait"
	EventProceed    Event = "proceed"
	EventHalt       Event = "halt"
	EventResume     Event = "resume"
	EventRollBack   Event = "roll-back"
	EventRolledBack Event = "rolled-back"
	EventFinish     Event = "finish"
	EventCancel     Event = "cancel"
)

// Transitions returns the transition table of a wave.
func Transitions() fsm.Events {
	planned, running, waiting := string(fleet.WaveStatePlanned), string(fleet.WaveStateRunning), string(fleet.WaveStateWaiting)
	halted, rollingBack := string(fleet.WaveStateHalted), string(fleet.WaveStateRollingBack)
	return fsm.Events{
		{Name: string(EventStart), Src: []string{planned}, Dst: running},
		{Name: string(EventWait), Src: []string{running}, Dst: waiting},
		{Name: string(EventProceed), Src: []string{waiting}, Dst: running},
		{Name: string(EventHalt), Src: []string{running, waiting}, Dst: halted},
		{Name: string(EventResume), Src: []string{halted}, Dst: running},
		{Name: string(EventRollBack), Src: []string{halted}, Dst: rollingBack},
		{Name: string(EventRolledBack), Src: []string{rollingBack}, Dst: string(fleet.WaveStateRolledBack)},
		{Name: string(EventFinish), Src: []string{running}, Dst: string(fleet.WaveStateFinished)},
		{Name: string(EventCancel), Src: []string{planned, running, waiting, halted}, Dst: string(fleet.WaveStateCancelled)},
	}
}

// NewMachine returns the state machine of waves.
func NewMachine() *machine.Machine[fleet.WaveState, Event] {
	return machine.New[fleet.WaveState, Event]("wave", Transitions())
}
