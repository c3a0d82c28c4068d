package holder

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// IntakeEvent is an item of an intake's ring: a submission, or the end of an attempt to store some.
type IntakeEvent struct {
	Submission *Submission

	err error
}

// StoreCall is a request to an intake's writer to send one transaction to the store.
type StoreCall struct {
	transaction rowstore.Transaction
	timeout     time.Duration
	// removed is the job whose rows the transaction removes. Such a transaction is not reported back.
	removed fleet.JobID
}

// Intake is the duty that decides about the submissions of one part. It stores those that wait in one
// transaction (group commit).
type Intake struct {
	// The fields are set before Run.
	Number  int
	Inbox   *ring.Ring[IntakeEvent]
	Writer  *ring.Ring[StoreCall]
	Latency *ring.Latest[StoreLatency]
	Clock   clock.Clock
	Log     *zap.Logger
	// Announce notifies the holder of the service of what was stored.
	Announce func(s *Submission)

	admission admission
}

// Name implements duty.Duty.
func (i *Intake) Name() fleet.DutyName { return fleet.DutyName("intake-" + strconv.Itoa(i.Number)) }

// Run implements duty.Duty.
func (i *Intake) Run(ctx context.Context) error {
	for {
		event, ok, err := i.wait(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		i.admission.latency = i.Latency.Get()
		for ok {
			i.handle(event)
			event, ok = i.Inbox.TryPop()
		}
		now := i.Clock.Now()
		i.admission.expire(now)
		if batch, timeout := i.admission.next(now); batch != nil {
			if err := i.Writer.Push(StoreCall{transaction: insertion(batch), timeout: timeout}); err != nil {
				// Nothing was sent.
				i.Log.Warn("intake: writer is busy", zap.Error(trace.Unwrap(err)))
				i.admission.refused(now, true)
			}
		}
	}
}

func (i *Intake) wait(ctx context.Context) (IntakeEvent, bool, error) {
	now := i.Clock.Now()
	at, ok := i.admission.wakeAt(now)
	if !ok {
		event, err := i.Inbox.Pop(ctx)
		return event, err == nil, trace.Wrap(err)
	}
	timer := i.Clock.NewTimer(max(0, at.Sub(now)))
	defer timer.Stop()
	event, ok, err := i.Inbox.PopUntil(ctx, timer.Chan())
	return event, ok, trace.Wrap(err)
}

func (i *Intake) handle(event IntakeEvent) {
	now := i.Clock.Now()
	switch s := event.Submission; {
	case s == nil:
		i.attemptEnded(now, event.err)
	case s.Remove != "":
		if err := i.Writer.Push(removal(s)); err != nil {
			i.Log.Warn("intake: rows of an old job cannot be removed", zap.String("job", string(s.Remove)), zap.Error(trace.Unwrap(err)))
		}
	default:
		i.admission.add(now, s)
	}
}

// attemptEnded handles the end of the attempt in flight.
func (i *Intake) attemptEnded(now time.Time, err error) {
	var conflict *rowstore.ConflictError
	var refused *rowstore.RefusedError
	var stored []*Submission
	switch {
	case err == nil:
		stored = adoptFirst(i.admission.applied())
	case errors.As(err, &conflict):
		stored = i.adoptStored(i.admission.conflicted(conflict.Rows), conflict.Rows)
	case errors.As(err, &refused):
		i.Log.Warn("intake: the store refused a transaction", zap.Int("submissions", len(i.admission.attempt)), zap.Error(trace.Unwrap(err)))
		i.admission.refused(now, refused.Overloaded())
	default:
		i.Log.Warn("intake: outcome of a transaction is open", zap.Int("submissions", len(i.admission.attempt)), zap.Error(trace.Unwrap(err)))
		i.admission.unanswered(now)
	}
	for _, s := range stored {
		i.Announce(s)
	}
}

// adoptFirst replaces the jobs of a batch by the first one with the same id, which insertion stores.
func adoptFirst(submissions []*Submission) []*Submission {
	jobs := map[fleet.JobID]*fleet.Job{}
	for _, s := range submissions {
		switch {
		case s.Job == nil:
		case jobs[s.Job.ID] == nil:
			jobs[s.Job.ID] = s.Job
		default:
			s.Job = jobs[s.Job.ID]
		}
	}
	return submissions
}

// adoptStored replaces the jobs of submissions by those that the store holds under their ids. They may differ: the
// earlier submission of an id may have come under another configuration, which sent the job to another service. It
// leaves out jobs that cannot be decoded; the next read of the shared table reports them.
func (i *Intake) adoptStored(submissions []*Submission, rows []rowstore.Row) []*Submission {
	jobs := map[rowstore.Key]*fleet.Job{}
	for _, row := range rows {
		if row.Deleted || row.Version == 0 || !strings.HasPrefix(string(row.Key), keyJob) {
			continue
		}
		j, err := decodeJob(row)
		if err != nil {
			i.Log.Error("intake: stored job cannot be decoded", zap.String("key", string(row.Key)), zap.Error(trace.Unwrap(err)))
			continue
		}
		jobs[row.Key] = j
	}
	var adopted []*Submission
	for _, s := range submissions {
		if s.Job != nil {
			s.Job = jobs[jobKey(s.Job.ID)]
			if s.Job == nil {
				continue
			}
		}
		adopted = append(adopted, s)
	}
	return adopted
}

// insertion returns the transaction that stores submissions, provided that none of their rows exists.
func insertion(batch []*Submission) rowstore.Transaction {
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
	return t
}

// removal returns the call that removes the rows of a job from the store. It is not retried: the job's
// holder requests it again while the rows exist.
func removal(s *Submission) StoreCall {
	part := IntakePart(s.Remove)
	t := rowstore.Transaction{Removes: []rowstore.Row{{Table: SharedTable, Part: part, Key: jobKey(s.Remove)}}}
	if s.Cancelled {
		t.Removes = append(t.Removes, rowstore.Row{Table: SharedTable, Part: part, Key: cancelKey(s.Remove)})
	}
	return StoreCall{transaction: t, timeout: transactTimeout, removed: s.Remove}
}

// IntakeWriter is the duty that makes the calls of one intake to the store, so that the intake can answer
// callers while the store is unresponsive.
type IntakeWriter struct {
	// The fields are set before Run.
	Number int
	Inbox  *ring.Ring[StoreCall]
	Intake *ring.Ring[IntakeEvent]
	Store  Store
	Log    *zap.Logger
}

// Name implements duty.Duty.
func (w *IntakeWriter) Name() fleet.DutyName {
	return fleet.DutyName("intake-writer-" + strconv.Itoa(w.Number))
}

// Run implements duty.Duty.
func (w *IntakeWriter) Run(ctx context.Context) error {
	for {
		call, err := w.Inbox.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		err = w.send(ctx, call)
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
		if call.removed != "" {
			if err != nil {
				w.Log.Warn("intake: rows of an old job cannot be removed", zap.String("job", string(call.removed)), zap.Error(trace.Unwrap(err)))
			}
			continue
		}
		if err := w.Intake.PushReserved(IntakeEvent{err: err}); err != nil {
			return trace.Wrap(err) // There is one attempt at a time, so the reserve has room for its end.
		}
	}
}

func (w *IntakeWriter) send(ctx context.Context, call StoreCall) error {
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	_, err := w.Store.Transact(ctx, call.transaction)
	return trace.Wrap(err)
}
