package move_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/move"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a release while an entry may still send work, and against a release that never happens.
func TestReleaseNeedsProofOfEveryEntry(t *testing.T) {
	const hold = 10 * time.Second
	entry := fleet.Entry{Duration: 6 * time.Second, AcknowledgedRevision: 4}
	in := func(zone fleet.ZoneID, acknowledged fleet.TableRevision) fleet.Entry {
		e := entry
		e.Zone, e.AcknowledgedRevision = zone, acknowledged
		return e
	}
	cases := map[string]struct {
		facts    []move.EntryFacts
		released bool
	}{
		"no entry known":                  {nil, false},
		"own zone acknowledged":           {[]move.EntryFacts{{Entry: in("a", 5)}}, true},
		"own zone, lease long expired":    {[]move.EntryFacts{{Entry: in("a", 4), UnchangedFor: time.Hour}}, false},
		"own zone, VM gone from the list": {[]move.EntryFacts{{Entry: in("a", 4), IsGone: true}}, true},
		"other zone within the hold time": {[]move.EntryFacts{{Entry: in("b", 4), UnchangedFor: 16 * time.Second}}, false},
		"other zone after the hold time":  {[]move.EntryFacts{{Entry: in("b", 4), UnchangedFor: 17 * time.Second}}, true},
		"one of two has not acknowledged": {[]move.EntryFacts{{Entry: in("a", 5)}, {Entry: in("b", 4)}}, false},
		"other zone alive, lags behind":   {[]move.EntryFacts{{Entry: in("b", 4)}}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			vm := fleet.VM{Zone: "a", RowVersion: 5}
			is.New(t).Equal(move.IsReleased(vm, time.Hour, c.facts, hold), c.released)
		})
	}
}

// Guards against a release while work that an entry sent just before the drain still runs: the entry reads
// the table but cannot renew its row.
func TestSilenceCountsFromTheDrain(t *testing.T) {
	is := is.New(t)
	vm := fleet.VM{Zone: "a", RowVersion: 5}
	silent := []move.EntryFacts{{Entry: fleet.Entry{Zone: "b", Duration: 6 * time.Second}, UnchangedFor: time.Hour}}
	is.True(!move.IsReleased(vm, 16*time.Second, silent, 10*time.Second))
	is.True(move.IsReleased(vm, 17*time.Second, silent, 10*time.Second))
}

// Guards against a platform command before the row records it, and against recovery on a stale list.
func TestNextStep(t *testing.T) {
	live := &fleet.PlatformVM{State: fleet.PlatformVMStateLive, LastOperation: "op-1"}
	cases := map[string]struct {
		vm      fleet.VM
		facts   move.Facts
		event   move.Event
		command bool
	}{
		"drained reboot changes the row only": {fleet.VM{State: fleet.VMStateDrained, Purpose: fleet.VMPurposeReboot}, move.Facts{Listed: live}, move.EventReboot, false},
		"rebooting sends the command":         {fleet.VM{State: fleet.VMStateRebooting, OperationID: "op-2"}, move.Facts{Listed: live}, "", true},
		"rebooting ends with its operation":   {fleet.VM{State: fleet.VMStateRebooting, OperationID: "op-1"}, move.Facts{Listed: live}, move.EventBooted, false},
		"unlisted VM fails":                   {fleet.VM{State: fleet.VMStateServing}, move.Facts{ListIsFresh: true}, move.EventFail, false},
		"unlisted on a stale list stays":      {fleet.VM{State: fleet.VMStateServing}, move.Facts{}, "", false},
		"failed VM is listed again":           {fleet.VM{State: fleet.VMStateFailed}, move.Facts{ListIsFresh: true, Listed: live}, move.EventRecover, false},
		"failed VM on a stale list stays":     {fleet.VM{State: fleet.VMStateFailed}, move.Facts{Listed: live}, "", false},
		"hold of an ended wave is returned":   {fleet.VM{State: fleet.VMStateDrained, Purpose: fleet.VMPurposeHold}, move.Facts{Listed: live, WaveEnded: true}, move.EventCancel, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			step := move.Next(c.vm, c.facts)
			is.Equal(step.Event, c.event)
			is.Equal(step.Command != nil, c.command)
		})
	}
}
