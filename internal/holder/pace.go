package holder

import "time"

// StorePace tells how fast the store has answered reads of this entry lately.
type StorePace struct {
	// BegunAt is when the last read was sent, AnsweredAt when a read was last answered and Took how long
	// that one took.
	BegunAt, AnsweredAt time.Time
	Took                time.Duration
	// DueAt is when the read after the answered one was due.
	DueAt time.Time
}

const (
	// minAttemptTimeout bounds an attempt to write while reads are answered in milliseconds: an answer that
	// takes this long was lost, and it is safe to send the write again.
	minAttemptTimeout = 250 * time.Millisecond
	// writeTimeoutFactor is how many times as long as a read a write may take, because it queues behind other
	// writes. A shorter timeout loads a slow store with retries of writes that it would still carry out.
	writeTimeoutFactor = 8
	// maxDoublings is after how many doublings transactTimeout applies in any case.
	maxDoublings = 3
	// outageAttemptTimeout bounds an attempt while reads are not answered either. Such an attempt achieves
	// nothing, and the first one after the outage has to be soon: a holder gives up seven seconds after its
	// last write, and most outages are little shorter.
	outageAttemptTimeout = 400 * time.Millisecond
)

// Overdue reports whether the answer to a read has been outstanding for longer than a slow store takes.
func (p StorePace) Overdue(now time.Time) bool {
	return now.Sub(p.DueAt) > max(outageTimeout, 2*p.Took)
}

// timeout returns how long to wait for the answer to a write that is sent now, after a number of attempts
// without an answer. The store may carry out an attempt that timed out, so the timeout backs off.
func (p StorePace) timeout(now time.Time, attempts int) time.Duration {
	if p.Overdue(now) {
		return outageAttemptTimeout
	}
	took := p.Took
	if p.BegunAt.After(p.AnsweredAt) {
		took = max(took, now.Sub(p.BegunAt))
	}
	return min(max(minAttemptTimeout, writeTimeoutFactor*took)<<min(attempts, maxDoublings), transactTimeout)
}
