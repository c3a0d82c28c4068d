package jobentry_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1/jobv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// countedPlatform counts the starts that one entry sends.
type countedPlatform struct {
	linkedPlatform
	starts *atomic.Int64
}

// NewCaller implements jobentry.Platform.
func (p countedPlatform) NewCaller() holder.EndpointCaller {
	return countedCaller{p.linkedPlatform.NewCaller(), p.starts}
}

type countedCaller struct {
	holder.EndpointCaller
	starts *atomic.Int64
}

// Execute implements holder.EndpointCaller.
func (c countedCaller) Execute(ctx context.Context, o shard.Order) shard.Result {
	if o.Kind == shard.OrderStart {
		c.starts.Add(1)
	}
	return c.EndpointCaller.Execute(ctx, o)
}

// Guards against tasks of a large service that are lost or run twice when its relays stop as planned one after the other,
// and against a holder that calls all endpoints itself.
func TestRelaysStopWithoutLostOrders(t *testing.T) {
	is := is.New(t)
	const entries, endpoints, jobs, tasks = 6, 120, 120, 8
	f := newFleet(t, entries, endpoints, 0)
	starts := make([]atomic.Int64, entries)
	for n, e := range f.entries {
		e.Platform = countedPlatform{linkedPlatform{f.platform, f.links[n]}, &starts[n]}
		e.Grace = 6 * time.Second // the least that leaves time to finish
	}
	type running struct {
		stop context.CancelFunc
		done chan struct{}
	}
	var processes []running
	for _, e := range f.entries {
		ctx, stop := context.WithCancel(context.Background())
		p := running{stop, make(chan struct{})}
		go func() { defer close(p.done); _ = e.Run(ctx) }()
		processes = append(processes, p)
		t.Cleanup(func() { stop(); <-p.done })
	}
	// The entries with n%3 == 0 have the least capacity, so they neither hold the service nor relay.
	client := jobv1connect.NewJobServiceClient(http.DefaultClient, "http://"+string(f.addresses[0]))
	deadline := time.Now().Add(90 * time.Second)
	submit := func(n int) {
		for {
			_, err := client.Submit(t.Context(), connect.NewRequest(&jobv1.SubmitRequest{Job: &jobv1.Job{
				Id: fmt.Sprintf("job-%03d", n), Queue: "plans", Steps: []*jobv1.Step{{Tasks: tasks, Demand: &jobv1.Demand{Millicores: 32000}}}, // two on an endpoint
			}}))
			if err == nil {
				return
			}
			is.True(time.Now().Before(deadline)) // a job is accepted within 90 s
			_ = clock.Wait(t.Context(), clock.Real(), 50*time.Millisecond)
		}
	}
	isCompleted := func(n int) bool {
		r, err := client.Get(t.Context(), connect.NewRequest(&jobv1.GetRequest{Job: fmt.Sprintf("job-%03d", n)}))
		return err == nil && r.Msg.GetState() == string(fleet.JobStateCompleted)
	}
	submit(0)
	for !isCompleted(0) {
		is.True(time.Now().Before(deadline)) // the service is held
		_ = clock.Wait(t.Context(), clock.Real(), 50*time.Millisecond)
	}
	stopped := map[int]bool{}
	for n := 1; n < jobs; n++ {
		submit(n)
		if n%40 == 0 { // Stop the busiest relay, which is not the holder, as that starts nothing itself.
			busiest := 0
			for e := range starts {
				if !stopped[e] && starts[e].Load() > starts[busiest].Load() {
					busiest = e
				}
			}
			stopped[busiest] = true
			processes[busiest].stop()
		}
	}
	for n := range jobs {
		for !isCompleted(n) {
			is.True(time.Now().Before(deadline)) // all jobs are completed within 90 s
			_ = clock.Wait(t.Context(), clock.Real(), 20*time.Millisecond)
		}
	}
	runs := map[fleet.TaskID]int{}
	for _, e := range f.platform.Endpoints {
		for id, n := range e.Starts() {
			runs[id] += n
		}
	}
	is.Equal(len(runs), jobs*tasks)
	for _, n := range runs {
		is.Equal(n, 1) // no start had an unknown outcome
	}
	used := 0
	for e := range starts {
		if starts[e].Load() > 0 {
			used++
		}
	}
	is.Equal(len(stopped), 2)
	is.True(used >= 3) // the three relays of 120 endpoints
}
