package holder_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/account"
	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/follow"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/standin/rows"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const withdrawnJob fleet.JobID = "0123456789abcdef"

// lateStore answers no transaction, and keeps them to be performed later.
type lateStore struct {
	holder.Store
	late *ring.Ring[rowstore.Transaction]
}

// Transact implements holder.Store.
func (s lateStore) Transact(_ context.Context, t rowstore.Transaction) (rowstore.Version, error) {
	_ = s.late.Push(t)
	return 0, trace.Wrap(&rowstore.UnknownError{Call: "transact", Cause: &rows.LostError{}})
}

// beforeStore performs a function before the first transaction.
type beforeStore struct {
	holder.Store
	before func()
}

// Transact implements holder.Store.
func (s *beforeStore) Transact(ctx context.Context, t rowstore.Transaction) (rowstore.Version, error) {
	if s.before != nil {
		s.before()
		s.before = nil
	}
	return s.Store.Transact(ctx, t)
}

// cancelAt cancels the job at an entry that reaches a store and knows nothing of the job.
func cancelAt(t *testing.T, is *is.I, store holder.Store, caller account.Caller) holder.Reply {
	t.Helper()
	scheduler := ring.New[holder.Event]("scheduler", 8)
	r := &holder.Resolver{Inbox: ring.New[*holder.JobRequest]("requests", 2), Scheduler: scheduler, Peers: fixedPeer{}, Store: store, Clock: clock.Real(), Log: zap.NewNop()}
	inbox, _ := newIntake(t, store)
	for i := range r.Intakes {
		r.Intakes[i] = inbox
	}
	go func() {
		for {
			event, err := scheduler.Pop(t.Context())
			if err != nil {
				return
			}
			event.Query.Reply(holder.Answer{})
		}
	}()
	go func() { _ = r.Run(t.Context()) }()
	replies := ring.New[holder.Reply]("replies", 1)
	is.NoErr(r.Inbox.Push(&holder.JobRequest{
		Kind: holder.JobRequestCancel, Caller: caller, Job: withdrawnJob, Service: "service", Deadline: clock.Real().Now().Add(10 * time.Second),
		Reply: func(got holder.Reply) { _ = replies.Push(got) },
	}))
	got, err := replies.Pop(t.Context())
	is.NoErr(err)
	return got
}

// jobRows returns the keys of the job's rows in the table of a service.
func jobRows(t *testing.T, is *is.I, store holder.Store, service fleet.ServiceID) []rowstore.Key {
	t.Helper()
	page, err := store.Scan(t.Context(), rowstore.Range{Table: holder.JobTable(service), Part: holder.IntakePart(withdrawnJob)})
	is.NoErr(err)
	var keys []rowstore.Key
	for _, row := range page.Rows {
		keys = append(keys, row.Key)
	}
	return keys
}

// Guards against a job that starts long after its cancellation was acknowledged: nothing was stored of it then, and a
// submission without an answer took effect later.
func TestWithdrawnJobIsNotStoredLater(t *testing.T) {
	is := is.New(t)
	store := rows.New(clock.Real())
	late := ring.New[rowstore.Transaction]("late", 64)
	inbox, _ := newIntake(t, lateStore{store, late})
	outcome := ring.New[holder.IntakeOutcome]("outcome", 1)
	is.NoErr(inbox.Push(holder.IntakeEvent{Submission: &holder.Submission{
		Job:      &fleet.Job{ID: withdrawnJob, Service: "service", Queue: "queue", Steps: []fleet.Step{{Tasks: 1}}},
		Deadline: clock.Real().Now().Add(time.Second), Reply: func(o holder.IntakeOutcome) { _ = outcome.Push(o) },
	}}))
	submitted, err := outcome.Pop(t.Context())
	is.NoErr(err)
	is.Equal(submitted, holder.IntakeUnknown)
	is.Equal(cancelAt(t, is, store, account.Caller{}).Kind, holder.ReplyNotFound)
	for {
		transaction, ok := late.TryPop()
		if !ok {
			break
		}
		_, err := store.Transact(t.Context(), transaction)
		var conflict *rowstore.ConflictError
		is.True(errors.As(err, &conflict))
	}
	is.Equal(jobRows(t, is, store, "service"), []rowstore.Key{"cancel-" + rowstore.Key(withdrawnJob)})
	is.Equal(cancelAt(t, is, store, account.Caller{}).Kind, holder.ReplyNotFound) // again
}

// Guards against a job that is submitted again, or for the first time, after its cancellation was acknowledged, and runs.
func TestSubmissionOfWithdrawnJobIsRefused(t *testing.T) {
	is := is.New(t)
	store := rows.New(clock.Real())
	is.Equal(cancelAt(t, is, store, account.Caller{}).Kind, holder.ReplyNotFound)
	inbox, announced := newIntake(t, store)
	got, err := submit(is, inbox, "service").Pop(t.Context())
	is.NoErr(err)
	is.Equal(got, holder.IntakeWithdrawn)
	_, ok := announced.TryPop()
	is.True(!ok)
	is.Equal(jobRows(t, is, store, "service"), []rowstore.Key{"cancel-" + rowstore.Key(withdrawnJob)})
}

