package move

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// EntryFacts holds what is known of one entry when the release of a VM is decided.
type EntryFacts struct {
	Entry fleet.Entry
	// UnchangedFor is the time since the entry's row last changed, by the driver's clock.
	UnchangedFor time.Duration
	// IsGone reports whether a fresh list of VMs no longer shows the VM that the entry runs on.
	IsGone bool
}

// IsReleased reports whether no entry sends work of the VM's assignment any more. An entry in the VM's
// own zone must acknowledge the drain or be gone, because it keeps serving while its zone is partitioned.
// An entry in another zone stops by itself when its view is older than half the hold time, so no
// acknowledgement is needed once its lease has been expired for the whole hold time.
//
// seenFor is how long the driver has known the row of the VM. The time without a renewal counts only from
// then on: an entry that reads the table but cannot renew its row may have sent work just before the drain.
func IsReleased(vm fleet.VM, seenFor time.Duration, entries []EntryFacts, holdTime time.Duration) bool {
	for _, e := range entries {
		// After a restore the table's revisions start again below those of the backup.
		acknowledged := e.Entry.History == vm.History && e.Entry.AcknowledgedRevision >= fleet.TableRevision(vm.RowVersion)
		silent := e.Entry.Zone != vm.Zone && min(e.UnchangedFor, seenFor) > e.Entry.Duration+holdTime
		if !acknowledged && !e.IsGone && !silent {
			return false
		}
	}
	return len(entries) > 0
}
