package holder

import "time"

// StorePace tells how fast the store has answered reads of this entry lately.
type StorePace struct {
	// BegunAt is when the last read was sent, AnsweredAt when a read was last answered and Took how long
	// that one took.
	BegunAt, AnsweredAt time.Time
	Took                time.Duration
	// DueAt is when the read after the answered one was to be sent.
	DueAt time.Time
}

const (
	// shortestAttempt bounds an attempt to write while reads are answered in milliseconds: an answer that
	// takes this long was lost, and a repetition finds out at no risk.
	shortestAttempt = 250 * time.Millisecond
	// attemptReads is how many times as long as a read a write may take, because it waits behind other
	// writes. A shorter bound loads a slow store with repetitions of what it would still carry out.
	attemptReads = 8
	// mostDoublings is from when on transactTimeout holds in any case.
	mostDoublings = 3
	// silentAttempt bounds an attempt while reads are not answered either. Nothing comes of such an attempt,
	// and the first one after the outage has to be soon: a holder gives up seven seconds after its last
	// write, and most outages are little shorter.
	silentAttempt = 400 * time.Millisecond
)

// Overdue reports whether the answer to a read has been outstanding for longer than a slow store takes.
func (p StorePace) Overdue(now time.Time) bool {
	return now.Sub(p.DueAt) > max(intakePatience, 2*p.Took)
}

// timeout returns how long to wait for the answer to a write that is sent now, after a number of attempts
// without an answer. The store may carry out an attempt that was given up, so repetitions get rarer.
func (p StorePace) timeout(now time.Time, attempts int) time.Duration {
	if p.Overdue(now) {
		return silentAttempt
	}
	took := p.Took
	if p.BegunAt.After(p.AnsweredAt) {
		took = max(took, now.Sub(p.BegunAt))
	}
	return min(max(shortestAttempt, attemptReads*took)<<min(attempts, mostDoublings), transactTimeout)
}
