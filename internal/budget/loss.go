package budget

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// StaleListError reports that the platform's list of VMs is too old to judge unplanned loss. Nothing was
// changed.
type StaleListError struct {
	Age, MaxAge time.Duration
}

// Error implements error.
func (e *StaleListError) Error() string {
	return fmt.Sprintf("list of VMs is %s old and no grant is given beyond %s: try again when the platform answers", e.Age, e.MaxAge)
}

// Lost returns the VMs that are not known to be available: only a VM that a fresh list shows as live is
// known to be. It returns *StaleListError when the list is older than maxAge. The age is the larger of
// the ages by the platform's instant and by the instant of the read, because the clocks may differ.
func Lost(vms []fleet.VM, list fleet.VMList, readAt, now time.Time, maxAge time.Duration) (map[fleet.VMID]bool, error) {
	age := max(now.Sub(list.AsOf), now.Sub(readAt))
	if age > maxAge {
		return nil, trace.Wrap(&StaleListError{Age: age, MaxAge: maxAge})
	}
	live := map[fleet.VMID]bool{}
	for _, vm := range list.VMs {
		live[vm.ID] = vm.State == fleet.PlatformVMStateLive
	}
	lost := map[fleet.VMID]bool{}
	for _, vm := range vms {
		lost[vm.ID] = !live[vm.ID]
	}
	return lost, nil
}
