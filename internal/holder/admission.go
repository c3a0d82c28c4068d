package holder

import (
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/follow"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
)

// Limits and times of an intake.
const (
	// maxIntakeBatch bounds the submissions of one transaction.
	maxIntakeBatch = 32
	// maxIntakeEntries bounds the entries of one transaction, as the store does.
	maxIntakeEntries = 100
	// maxIntakeBytes bounds the values of one transaction, well below 1 MB with their encoding.
	maxIntakeBytes = 256 << 10
	// intakeRetryDelay is the pause before another attempt.
	intakeRetryDelay = 60 * time.Millisecond
	// outageTimeout bounds the wait of an unsent submission while the store is unresponsive or refuses the
	// part: the caller does better to retry at another entry than to wait for the end of the outage.
	outageTimeout = 400 * time.Millisecond
	// inDoubtTimeout is the same for a submission that may be stored. The caller may retry at any entry.
	inDoubtTimeout = time.Second
	// slowStoreTimeout applies instead of both while the store answers reads, and so is slow rather than
	// down. It leaves time for one more attempt within a caller's three seconds.
	slowStoreTimeout = 1800 * time.Millisecond
	// probeInterval is the minimum time between probes of a part that the store refuses.
	probeInterval = 200 * time.Millisecond
	// replyMargin is how long before the caller's deadline the outcome is given.
	replyMargin = 150 * time.Millisecond
)

// admission decides about the submissions of one part: which go into the next transaction, and when a
// caller gets a reply although the store does not answer. It does no I/O.
type admission struct {
	// pending have no outcome yet, in the order of arrival.
	pending []*Submission
	// attempt is the batch of the transaction in flight; it may contain submissions whose callers
	// have already received IntakeUnknown.
	attempt []*Submission
	retryAt time.Time
	// failingSince is when the first attempt was sent since the store last processed one; zero when none
	// was.
	failingSince time.Time
	// refusingSince is when the store began to refuse this part; zero after an attempt that ended otherwise.
	refusingSince time.Time
	// unansweredAttempts counts the attempts without an answer since the store last processed one.
	unansweredAttempts int
	latency            follow.Latency
}

// unresponsive reports whether the store neither processes writes nor answers reads.
func (a *admission) unresponsive(now time.Time) bool {
	return !a.failingSince.IsZero() && a.latency.Overdue(now)
}

// refusing reports whether the store is known to refuse this part. Now and then it returns false, to let
// a submission through as a probe.
func (a *admission) refusing(now time.Time) bool {
	isProbe := a.attempt == nil && len(a.pending) == 0 && !now.Before(a.retryAt.Add(probeInterval))
	return !a.refusingSince.IsZero() && now.Sub(a.refusingSince) >= outageTimeout && !isProbe
}

// add queues a submission, or refuses it at once while the store is known to be unresponsive or to refuse
// this part.
func (a *admission) add(now time.Time, s *Submission) {
	s.arrivedAt = now
	if a.refusing(now) || a.unresponsive(now) && now.Sub(a.failingSince) >= outageTimeout {
		s.Reply(IntakeRefused)
		return
	}
	a.pending = append(a.pending, s)
}

// next returns the submissions of the next transaction and how long to wait for its answer, or nothing
// when none is to be sent now.
func (a *admission) next(now time.Time) ([]*Submission, time.Duration) {
	if a.attempt != nil || len(a.pending) == 0 || now.Before(a.retryAt) {
		return nil, 0
	}
	size, entries := 0, 0
	for n, s := range a.pending {
		size, entries = size+s.size(), entries+s.entries()
		if n == maxIntakeBatch || n > 0 && (size > maxIntakeBytes || entries > maxIntakeEntries) {
			break
		}
		if a.contradicts(s) {
			continue
		}
		s.inFlight = true
		a.attempt = append(a.attempt, s)
	}
	if a.failingSince.IsZero() {
		a.failingSince = now
	}
	return a.attempt, a.latency.Timeout(now, a.unansweredAttempts)
}

// contradicts reports whether the next transaction withdraws the job of a submission, or the other way round: only one of
// the two may be stored.
func (a *admission) contradicts(s *Submission) bool {
	return slices.ContainsFunc(a.attempt, func(o *Submission) bool {
		return (o.Withdraw == "") != (s.Withdraw == "") && o.id() == s.id()
	})
}

