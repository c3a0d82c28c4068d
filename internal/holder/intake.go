package holder

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// IntakeOutcome tells what became of a submission.
type IntakeOutcome string

// Outcomes of submissions.
const (
	// IntakeStored means that the row is in the store, from this submission or an earlier one.
	IntakeStored IntakeOutcome = "stored"
	// IntakeRefused means that nothing was stored and nothing ever will be by this submission.
	IntakeRefused IntakeOutcome = "refused"
	// IntakeUnknown means that the row may appear later.
	IntakeUnknown IntakeOutcome = "unknown"
)

// Submission is a row that one caller wants in the store: an accepted job or a cancellation.
type Submission struct {
	// Job is set for a job, Cancel for a cancellation of the job with that id, Remove for the removal of
	// both rows of a job that ended long ago.
	Job    *fleet.Job
	Cancel fleet.JobID
	Remove fleet.JobID
	// Cancelled says that the job to remove has a cancellation.
	Cancelled bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Reply takes the outcome without blocking.
	Reply func(IntakeOutcome)

	// sent is set once an attempt may have taken effect.
	sent bool
}

func (s *Submission) row() rowstore.Row {
	id := s.Cancel
	if s.Job != nil {
		id = s.Job.ID
	}
	part := IntakePart(id)
	if s.Job == nil {
		return rowstore.Row{Table: SharedTable, Part: part, Key: rowstore.Key(keyCancel + string(id)), Value: []byte{}}
	}
	return mustRow(SharedTable, part, jobKey(id), wire.Job(s.Job))
}

func jobKey(id fleet.JobID) rowstore.Key { return rowstore.Key(keyJob + string(id)) }

// IntakePart returns the part of a job's rows. It depends on the id alone, so that submissions of one id
// meet in one row whichever entry or queue they come through.
func IntakePart(id fleet.JobID) rowstore.Part {
	return partIntake + rowstore.Part(strconv.Itoa(IntakeIndex(id)))
}

// IntakeIndex returns the number of the intake that stores a job's rows.
func IntakeIndex(id fleet.JobID) int { return int(xxhash.Sum64String(string(id)) % intakeParts) }

// Intakes is how many intakes an entry has.
const Intakes = intakeParts

// Intake is the duty that stores submissions of one part. All that wait go into one transaction.
type Intake struct {
	// The fields are set before Run.
	Number int
	Inbox  *ring.Ring[*Submission]
	Store  Store
	Clock  clock.Clock
	Log    *zap.Logger
	// Announce tells the holder of the service of what was stored.
	Announce func(s *Submission)
}

const (
	// intakeBatch bounds the submissions of one transaction.
	intakeBatch = 32
	// intakeBytes bounds the size of one transaction, well below 1 MB with its encoding.
	intakeBytes = 256 << 10
	// intakeRetry is the pause before another attempt.
	intakeRetry = 60 * time.Millisecond
	// intakePatience bounds the attempts for a submission that the store refuses: the caller is better
	// off asking again later than waiting for an outage to end.
	intakePatience = 600 * time.Millisecond
	// intakeMargin is how long before the caller's deadline the outcome is given.
	intakeMargin = 150 * time.Millisecond
)

// Name implements duty.Duty.
func (i *Intake) Name() fleet.DutyName { return fleet.DutyName("intake-" + strconv.Itoa(i.Number)) }

// Run implements duty.Duty.
func (i *Intake) Run(ctx context.Context) error {
	for {
		first, err := i.Inbox.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		if first.Remove != "" {
			i.remove(ctx, first)
			continue
		}
		batch := []*Submission{first}
		for len(batch) < intakeBatch {
			next, ok := i.Inbox.TryPop()
			if !ok {
				break
			}
			if next.Remove != "" {
				i.remove(ctx, next)
				continue
			}
			batch = append(batch, next)
		}
		i.store(ctx, batch)
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
	}
}

