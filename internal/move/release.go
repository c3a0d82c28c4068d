package move

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// EntryFacts are what the release of a VM depends on for one entry.
type EntryFacts struct {
	Entry fleet.Entry
	// UnchangedFor is how long the entry's row has not changed, by the driver's clock.
	UnchangedFor time.Duration
	// IsGone says that a fresh list of VMs no longer shows the entry's own VM.
	IsGone bool
}

// IsReleased reports whether no entry sends work of the VM's assignment any more. An entry of the VM's
// own zone must acknowledge or be gone, because it serves on while its zone is cut off. An entry of
// another zone stops by itself when its view is older than half the hold time, so its silence is enough
// once its lease has been expired for the whole hold time.
//
// SeenFor is how long the driver has known the row of the VM. The silence of an entry counts from then on
// only: an entry that reads the table but cannot renew its row may have sent work just before the drain.
func IsReleased(vm fleet.VM, seenFor time.Duration, entries []EntryFacts, holdTime time.Duration) bool {
	for _, e := range entries {
		// Revisions start again below those of the backup when the table is restored.
		acknowledged := e.Entry.History == vm.History && e.Entry.AcknowledgedRevision >= fleet.TableRevision(vm.RowVersion)
		silent := e.Entry.Zone != vm.Zone && min(e.UnchangedFor, seenFor) > e.Entry.Duration+holdTime
		if !acknowledged && !e.IsGone && !silent {
			return false
		}
	}
	return len(entries) > 0
}
