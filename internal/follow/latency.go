package follow

import "time"

// Latency describes how fast the store recently answered reads of this entry.
type Latency struct {
	// SentAt is when the last read was sent, AnsweredAt when a read was last answered and Latency how long
	// that one took.
	SentAt, AnsweredAt time.Time
	Latency            time.Duration
	// DueAt is when the read after the answered one was due.
	DueAt time.Time
}

const (
	// MaxAttempt bounds one attempt to write. A transaction may queue behind others for a second.
	MaxAttempt = 1500 * time.Millisecond
	// overdueAfter is the delay of an answer from which the store counts as unresponsive rather than slow.
	overdueAfter = 400 * time.Millisecond
	// minAttemptTimeout bounds an attempt to write while reads are answered in milliseconds: an answer that
	// takes this long was lost, and it is safe to send the write again.
	minAttemptTimeout = 250 * time.Millisecond
	// writeTimeoutFactor is how many times as long as a read a write may take, because it queues behind other
	// writes. A shorter timeout loads a slow store with retries of writes that it would still apply.
	writeTimeoutFactor = 8
	// maxDoublings is the number of doublings after which MaxAttempt applies in any case.
	maxDoublings = 3
	// outageAttemptTimeout bounds an attempt while reads are not answered either. Such an attempt achieves
	// nothing, and the first one after the outage has to be soon: a holder drops its lease seven seconds
	// after its last write, and most outages are little shorter.
	outageAttemptTimeout = 400 * time.Millisecond
)

// Overdue reports whether the answer to a read has been outstanding for longer than a slow store takes.
func (l Latency) Overdue(now time.Time) bool {
	return now.Sub(l.DueAt) > max(overdueAfter, 2*l.Latency)
}

// Timeout returns how long to wait for the answer to a write that is sent now, after a number of attempts
// without an answer. The store may apply an attempt that timed out, so the timeout backs off.
func (l Latency) Timeout(now time.Time, attempts int) time.Duration {
	if l.Overdue(now) {
		return outageAttemptTimeout
	}
	took := l.Latency
	if l.SentAt.After(l.AnsweredAt) {
		took = max(took, now.Sub(l.SentAt))
	}
	return min(max(minAttemptTimeout, writeTimeoutFactor*took)<<min(attempts, maxDoublings), MaxAttempt)
}

// minLinkRate is half of what the slowest link of an entry carries in a second, in bytes: other calls share it.
const minLinkRate = 128 << 10

// TransferTime returns how long a call may take for its size alone, in addition to the time for its answer.
func TransferTime(bytes int) time.Duration {
	const encodedPercent = 133 // Values are sent in base64.
	return time.Duration(bytes) * encodedPercent / 100 * time.Second / minLinkRate
}
