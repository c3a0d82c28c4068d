package shard

import "time"

const (
	// pausePerEndpoint and maxHoldPause determine the time from a list with ends to the next renewal, so that it lists
	// several ends. Each call takes processor time, of which a holder of hundreds of endpoints has little to spare
	// at a peak; a holder of few notices ends sooner.
	pausePerEndpoint = 250 * time.Microsecond
	maxHoldPause     = 100 * time.Millisecond
	// overloadedHoldPause is the pause of a holder that cannot keep up: a task that ends there takes two calls, and a list
	// with several ends saves some of them. With the time to the next tick it stays below maxRenewalGap.
	overloadedHoldPause = 180 * time.Millisecond
)

// holdPause returns the time from a list with ends to the next renewal.
func (e *Engine) holdPause(now time.Time) time.Duration {
	if e.starts.isOverloaded(now) {
		return overloadedHoldPause
	}
	return min(maxHoldPause, time.Duration(len(e.workers))*pausePerEndpoint)
}
