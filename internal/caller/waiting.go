package caller

import (
	"maps"
	"sync/atomic"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// waiting counts the requests of each account that wait. Counters are made once per account that has
// shown its secret, so that their number is bounded by the configuration.
type waiting struct {
	counters atomic.Pointer[map[fleet.ClientAccountID]*atomic.Int64]
}

// of returns the counter of an account. The map is replaced as a whole when an account is new.
func (w *waiting) of(account fleet.ClientAccountID) *atomic.Int64 {
	for {
		old := w.counters.Load()
		next := map[fleet.ClientAccountID]*atomic.Int64{}
		if old != nil {
			if counter := (*old)[account]; counter != nil {
				return counter
			}
			maps.Copy(next, *old)
		}
		next[account] = &atomic.Int64{}
		if w.counters.CompareAndSwap(old, &next) {
			return next[account]
		}
	}
}
