package holder

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/account"
	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/follow"
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
	// withdrawn is set if the transaction may only remove the rows of a withdrawn job.
	withdrawn bool
	// removed is the job whose rows the transaction removes. Such a transaction is not reported back.
	removed fleet.JobID
}

// Announcement tells the holder of a service about a stored row ahead of its next read.
type Announcement struct {
	ID      fleet.JobID
	Service fleet.ServiceID
	// Job is nil for a cancellation, and for a job that was stored by an earlier submission: the holder reads it.
	Job       *fleet.Job
	Cancelled bool
}

// Intake is the duty that decides about the submissions of one part. It stores those that wait in one
// transaction (group commit).
type Intake struct {
	// The fields are set before Run.
	Number  int
	Inbox   *ring.Ring[IntakeEvent]
	Writer  *ring.Ring[StoreCall]
	Latency *ring.Latest[follow.Latency]
	// Status says which services take no further jobs and which are recorded, and JobRequests reaches the resolvers. Both may
	// be nil where jobs of all services are taken.
	Status      *ring.Latest[Status]
	JobRequests *ring.Ring[*JobRequest]
	Clock       clock.Clock
	Log         *zap.Logger
	// Announce notifies the holder of the service of what was stored.
	Announce func(a Announcement)

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
			if err := i.Writer.Push(storeCall(batch, timeout)); err != nil {
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
	case s.Job != nil && i.Status != nil && i.Status.Get().Full[s.Job.Service]:
		i.refuseFull(s)
	default:
		s.Unrecorded = i.Status == nil || !i.Status.Get().Recorded[s.service()]
		i.admission.add(now, s)
	}
}

// refuseFull refuses the submission of a job for which the holder of its service has no memory, unless an earlier
// submission has stored the job.
func (i *Intake) refuseFull(s *Submission) {
	err := i.JobRequests.Push(&JobRequest{
		Kind: JobRequestState, Caller: account.Caller{Account: s.Job.Account}, Job: s.Job.ID, Service: s.Job.Service, Deadline: s.Deadline,
		Reply: func(r Reply) {
			if r.Kind == ReplyFound {
				s.Reply(IntakeStored)
			} else {
				s.Reply(IntakeFull)
			}
		},
	})
	if err != nil {
		s.Reply(IntakeFull)
	}
}

// attemptEnded handles the end of the attempt in flight.
func (i *Intake) attemptEnded(now time.Time, err error) {
	var conflict *rowstore.ConflictError
	var refused *rowstore.RefusedError
	switch {
	case err == nil:
		i.announceApplied(i.admission.applied())
	case errors.As(err, &conflict):
		i.announceStored(i.admission.conflicted(conflict.Rows), conflict.Rows)
	case errors.As(err, &refused):
		i.Log.Warn("intake: the store refused a transaction", zap.Int("submissions", len(i.admission.attempt)), zap.Error(trace.Unwrap(err)))
		i.admission.refused(now, refused.Overloaded())
	default:
		i.Log.Warn("intake: outcome of a transaction is open", zap.Int("submissions", len(i.admission.attempt)), zap.Error(trace.Unwrap(err)))
		i.admission.unanswered(now)
	}
}

// announceApplied announces the submissions of a transaction that was applied. Of jobs with the same id the first
// one was stored.
func (i *Intake) announceApplied(submissions []*Submission) {
	announced := map[fleet.JobID]bool{}
	for _, s := range submissions {
		if s.Job != nil && announced[s.Job.ID] {
			continue
		}
		a := Announcement{ID: s.id(), Service: s.Service, Job: s.Job, Cancelled: s.Job == nil}
		if s.Job != nil {
			a.Service = s.Job.Service
			announced[s.Job.ID] = true
		}
		i.Announce(a)
	}
}

// announceStored announces submissions whose rows existed before. The holder of a job's service, which the
// existing row names, reads the job itself: the earlier submission of its id may have come with other contents
// and under another configuration.
func (i *Intake) announceStored(submissions []*Submission, rows []rowstore.Row) {
	services := map[rowstore.Key]fleet.ServiceID{}
	for _, row := range rows {
		if row.Deleted || row.Version == 0 || row.Table != AcceptedTable {
			continue
		}
		accepted, err := decodeAccepted(row)
		if err != nil {
			i.Log.Error("intake: stored row cannot be decoded", zap.String("key", string(row.Key)), zap.Error(trace.Unwrap(err)))
			continue
		}
		services[row.Key] = accepted.Service
	}
	for _, s := range submissions {
		a := Announcement{ID: s.id(), Service: s.Service, Cancelled: s.Job == nil}
		if s.Job != nil {
			a.Service = services[jobKey(s.Job.ID)]
		}
		if a.Service != "" {
			i.Announce(a)
		}
	}
}

// insertion returns the transaction that stores submissions, provided that none of their rows exists.
func insertion(batch []*Submission) rowstore.Transaction {
	t := rowstore.Transaction{}
	seen, recorded := map[rowstore.Key]bool{}, map[fleet.ServiceID]bool{}
	for _, s := range batch {
		if seen[s.decidingKey()] {
			continue
		}
		seen[s.decidingKey()] = true
		if service := s.service(); s.Unrecorded && !recorded[service] {
			recorded[service] = true
			t.Puts = append(t.Puts, serviceRecord(IntakePart(s.id()), service))
		}
		rows := s.rows()
		t.Puts = append(t.Puts, rows...)
		t.Conditions = append(t.Conditions, rowstore.Condition{Table: rows[0].Table, Part: rows[0].Part, Key: rows[0].Key})
	}
	return t
}

// storeCall returns the call that stores submissions.
func storeCall(batch []*Submission, timeout time.Duration) StoreCall {
	t := insertion(batch)
	return StoreCall{transaction: t, timeout: timeout + follow.TransferTime(size(t))}
}
