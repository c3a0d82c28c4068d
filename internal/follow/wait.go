package follow

import "time"

const (
	// minWait and maxWait bound the wait for a change: each read is charged, and a store may not hold one for long.
	minWait = 500 * time.Millisecond
	maxWait = 10 * time.Second
	// reconnectTime is the time from a failed read to the answer of the next one: the longest pause, a new connection
	// and the answer.
	reconnectTime = maxFollowRetry + 200*time.Millisecond
)

// MaxWait returns how long a read may wait for changes, so that changes are followed again within the given time after
// the store's return. A read that the store has swallowed looks like one that waits: it is given up when the wait and
// the time without progress that fails a call are over, and only the next read has an answer.
func MaxWait(recovery, stall time.Duration) time.Duration {
	return min(max(minWait, recovery-stall-reconnectTime), maxWait)
}
