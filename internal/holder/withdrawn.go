package holder

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// withdrawn returns the jobs that were withdrawn so long ago that no submission of them is still open.
func (h *heldDuty) withdrawn(now time.Time, retention time.Duration) []fleet.JobID {
	var list []fleet.JobID
	for id := range h.cancelled {
		if h.jobs[id] != nil {
			delete(h.withdrawnAt, id)
			continue
		}
		if h.withdrawnAt[id].IsZero() {
			h.withdrawnAt[id] = now
		}
		if now.Sub(h.withdrawnAt[id]) > retention && len(list) < maxWithdrawals {
			list = append(list, id)
		}
	}
	for id := range h.withdrawnAt {
		if !h.cancelled[id] {
			delete(h.withdrawnAt, id)
		}
	}
	return list
}

// maxWithdrawals bounds the withdrawn jobs whose rows are removed at a time.
const maxWithdrawals = 32