// applied handles the success of the attempt in flight and returns the submissions that it stored.
func (a *admission) applied() []*Submission {
	stored := a.attempt
	a.answered()
	a.complete(stored, func(*Submission) IntakeOutcome { return IntakeStored })
	return stored
}

// conflicted handles a conflict of the attempt in flight with existing rows and returns the submissions
// whose rows they are. Those without an existing row were not stored by this attempt and are sent again.
func (a *admission) conflicted(rows []rowstore.Row) []*Submission {
	exists := map[rowstore.Key]rowstore.Row{}
	for _, row := range rows {
		if !row.Deleted && row.Version > 0 {
			exists[row.Key] = row
		}
	}
	var decided, stored []*Submission
	outcomes := map[*Submission]IntakeOutcome{}
	for _, s := range a.attempt {
		s.inFlight = false
		row, ok := exists[s.decidingKey()]
		if !ok {
			continue
		}
		decided, outcomes[s] = append(decided, s), s.outcome(row)
		if outcomes[s] == IntakeStored {
			stored = append(stored, s)
		}
	}
	a.answered()
	a.complete(decided, func(s *Submission) IntakeOutcome { return outcomes[s] })
	return stored
}

// refused handles an answer that nothing was stored, because the store is overloaded or because it refuses
// the part.
func (a *admission) refused(now time.Time, overloaded bool) {
	since := a.refusingSince
	a.fail(now, false)
	switch {
	case overloaded:
	case since.IsZero():
		a.refusingSince = now
	default:
		a.refusingSince = since
	}
}

// unanswered handles an attempt without an answer, which may have been, or may yet be, applied.
func (a *admission) unanswered(now time.Time) {
	a.unansweredAttempts++
	a.fail(now, true)
}

func (a *admission) fail(now time.Time, inDoubt bool) {
	for _, s := range a.attempt {
		s.inFlight, s.inDoubt = false, s.inDoubt || inDoubt
	}
	a.attempt, a.refusingSince, a.retryAt = nil, time.Time{}, now.Add(intakeRetryDelay)
}

func (a *admission) answered() {
	a.attempt, a.failingSince, a.refusingSince, a.unansweredAttempts = nil, time.Time{}, time.Time{}, 0
}

// complete removes submissions from the pending ones and replies to their callers.
func (a *admission) complete(decided []*Submission, outcome func(*Submission) IntakeOutcome) {
	a.pending = slices.DeleteFunc(a.pending, func(s *Submission) bool {
		done := slices.Contains(decided, s)
		if done {
			s.Reply(outcome(s))
		}
		return done
	})
}

// expiry returns the latest time at which a submission is given an outcome.
func (a *admission) expiry(now time.Time, s *Submission) time.Time {
	timeout := slowStoreTimeout
	if a.unresponsive(now) || !a.refusingSince.IsZero() {
		timeout = outageTimeout
		if s.inFlight || s.inDoubt {
			timeout = inDoubtTimeout
		}
	}
	at := s.arrivedAt.Add(timeout)
	if latest := s.Deadline.Add(-replyMargin); at.After(latest) {
		return latest
	}
	return at
}

// expire replies to the callers of expired submissions.
func (a *admission) expire(now time.Time) {
	a.pending = slices.DeleteFunc(a.pending, func(s *Submission) bool {
		if now.Before(a.expiry(now, s)) {
			return false
		}
		if s.inFlight || s.inDoubt {
			s.Reply(IntakeUnknown)
		} else {
			s.Reply(IntakeRefused)
		}
		return true
	})
}

// wakeAt returns when the next decision is due, or false when no submission is pending.
func (a *admission) wakeAt(now time.Time) (time.Time, bool) {
	if len(a.pending) == 0 {
		return time.Time{}, false
	}
	// The latency of the store is checked again after a while.
	at := now.Add(outageTimeout / 4)
	for _, s := range a.pending {
		if e := a.expiry(now, s); e.Before(at) {
			at = e
		}
	}
	if a.attempt == nil && a.retryAt.Before(at) {
		at = a.retryAt
	}
	return at, true
}
