package maintenance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/maintenance"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a wave that is blocked by a VM that failed, left its pool or is kept drained, and against
// a VM that counts as maintained although its step was cancelled or never ended.
func TestProgressOfOneVM(t *testing.T) {
	recent := start.Add(-10 * time.Minute)
	old := start.Add(-3 * time.Hour)
	serving, failed := fleet.VMStateServing, fleet.VMStateFailed
	cases := []struct {
		name string
		from fleet.WaveVMState
		at   time.Time
		vm   fleet.VM
		want fleet.WaveVMState
	}{
		{"failed before its turn", fleet.WaveVMStatePending, recent, fleet.VM{Pool: "p", State: failed}, fleet.WaveVMStateSkipped},
		{"moved before its turn", fleet.WaveVMStatePending, recent, fleet.VM{Pool: "q", State: serving}, fleet.WaveVMStateSkipped},
		{"removed", fleet.WaveVMStatePending, recent, fleet.VM{Pool: "p", State: fleet.VMStateRemoved}, fleet.WaveVMStateSkipped},
		{"held by an operator", fleet.WaveVMStatePending, recent, fleet.VM{Pool: "p", State: fleet.VMStateDrained, Purpose: fleet.VMPurposeHold, Since: old}, fleet.WaveVMStateSkipped},
		{"draining for a move", fleet.WaveVMStatePending, recent, fleet.VM{Pool: "p", State: fleet.VMStateDraining}, fleet.WaveVMStatePending},
		{"rebooted", fleet.WaveVMStateStarted, recent, fleet.VM{Pool: "p", State: serving, LastMaintained: start}, fleet.WaveVMStateSoaking},
		{"cancelled by an operator", fleet.WaveVMStateStarted, recent, fleet.VM{Pool: "p", State: serving, LastMaintained: old}, fleet.WaveVMStateSkipped},
		{"step timed out", fleet.WaveVMStateStarted, old, fleet.VM{Pool: "p", State: fleet.VMStateRebooting}, fleet.WaveVMStateFailed},
		{"failed in its soak", fleet.WaveVMStateSoaking, recent, fleet.VM{Pool: "p", State: failed}, fleet.WaveVMStateFailed},
		{"healthy after its soak", fleet.WaveVMStateSoaking, recent, fleet.VM{Pool: "p", State: serving}, fleet.WaveVMStateDone},
		{"failed soon after", fleet.WaveVMStateDone, recent, fleet.VM{Pool: "p", State: failed}, fleet.WaveVMStateFailed},
		{"failed long after", fleet.WaveVMStateDone, old, fleet.VM{Pool: "p", State: failed}, fleet.WaveVMStateDone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := fleet.Wave{State: fleet.WaveStateHalted, Width: 1, Spec: fleet.WaveSpec{Action: fleet.WaveActionReboot}}
			w.VMs = []fleet.WaveVM{{VM: "v", Pool: "p", State: c.from, ChangedAt: c.at, StartedAt: c.at}}
			c.vm.ID = "v"
			d := maintenance.Next(w, maintenance.Facts{VMs: map[fleet.VMID]fleet.VM{"v": c.vm}}, start)
			is.Equal(d.Wave.VMs[0].State, c.want)
			is.Equal(w.VMs[0].State, c.from) // the given row is not modified
		})
	}
}