// remove takes the rows of a job out of the store. Its holder asks again while they are there.
func (i *Intake) remove(ctx context.Context, s *Submission) {
	ctx, cancel := context.WithTimeout(ctx, transactTimeout)
	defer cancel()
	part := IntakePart(s.Remove)
	t := rowstore.Transaction{Removes: []rowstore.Row{{Table: SharedTable, Part: part, Key: jobKey(s.Remove)}}}
	if s.Cancelled {
		t.Removes = append(t.Removes, rowstore.Row{Table: SharedTable, Part: part, Key: rowstore.Key(keyCancel + string(s.Remove))})
	}
	if _, err := i.Store.Transact(ctx, t); err != nil {
		i.Log.Warn("intake: rows of an old job are not removed", zap.String("job", string(s.Remove)), zap.Error(trace.Unwrap(err)))
	}
}

// store repeats a batch until each submission has an outcome.
func (i *Intake) store(ctx context.Context, batch []*Submission) {
	began := i.Clock.Now()
	for len(batch) > 0 && ctx.Err() == nil {
		now := i.Clock.Now()
		batch = i.expire(now, began, batch)
		if len(batch) == 0 {
			return
		}
		size, refused := 0, false
		for n, s := range batch {
			if s.Job != nil {
				size += len(s.Job.Payload)
			}
			if size > intakeBytes {
				batch, refused = i.split(ctx, batch, n), true
				break
			}
		}
		if refused {
			continue
		}
		batch = i.attempt(ctx, batch)
		if len(batch) > 0 && i.wait(ctx) != nil {
			return
		}
	}
}

// split stores the first submissions of a batch that is too large and returns the rest.
func (i *Intake) split(ctx context.Context, batch []*Submission, n int) []*Submission {
	i.store(ctx, batch[:max(1, n)])
	return batch[max(1, n):]
}

func (i *Intake) wait(ctx context.Context) error { return clock.Wait(ctx, i.Clock, intakeRetry) }

// expire answers submissions that cannot wait any longer.
func (i *Intake) expire(now, began time.Time, batch []*Submission) []*Submission {
	var rest []*Submission
	for _, s := range batch {
		switch {
		case s.sent && now.After(s.Deadline.Add(-intakeMargin)):
			s.Reply(IntakeUnknown)
		case !s.sent && (now.Sub(began) > intakePatience || now.After(s.Deadline.Add(-intakeMargin))):
			s.Reply(IntakeRefused)
		default:
			rest = append(rest, s)
		}
	}
	return rest
}

// attempt sends one transaction and returns the submissions that remain without an outcome.
func (i *Intake) attempt(ctx context.Context, batch []*Submission) []*Submission {
	t := rowstore.Transaction{}
	seen := map[rowstore.Key]bool{}
	for _, s := range batch {
		row := s.row()
		if seen[row.Key] {
			continue
		}
		seen[row.Key] = true
		t.Puts = append(t.Puts, row)
		t.Conditions = append(t.Conditions, rowstore.Condition{Table: row.Table, Part: row.Part, Key: row.Key})
	}
	ctx, cancel := context.WithTimeout(ctx, transactTimeout)
	defer cancel()
	_, err := i.Store.Transact(ctx, t)
	var conflict *rowstore.ConflictError
	var refused *rowstore.RefusedError
	switch {
	case err == nil:
		for _, s := range batch {
			i.stored(s)
		}
		return nil
	case errors.As(err, &conflict):
		return i.resolve(batch, conflict)
	case errors.As(err, &refused):
		return batch
	}
	for _, s := range batch {
		s.sent = true
	}
	i.Log.Warn("intake: outcome of a transaction is open", zap.Int("submissions", len(batch)), zap.Error(trace.Unwrap(err)))
	return batch
}

// resolve takes the rows that exist already: the submissions of those are stored, the others are sent
// again.
func (i *Intake) resolve(batch []*Submission, conflict *rowstore.ConflictError) []*Submission {
	exists := map[rowstore.Key]bool{}
	for _, row := range conflict.Rows {
		if !row.Deleted && row.Version > 0 {
			exists[row.Key] = true
		}
	}
	var rest []*Submission
	for _, s := range batch {
		if exists[s.row().Key] {
			i.stored(s)
		} else {
			rest = append(rest, s)
		}
	}
	return rest
}

func (i *Intake) stored(s *Submission) {
	s.Reply(IntakeStored)
	i.Announce(s)
}
