package jobentry_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/jobentry"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/internal/standin/rows"
	"github.com/mimosawharf/mimosawharf/internal/standin/runner"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1/jobv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// runExpiring runs an entry that keeps what is stored of jobs for a second after their end. It returns a client, the store
// and a function that waits until a condition is met.
func runExpiring(t *testing.T) (jobv1connect.JobServiceClient, *rows.Store, func(func() bool)) {
	t.Helper()
	is := is.New(t)
	c := clock.Real()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	address := fleet.Address(l.Addr().String())
	is.NoErr(l.Close())
	store := rows.New(c)
	e := &jobentry.Entry{
		Name: "entry", Zone: "zone", PeerAddress: address, Clock: c, Log: zap.NewNop(), Grace: 3 * time.Second,
		// States are kept for 30 s more than StatusRetention, here for 1 s.
		Bounds: shard.Bounds{MaxLease: 10 * time.Second, StopTime: time.Second, StatusRetention: -29 * time.Second},
		Platform: &runner.Platform{
			Rows: store, Capacity: fleet.Capacity{Millicores: 8000, Memory: 8000}, Clock: c,
			Endpoints: []*runner.Endpoint{runner.New(fleet.EndpointProcess{Endpoint: "i-1", StartMillis: 1}, c, 20*time.Millisecond)},
			Config: &holder.Config{
				Version: 1, Queues: []holder.Queue{{Policy: job.Policy{Queue: "plans", Service: "planner", MaxAttempts: 2, Stretch: 2}}},
				Services: []holder.Service{{ID: "planner"}},
			},
		},
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = e.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	client := jobv1connect.NewJobServiceClient(http.DefaultClient, "http://"+string(address))
	eventually := func(f func() bool) {
		t.Helper()
		for range 600 {
			if f() {
				return
			}
			_ = clock.Wait(ctx, c, 25*time.Millisecond)
		}
		t.Error("condition was not met within 15 s")
	}
	return client, store, eventually
}

// Guards against rows of ended jobs that are never removed from the store.
func TestRowsOfEndedJobsAreRemoved(t *testing.T) {
	ctx := t.Context()
	client, store, eventually := runExpiring(t)
	eventually(func() bool {
		_, err := client.Submit(ctx, connect.NewRequest(&jobv1.SubmitRequest{Job: &jobv1.Job{Id: "old", Queue: "plans", Steps: []*jobv1.Step{{Tasks: 1}}}}))
		return err == nil
	})
	eventually(func() bool {
		r, err := client.Get(ctx, connect.NewRequest(&jobv1.GetRequest{Job: "old"}))
		return err == nil && r.Msg.GetState() == string(fleet.JobStateCompleted)
	})
	eventually(func() bool {
		accepted, _ := store.Scan(ctx, rowstore.Range{Table: holder.AcceptedTable, Part: holder.IntakePart("old")})
		stored, _ := store.Scan(ctx, rowstore.Range{Table: holder.JobTable("planner"), Part: holder.IntakePart("old")})
		progress, _ := store.Scan(ctx, rowstore.Range{Table: "mimosawharf-progress", Part: "duty-jobs-planner", From: "old."})
		return len(accepted.Rows)+len(stored.Rows)+len(progress.Rows) == 0
	})
}

// Guards against rows of jobs that were cancelled before they were accepted and that are never removed from the store.
func TestRowsOfWithdrawnJobsExpire(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	client, store, eventually := runExpiring(t)
	eventually(func() bool {
		_, err := client.Cancel(ctx, connect.NewRequest(&jobv1.CancelRequest{Job: "none"}))
		return connect.CodeOf(err) == connect.CodeNotFound
	})
	_, err := client.Get(ctx, connect.NewRequest(&jobv1.GetRequest{Job: "none"}))
	is.Equal(connect.CodeOf(err), connect.CodeNotFound)
	_, err = client.Submit(ctx, connect.NewRequest(&jobv1.SubmitRequest{Job: &jobv1.Job{Id: "none", Queue: "plans", Steps: []*jobv1.Step{{Tasks: 1}}}}))
	is.Equal(connect.CodeOf(err), connect.CodeFailedPrecondition)
	eventually(func() bool {
		accepted, _ := store.Scan(ctx, rowstore.Range{Table: holder.AcceptedTable, Part: holder.IntakePart("none")})
		stored, _ := store.Scan(ctx, rowstore.Range{Table: holder.JobTable("planner"), Part: holder.IntakePart("none")})
		return len(accepted.Rows)+len(stored.Rows) == 0
	})
	_, err = client.Submit(ctx, connect.NewRequest(&jobv1.SubmitRequest{Job: &jobv1.Job{Id: "none", Queue: "plans", Steps: []*jobv1.Step{{Tasks: 1}}}}))
	is.NoErr(err)
}
