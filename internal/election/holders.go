package election

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Holders returns the number of leases that each entry holds.
func (s *State) Holders(now time.Time) map[fleet.EntryID]int { return s.held(now) }
