package holder_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/follow"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/standin/rows"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// newIntake starts an intake of an entry on a store and returns its inbox and what it announces.
func newIntake(t *testing.T, store holder.Store) (*ring.Ring[holder.IntakeEvent], *ring.Ring[holder.Announcement]) {
	t.Helper()
	group, ctx := duty.NewGroup(context.Background())
	inbox, announced := ring.New[holder.IntakeEvent]("intake", 8), ring.New[holder.Announcement]("announced", 8)
	calls := ring.New[holder.StoreCall]("calls", 4)
	group.Start(ctx, &holder.Intake{
		Inbox: inbox, Writer: calls, Latency: &ring.Latest[follow.Latency]{}, Clock: clock.Real(), Log: zap.NewNop(),
		Announce: func(a holder.Announcement) { _ = announced.Push(a) },
	})
	group.Start(ctx, &holder.IntakeWriter{Inbox: calls, Intake: inbox, Store: store, Log: zap.NewNop()})
	t.Cleanup(func() { group.Stop(); _ = group.Wait() })
	return inbox, announced
}

// submit submits a job for a service and returns its outcome.
func submit(is *is.I, inbox *ring.Ring[holder.IntakeEvent], service fleet.ServiceID) *ring.Ring[holder.IntakeOutcome] {
	is.Helper()
	outcome := ring.New[holder.IntakeOutcome]("outcome", 1)
	job := &fleet.Job{ID: "0123456789abcdef", Service: service, Queue: "queue", Steps: []fleet.Step{{Tasks: 1}}}
	is.NoErr(inbox.Push(holder.IntakeEvent{Submission: &holder.Submission{
		Job: job, Deadline: clock.Real().Now().Add(10 * time.Second), Reply: func(o holder.IntakeOutcome) { _ = outcome.Push(o) },
	}}))
	return outcome
}

// Guards against a job that two services run: its id came again, at another entry, after its queue had moved.
func TestRepeatedSubmissionIsAnnouncedAsStored(t *testing.T) {
	for _, c := range []struct {
		name     string
		entries  int
		together bool
	}{
		{"at another entry", 2, false},
		{"at the same entry", 1, false},
		{"in the same transaction", 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			store := rows.New(clock.Real())
			var inboxes []*ring.Ring[holder.IntakeEvent]
			var announcements []*ring.Ring[holder.Announcement]
			for range c.entries {
				inbox, announced := newIntake(t, store)
				inboxes, announcements = append(inboxes, inbox), append(announcements, announced)
			}
			for n, service := range []fleet.ServiceID{"earlier", "later"} {
				outcome := submit(is, inboxes[n%c.entries], service)
				if c.together && n == 0 {
					continue
				}
				got, err := outcome.Pop(context.Background())
				is.NoErr(err)
				is.Equal(got, holder.IntakeStored)
			}
			for n := range 2 {
				if c.together && n == 1 {
					_, again := announcements[0].TryPop()
					is.True(!again) // the job of the transaction is announced once
					break
				}
				a, err := announcements[n%c.entries].Pop(context.Background())
				is.NoErr(err)
				is.Equal(a.Service, fleet.ServiceID("earlier"))
				// Only the submission that was stored carries its job; the holder reads the job of the other.
				is.Equal(a.Job != nil, n == 0)
				if a.Job != nil {
					is.Equal(a.Job.Service, fleet.ServiceID("earlier"))
				}
			}
		})
	}
}

// Guards against transactions that the store refuses for their size, and with them each submission of their part: the
// steps of a job were not counted.
func TestLargeSubmissionsAreStored(t *testing.T) {
	is := is.New(t)
	store := rows.New(clock.Real())
	inbox, calls := ring.New[holder.IntakeEvent]("intake", 64), ring.New[holder.StoreCall]("calls", 4)
	var outcomes []*ring.Ring[holder.IntakeOutcome]
	for n := range 30 {
		j := &fleet.Job{ID: fleet.JobID(fmt.Sprintf("%016x", n)), Service: "service", Queue: "queue"}
		for range 600 {
			j.Steps = append(j.Steps, fleet.Step{Tasks: 1, RequiredLabel: fleet.Label(strings.Repeat("l", 80))})
		}
		is.NoErr(holder.CheckSize(j))
		outcome := ring.New[holder.IntakeOutcome]("outcome", 1)
		outcomes = append(outcomes, outcome)
		is.NoErr(inbox.Push(holder.IntakeEvent{Submission: &holder.Submission{
			Job: j, Deadline: clock.Real().Now().Add(10 * time.Second), Reply: func(o holder.IntakeOutcome) { _ = outcome.Push(o) },
		}}))
	}
	startIntake(t, inbox, calls, store)
	for _, outcome := range outcomes {
		got, err := outcome.Pop(t.Context())
		is.NoErr(err)
		is.Equal(got, holder.IntakeStored)
	}
}

// Guards against jobs that are taken although the holder of their service has no memory for them, and against a refusal of
// one that an earlier submission has stored.
func TestSubmissionToFullServiceIsRefused(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply holder.ReplyKind
		want  holder.IntakeOutcome
	}{
		{"new job", holder.ReplyNotFound, holder.IntakeFull},
		{"job of an earlier submission", holder.ReplyFound, holder.IntakeStored},
		{"holder and store do not answer", holder.ReplyUnavailable, holder.IntakeFull},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			store := rows.New(clock.Real())
			group, ctx := duty.NewGroup(context.Background())
			defer func() { group.Stop(); _ = group.Wait() }()
			inbox, calls := ring.New[holder.IntakeEvent]("intake", 8), ring.New[holder.StoreCall]("calls", 4)
			status, requests := &ring.Latest[holder.Status]{}, ring.New[*holder.JobRequest]("requests", 4)
			status.Set(holder.Status{Full: map[fleet.ServiceID]bool{"full": true}})
			group.Start(ctx, &holder.Intake{
				Inbox: inbox, Writer: calls, Latency: &ring.Latest[follow.Latency]{}, Status: status, JobRequests: requests, Clock: clock.Real(), Log: zap.NewNop(),
				Announce: func(holder.Announcement) {},
			})
			group.Start(ctx, &holder.IntakeWriter{Inbox: calls, Intake: inbox, Store: store, Log: zap.NewNop()})
			outcome := submit(is, inbox, "full")
			request, err := requests.Pop(t.Context())
			is.NoErr(err)
			request.Reply(holder.Reply{Kind: c.reply})
			got, err := outcome.Pop(t.Context())
			is.NoErr(err)
			is.Equal(got, c.want)
			page, err := store.Scan(t.Context(), rowstore.Range{Table: holder.AcceptedTable, Part: holder.IntakePart("0123456789abcdef")})
			is.NoErr(err)
			is.Equal(len(page.Rows), 0)
			got, err = submit(is, inbox, "other").Pop(t.Context()) // Other services take jobs.
			is.NoErr(err)
			is.Equal(got, holder.IntakeStored)
		})
	}
}
