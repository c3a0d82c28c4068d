package holder_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/account"
	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/standin/rows"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// fixedPeer is a holder that answers each query in the same way.
type fixedPeer holder.Answer

// Query implements holder.Peers.
func (p fixedPeer) Query(context.Context, fleet.Address, holder.Query) (holder.Answer, error) {
	return holder.Answer(p), nil
}

// storedJob stores a job of account a through an intake.
func storedJob(t *testing.T, is *is.I) holder.Store {
	t.Helper()
	store := rows.New(clock.Real())
	inbox, _ := newIntake(t, store)
	outcome := ring.New[holder.IntakeOutcome]("outcome", 1)
	job := &fleet.Job{ID: "0123456789abcdef", Service: "service", Queue: "queue", Account: "a", Steps: []fleet.Step{{Tasks: 1}}}
	is.NoErr(inbox.Push(holder.IntakeEvent{Submission: &holder.Submission{
		Job: job, Deadline: clock.Real().Now().Add(10 * time.Second), Reply: func(o holder.IntakeOutcome) { _ = outcome.Push(o) },
	}}))
	got, err := outcome.Pop(t.Context())
	is.NoErr(err)
	is.Equal(got, holder.IntakeStored)
	return store
}

// Guards against a job that another account reads or cancels, whoever knows the job: the entry that is asked, the
// holder of the service, or the store alone.
func TestJobOfAnotherAccountIsNotFound(t *testing.T) {
	known := holder.Answer{Held: true, Known: true, State: fleet.JobStateRunning, Account: "a"}
	for _, source := range []struct {
		name        string
		own, holder holder.Answer
	}{
		{"own", known, holder.Answer{}},
		{"holder", holder.Answer{Holder: "holder:1"}, known},
		{"store", holder.Answer{}, holder.Answer{}},
	} {
		for _, c := range []struct {
			caller account.Caller
			want   holder.ReplyKind
		}{
			{account.Caller{Account: "a"}, holder.ReplyFound},
			{account.Caller{Account: "b"}, holder.ReplyNotFound},
			{account.Caller{}, holder.ReplyNotFound},
			{account.Caller{Operator: true}, holder.ReplyFound},
		} {
			t.Run(source.name+" asked by "+string(c.caller.Account), func(t *testing.T) {
				is := is.New(t)
				store := storedJob(t, is)
				scheduler := ring.New[holder.Event]("scheduler", 8)
				r := &holder.Resolver{Inbox: ring.New[*holder.JobRequest]("requests", 2), Scheduler: scheduler, Peers: fixedPeer(source.holder), Store: store, Clock: clock.Real(), Log: zap.NewNop()}
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
						event.Query.Reply(source.own)
					}
				}()
				go func() { _ = r.Run(t.Context()) }()
				for _, kind := range []holder.JobRequestKind{holder.JobRequestState, holder.JobRequestCancel} {
					replies := ring.New[holder.Reply]("replies", 1)
					is.NoErr(r.Inbox.Push(&holder.JobRequest{
						Kind: kind, Caller: c.caller, Job: "0123456789abcdef", Service: "service", Deadline: clock.Real().Now().Add(10 * time.Second),
						Reply: func(got holder.Reply) { _ = replies.Push(got) },
					}))
					got, err := replies.Pop(t.Context())
					is.NoErr(err)
					is.Equal(got.Kind, c.want)
					is.True(c.want == holder.ReplyFound || got.State == "")
				}
				page, err := store.Scan(t.Context(), rowstore.Range{Table: holder.JobTable("service"), Part: holder.IntakePart("0123456789abcdef")})
				is.NoErr(err)
				is.Equal(len(page.Rows) == 2, c.want == holder.ReplyFound) // the job, and its cancellation
			})
		}
	}
}
