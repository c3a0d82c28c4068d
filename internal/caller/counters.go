package caller

import (
	"maps"
	"sync/atomic"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// counters count something of each account. They are made once per account that has shown its secret,
// so that their number is bounded by the configuration.
type counters struct {
	byAccount atomic.Pointer[map[fleet.ClientAccountID]*atomic.Int64]
}

// of returns the counter of an account. The map is replaced as a whole when an account is new.
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
