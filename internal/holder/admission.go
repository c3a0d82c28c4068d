package holder

import (
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/rowstore"
)

// Bounds on what callers wait for.
const (
	// intakeBatch bounds the submissions of one transaction.
	intakeBatch = 32
	// intakeBytes bounds the size of one transaction, well below 1 MB with its encoding.
	intakeBytes = 256 << 10
	// intakeRetry is the pause before another attempt.
	intakeRetry = 60 * time.Millisecond
	// intakePatience bounds the wait of a submission that was not sent while the store answers nothing:
	// the caller is better off asking another entry than waiting for an outage to end.
	intakePatience = 400 * time.Millisecond
	// doubtPatience is the same for a submission that may be stored. The caller may repeat it anywhere.
	doubtPatience = time.Second
	// slowPatience holds instead of both while the store answers reads, so that it is slow rather than
	// away. A caller's three seconds leave time for one more try.
	slowPatience = 1800 * time.Millisecond
	// probePause is the least time between attempts that find out whether a part is still refused.
	probePause = 200 * time.Millisecond
	// intakeMargin is how long before the caller's deadline the outcome is given.
	intakeMargin = 150 * time.Millisecond
)

// admission decides about the submissions of one part: which go into the next transaction, and when a
// caller is told that the store does not answer. It makes no calls.
type admission struct {
	// pending have no outcome yet, in the order of arrival.
	pending []*Submission
	// attempt is the transaction that has no answer yet; it may contain submissions whose callers were
	// told that the outcome is unknown.
	attempt []*Submission
	retryAt time.Time
	// failingSince is when the first attempt was sent that the store has not carried out; zero after one
	// that it has.
	failingSince time.Time
	// closedSince is when the store began to refuse this part; zero after an attempt that ended otherwise.
	closedSince time.Time
	// unansweredAttempts counts the attempts without an answer since the last one with one.
	unansweredAttempts int
	pace               StorePace
}

// silent reports whether the store carries out no writes and answers no reads.
func (a *admission) silent(now time.Time) bool {
	return !a.failingSince.IsZero() && a.pace.Overdue(now)
}

// closed reports whether the store is known to refuse this part. From time to time a submission is let
// through to find out whether it still does.
func (a *admission) closed(now time.Time) bool {
	isProbe := a.attempt == nil && len(a.pending) == 0 && !now.Before(a.retryAt.Add(probePause))
	return !a.closedSince.IsZero() && now.Sub(a.closedSince) >= intakePatience && !isProbe
}

// add takes a submission, or refuses it at once while the store is known to be silent or to refuse this part.
func (a *admission) add(now time.Time, s *Submission) {
	s.arrivedAt = now
	if a.closed(now) || a.silent(now) && now.Sub(a.failingSince) >= intakePatience {
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
	size := 0
	for n, s := range a.pending {
		size += s.size()
		if n == intakeBatch || n > 0 && size > intakeBytes {
			break
		}
		s.open = true
		a.attempt = append(a.attempt, s)
	}
	if a.failingSince.IsZero() {
		a.failingSince = now
	}
	return a.attempt, a.pace.timeout(now, a.unansweredAttempts)
}

// applied takes the success of the open attempt and returns the submissions that it stored.
func (a *admission) applied() []*Submission {
	stored := a.attempt
	a.answered()
	return a.settle(stored)
}

// conflicted takes the rows that existed before the open attempt and returns the submissions that they
// belong to. The others were not stored by this attempt and are sent again.
func (a *admission) conflicted(rows []rowstore.Row) []*Submission {
	exists := map[rowstore.Key]bool{}
	for _, row := range rows {
		if !row.Deleted && row.Version > 0 {
			exists[row.Key] = true
		}
	}
	var stored []*Submission
	for _, s := range a.attempt {
		s.open = false
		if exists[s.row().Key] {
			stored = append(stored, s)
		}
	}
	a.answered()
	return a.settle(stored)
}

// refused takes an answer by which nothing was stored, because the store is overloaded or because it refuses
// the part.
func (a *admission) refused(now time.Time, isOverloaded bool) {
	since := a.closedSince
	a.fail(now, false)
	switch {
	case isOverloaded:
	case since.IsZero():
		a.closedSince = now
	default:
		a.closedSince = since
	}
}

// unanswered takes an attempt that may have been, or may yet be, carried out.
func (a *admission) unanswered(now time.Time) {
	a.unansweredAttempts++
	a.fail(now, true)
}

func (a *admission) fail(now time.Time, doubtful bool) {
	for _, s := range a.attempt {
		s.open, s.doubtful = false, s.doubtful || doubtful
	}
	a.attempt, a.closedSince, a.retryAt = nil, time.Time{}, now.Add(intakeRetry)
}

func (a *admission) answered() {
	a.attempt, a.failingSince, a.closedSince, a.unansweredAttempts = nil, time.Time{}, time.Time{}, 0
}

// settle takes stored submissions from the pending ones and replies to their callers.
func (a *admission) settle(stored []*Submission) []*Submission {
	a.pending = slices.DeleteFunc(a.pending, func(s *Submission) bool {
		done := slices.Contains(stored, s)
		if done {
			s.Reply(IntakeStored)
		}
		return done
	})
	return stored
}

// expiry returns when a submission is given an outcome at the latest.
func (a *admission) expiry(now time.Time, s *Submission) time.Time {
	patience := slowPatience
	if a.silent(now) || !a.closedSince.IsZero() {
		patience = intakePatience
		if s.open || s.doubtful {
			patience = doubtPatience
		}
	}
	at := s.arrivedAt.Add(patience)
	if latest := s.Deadline.Add(-intakeMargin); at.After(latest) {
		return latest
	}
	return at
}

// expire replies to callers who cannot wait any longer.
func (a *admission) expire(now time.Time) {
	a.pending = slices.DeleteFunc(a.pending, func(s *Submission) bool {
		if now.Before(a.expiry(now, s)) {
			return false
		}
		if s.open || s.doubtful {
			s.Reply(IntakeUnknown)
		} else {
			s.Reply(IntakeRefused)
		}
		return true
	})
}

// wakeAt returns when something is due, or false when nothing is.
func (a *admission) wakeAt(now time.Time) (time.Time, bool) {
	if len(a.pending) == 0 {
		return time.Time{}, false
	}
	// The pace of the store is looked at again after a while.
	at := now.Add(intakePatience / 4)
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
