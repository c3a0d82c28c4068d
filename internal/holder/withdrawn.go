package holder

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// withdrawn returns the jobs that were withdrawn so long ago that no submission of them is still open.
func (h *heldDuty) withdrawn(now time.Time, retention time.Duration) []fleet.JobID {
	var list []fleet.JobID
	for id, at := range h.withdrawnAt {
		if now.Sub(at) > retention && len(list) < maxWithdrawals {
			list = append(list, id)
		}
	}
	return list
}

// maxWithdrawals bounds the withdrawn jobs whose rows are removed at a time.
const maxWithdrawals = 32
