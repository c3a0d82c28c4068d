package holder_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/follow"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/standin/rows"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// accept has an intake that knows the recorded services take jobs, and returns once all of them are stored.
func accept(t *testing.T, store holder.Store, recorded map[fleet.ServiceID]bool, jobs ...*fleet.Job) {
	t.Helper()
	is := is.New(t)
	group, ctx := duty.NewGroup(context.Background())
	defer func() { group.Stop(); _ = group.Wait() }()
	inbox, calls := ring.New[holder.IntakeEvent]("intake", 64), ring.New[holder.StoreCall]("calls", 4)
	outcomes := ring.New[holder.IntakeOutcome]("outcomes", len(jobs))
	for _, j := range jobs {
		is.NoErr(inbox.Push(holder.IntakeEvent{Submission: &holder.Submission{
			Job: j, Deadline: clock.Real().Now().Add(10 * time.Second), Reply: func(o holder.IntakeOutcome) { _ = outcomes.Push(o) },
		}}))
	}
	status := &ring.Latest[holder.Status]{}
	status.Set(holder.Status{Recorded: recorded})
	group.Start(ctx, &holder.Intake{
		Inbox: inbox, Writer: calls, Latency: &ring.Latest[follow.Latency]{}, Status: status, Clock: clock.Real(), Log: zap.NewNop(),
		Announce: func(holder.Announcement) {},
	})
	group.Start(ctx, &holder.IntakeWriter{Inbox: calls, Intake: inbox, Store: store, Log: zap.NewNop()})
	for range jobs {
		outcome, err := outcomes.Pop(context.Background())
		is.NoErr(err)
		is.Equal(outcome, holder.IntakeStored)
	}
}

// records returns the services that the records in the store name.
func records(t *testing.T, store *rows.Store) map[fleet.ServiceID]bool {
	t.Helper()
	is := is.New(t)
	parts, err := store.Parts(context.Background(), holder.RecordsTable)
	is.NoErr(err)
	list := map[fleet.ServiceID]bool{}
	for _, part := range parts {
		page, err := store.Scan(context.Background(), rowstore.Range{Table: holder.RecordsTable, Part: part, From: "service-", Until: "service."})
		is.NoErr(err)
		for _, row := range page.Rows {
			list[fleet.ServiceID(strings.TrimPrefix(string(row.Key), "service-"))] = true
		}
	}
	return list
}

func newJob(id fleet.JobID, service fleet.ServiceID) *fleet.Job {
	return &fleet.Job{
		ID: id, Queue: "plans", Service: service, MaxAttempts: 3, AcceptedAt: clock.Real().Now().UTC(),
		Steps: []fleet.Step{{Tasks: 2, Demand: fleet.Capacity{Millicores: 1000, Memory: 1000}, MaxUnavailable: 1, Estimate: time.Second}},
	}
}

// Guards against accepted jobs that are forgotten: no entry had taken the lease of their service before the configuration
// sent its queue elsewhere and all entries restarted.
func TestJobsOfServiceWithoutFirstLeaseRunAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newFakeCluster(t, 1, 6)
		for n := range 5 {
			accept(t, c.store, nil, newJob(fleet.JobID(fmt.Sprintf("job-%d", n)), fakeService))
		}
		// The entries that start then know no configuration with the service.
		c.config = &holder.Config{
			Version: 3, Services: []holder.Service{{ID: "next"}},
			Queues: []holder.Queue{{Policy: job.Policy{Queue: "plans", Service: "next", MaxAttempts: 3, Stretch: 2}}},
		}
		c.addEntries(3)
		defer c.close()
		c.run(15 * time.Second)
		_, done := c.running()
		is.Equal(done, 10)
		// The lease that they have taken names the service as well.
		for _, e := range c.entries {
			c.kill(e)
		}
		accept(t, c.store, records(t, c.store), newJob("job-5", fakeService))
		for _, e := range c.entries {
			c.start(e)
		}
		c.run(15 * time.Second)
		_, done = c.running()
		is.Equal(done, 12)
		if t.Failed() {
			t.Log(strings.Join(c.trace, "\n"))
		}
	})
}

// Guards against entries without any lease while the store refuses a part with records.
func TestRefusedRecordsDelayNoLease(t *testing.T) {
	for _, mode := range []storeMode{storeRefuses, storeSilent} {
		t.Run(string(mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newFakeCluster(t, 1, 6)
				accept(t, c.store, nil, newJob("earlier", "other"), newJob("job", fakeService))
				c.addEntries(3)
				c.change(func() {
					for _, e := range c.entries {
						e.recordsMode = mode
					}
				})
				defer c.close()
				c.run(8 * time.Second)
				_, done := c.running()
				is.Equal(done, 2)
			})
		})
	}
}

// Guards against a record with each job: services that a stored row names already need none.
func TestServiceIsRecordedOnce(t *testing.T) {
	is := is.New(t)
	store := rows.New(clock.Real())
	accept(t, store, map[fleet.ServiceID]bool{"leased": true}, newJob("job-0", "leased"), newJob("job-1", "new"), newJob("job-2", "new"))
	is.Equal(records(t, store), map[fleet.ServiceID]bool{"new": true})
}

// Guards against transactions that the store refuses for the number of their entries.
func TestFirstJobsOfManyServicesAreStored(t *testing.T) {
	is := is.New(t)
	store := rows.New(clock.Real())
	var jobs []*fleet.Job
	for n := range 60 {
		jobs = append(jobs, newJob(fleet.JobID(fmt.Sprintf("%016x", n)), fleet.ServiceID(fmt.Sprintf("service-%d", n))))
	}
	accept(t, store, nil, jobs...)
	is.Equal(len(records(t, store)), 60)
}

// Guards against entries that take leases by rows that are no records.
func TestOddRecordsNameNoService(t *testing.T) {
	is := is.New(t)
	events := ring.New[holder.Event]("events", 4)
	sink := &holder.RecordsSink{Scheduler: events, Log: zap.NewNop()}
	sink.Change([]rowstore.Row{
		{Table: holder.RecordsTable, Part: "intake-1", Key: "service-a", Value: []byte{0xff}},
		{Table: holder.RecordsTable, Part: "intake-1", Key: "service-b", Value: []byte("\x0a\x01c")},
		{Table: holder.RecordsTable, Part: "intake-1", Key: "other-c", Value: []byte("\x0a\x01c")},
		{Table: holder.RecordsTable, Part: "intake-1", Key: "service-d", Deleted: true},
		{Table: holder.RecordsTable, Part: "intake-1", Key: "service-e", Value: []byte("\x0a\x01e")},
	})
	event, ok := events.TryPop()
	is.True(ok)
	is.Equal(event.Recorded, []fleet.ServiceID{"e"})
}