// Guards against a cancellation that finds no job, is told so, and is forgotten, while the job is accepted in between, for
// another service.
func TestJobThatIsAcceptedDuringItsCancellationIsCancelled(t *testing.T) {
	for _, c := range []struct {
		caller account.Caller
		want   holder.ReplyKind
		rows   int
	}{{account.Caller{Account: "a"}, holder.ReplyFound, 2}, {account.Caller{Account: "b"}, holder.ReplyNotFound, 1}} {
		is := is.New(t)
		store := rows.New(clock.Real())
		raced := &beforeStore{Store: store, before: func() {
			inbox, _ := newIntake(t, store)
			outcome := ring.New[holder.IntakeOutcome]("outcome", 1)
			is.NoErr(inbox.Push(holder.IntakeEvent{Submission: &holder.Submission{
				Job:      &fleet.Job{ID: withdrawnJob, Service: "other", Queue: "queue", Account: "a", Steps: []fleet.Step{{Tasks: 1}}},
				Deadline: clock.Real().Now().Add(10 * time.Second), Reply: func(o holder.IntakeOutcome) { _ = outcome.Push(o) },
			}}))
			got, err := outcome.Pop(t.Context())
			is.NoErr(err)
			is.Equal(got, holder.IntakeStored)
		}}
		is.Equal(cancelAt(t, is, raced, c.caller).Kind, c.want)
		is.Equal(len(jobRows(t, is, store, "other")), c.rows) // the job, and its cancellation
		is.Equal(len(jobRows(t, is, store, "service")), 0)
	}
}

// Guards against a job that is stored together with its withdrawal, in one transaction.
func TestJobAndItsWithdrawalAreNotStoredTogether(t *testing.T) {
	for _, first := range []string{"job", "withdrawal"} {
		t.Run(first, func(t *testing.T) {
			is := is.New(t)
			store := rows.New(clock.Real())
			inbox, calls := ring.New[holder.IntakeEvent]("intake", 8), ring.New[holder.StoreCall]("calls", 4)
			outcomes := map[string]*ring.Ring[holder.IntakeOutcome]{}
			push := func(name string, s *holder.Submission) {
				outcome := ring.New[holder.IntakeOutcome]("outcome", 1)
				outcomes[name] = outcome
				s.Deadline, s.Reply = clock.Real().Now().Add(10*time.Second), func(o holder.IntakeOutcome) { _ = outcome.Push(o) }
				is.NoErr(inbox.Push(holder.IntakeEvent{Submission: s}))
			}
			pushJob := func() {
				push("job", &holder.Submission{Job: &fleet.Job{ID: withdrawnJob, Service: "service", Steps: []fleet.Step{{Tasks: 1}}}})
			}
			if first == "job" {
				pushJob()
			}
			push("withdrawal", &holder.Submission{Withdraw: withdrawnJob, Service: "service"})
			if first != "job" {
				pushJob()
			}
			startIntake(t, inbox, calls, store)
			job, err := outcomes["job"].Pop(t.Context())
			is.NoErr(err)
			withdrawal, err := outcomes["withdrawal"].Pop(t.Context())
			is.NoErr(err)
			if first == "job" {
				is.Equal([]holder.IntakeOutcome{job, withdrawal}, []holder.IntakeOutcome{holder.IntakeStored, holder.IntakeAccepted})
			} else {
				is.Equal([]holder.IntakeOutcome{job, withdrawal}, []holder.IntakeOutcome{holder.IntakeWithdrawn, holder.IntakeStored})
			}
			is.Equal(len(jobRows(t, is, store, "service")), 1)
		})
	}
}

// Guards against rows of withdrawn jobs that stay for ever, and against the removal of those of a job that was accepted.
func TestRowsOfWithdrawnJobsAreRemoved(t *testing.T) {
	is := is.New(t)
	store := rows.New(clock.Real())
	is.Equal(cancelAt(t, is, store, account.Caller{}).Kind, holder.ReplyNotFound)
	inbox, _ := newIntake(t, store)
	removal := holder.IntakeEvent{Submission: &holder.Submission{Remove: withdrawnJob, Service: "service", Withdrawn: true}}
	is.NoErr(inbox.Push(removal))
	stored := func() int {
		accepted, err := store.Scan(t.Context(), rowstore.Range{Table: holder.AcceptedTable, Part: holder.IntakePart(withdrawnJob)})
		is.NoErr(err)
		return len(accepted.Rows) + len(jobRows(t, is, store, "service"))
	}
	for n := 0; n < 400 && stored() > 0; n++ {
		_ = clock.Wait(t.Context(), clock.Real(), 10*time.Millisecond)
	}
	is.Equal(stored(), 0)
	got, err := submit(is, inbox, "service").Pop(t.Context())
	is.NoErr(err)
	is.Equal(got, holder.IntakeStored)
	is.NoErr(inbox.Push(removal))
	got, err = submit(is, inbox, "service").Pop(t.Context()) // The writer takes one call after the other.
	is.NoErr(err)
	is.Equal(got, holder.IntakeStored)
	is.Equal(stored(), 2)
}

// startIntake starts an intake with its writer on rings that hold events already.
func startIntake(t *testing.T, inbox *ring.Ring[holder.IntakeEvent], calls *ring.Ring[holder.StoreCall], store holder.Store) {
	t.Helper()
	group, ctx := duty.NewGroup(context.Background())
	group.Start(ctx, &holder.Intake{
		Inbox: inbox, Writer: calls, Latency: &ring.Latest[follow.Latency]{}, Clock: clock.Real(), Log: zap.NewNop(), Announce: func(holder.Announcement) {},
	})
	group.Start(ctx, &holder.IntakeWriter{Inbox: calls, Intake: inbox, Store: store, Log: zap.NewNop()})
	t.Cleanup(func() { group.Stop(); _ = group.Wait() })
}
