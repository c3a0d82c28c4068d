package caller

import (
	"maps"
	"sync/atomic"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// counters holds a counter for each account. A counter is created when its account first authenticates, so
// that the number of counters is bounded by the configuration.
type counters struct {
	byAccount atomic.Pointer[map[fleet.ClientAccountID]*atomic.Int64]
}

// of returns the counter of an account. For a new account it replaces the map by a copy.
func (c *counters) of(account fleet.ClientAccountID) *atomic.Int64 {
	for {
		old := c.byAccount.Load()
		next := map[fleet.ClientAccountID]*atomic.Int64{}
		if old != nil {
			if counter := (*old)[account]; counter != nil {
				return counter
			}
			maps.Copy(next, *old)
		}
		next[account] = &atomic.Int64{}
		if c.byAccount.CompareAndSwap(old, &next) {
			return next[account]
		}
	}
}
