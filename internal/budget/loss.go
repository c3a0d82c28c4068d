package budget

import (
	"fmt"
	"iter"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// StaleListError reports that the platform's list of VMs is too old to tell which VMs are available.
// Nothing was changed.
type StaleListError struct {
	Age, MaxAge time.Duration
}

// Error implements error.
func (e *StaleListError) Error() string {
	return fmt.Sprintf("list of VMs is %s old and no grant is given beyond %s: try again when the platform answers", e.Age, e.MaxAge)
}

// Unavailable returns the VMs that are not known to be available. A VM is available if a fresh list shows
// it as live, it is not leaving, and no entry reports its endpoint dead. Unavailable returns
// *StaleListError if the list is older than maxAge. The age is measured from the platform's timestamp and
// from the time of the read, whichever is older, because the clocks may differ.
func Unavailable(vms iter.Seq[fleet.VM], view *fleet.View, now time.Time, maxAge time.Duration) (map[fleet.VMID]bool, error) {
	list := view.List
	age := max(now.Sub(list.AsOf), now.Sub(view.ListReadAt))
	if age > maxAge {
		return nil, trace.Wrap(&StaleListError{Age: age, MaxAge: maxAge})
	}
	live := map[fleet.VMID]bool{}
	for _, vm := range list.VMs {
		live[vm.ID] = vm.State == fleet.PlatformVMStateLive
	}
	unavailable := map[fleet.VMID]bool{}
	for vm := range vms {
		unavailable[vm.ID] = !live[vm.ID] || view.Leaving[vm.ID]
	}
	for _, entry := range view.Entries {
		for _, id := range entry.DeadEndpoints {
			unavailable[id] = true
		}
	}
	return unavailable, nil
}
