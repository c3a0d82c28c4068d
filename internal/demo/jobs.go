package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/jobentry"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/internal/standin/rows"
	"github.com/mimosawharf/mimosawharf/internal/standin/runner"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1/jobv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Parameters of the job scenario.
const (
	jobEntries   = 2
	jobEndpoints = 3
	taskTime     = 100 * time.Millisecond
	firstTasks   = 4
	secondTasks  = 6
	jobQueue     = "plans"
	jobService   = "planner"
)

// jobDeployment is a store, endpoints that run tasks, and entries of which one holds the service at a time.
type jobDeployment struct {
	group    *duty.Group
	platform *runner.Platform
	clients  []jobv1connect.JobServiceClient
}

// jobEntryDuty runs one entry.
type jobEntryDuty struct{ entry *jobentry.Entry }

// Name implements duty.Duty.
func (d *jobEntryDuty) Name() fleet.DutyName { return fleet.DutyName(d.entry.Name) }

// Run implements duty.Duty. The entry returns nil only after the graceful stop at the end of the context.
func (d *jobEntryDuty) Run(ctx context.Context) error { return trace.Wrap(d.entry.Run(ctx)) }

// newJobDeployment starts the entries, which run until the context ends.
func newJobDeployment(ctx context.Context) (*jobDeployment, error) {
	c := clock.Real()
	group, ctx := duty.NewGroup(ctx)
	s := &jobDeployment{group: group, platform: &runner.Platform{
		Rows: rows.New(c), Capacity: fleet.Capacity{Millicores: 8000, Memory: 8000}, Clock: c,
		Config: &holder.Config{
			Version:  1,
			Queues:   []holder.Queue{{Policy: job.Policy{Queue: jobQueue, Service: jobService, MaxAttempts: 3, Stretch: 2, Target: time.Second}}},
			Services: []holder.Service{{ID: jobService}},
		},
	}}
	for i := range jobEndpoints {
		process := fleet.EndpointProcess{Endpoint: fleet.EndpointID(fmt.Sprintf("planner-%d", i)), StartMillis: 1}
		s.platform.Endpoints = append(s.platform.Endpoints, runner.New(process, c, taskTime))
	}
	for i := range jobEntries {
		address, err := freeAddress()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		e := &jobentry.Entry{
			Name: fleet.EntryID(fmt.Sprintf("job-entry-%d", i)), Zone: "zone-a", PeerAddress: address, Platform: s.platform, Clock: c, Log: zap.NewNop(),
			Bounds: shard.Bounds{MaxLease: 10 * time.Second, StopTime: time.Second, StatusRetention: time.Minute},
			Grace:  3 * time.Second,
		}
		s.group.Start(ctx, &jobEntryDuty{entry: e})
		s.clients = append(s.clients, jobv1connect.NewJobServiceClient(http.DefaultClient, "http://"+string(address)))
	}
	return s, nil
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (fleet.Address, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	return fleet.Address(l.Addr().String()), trace.Wrap(l.Close())
}

// twoSteps returns a job whose second step depends on the first.
func twoSteps(id string) *jobv1.Job {
	demand := &jobv1.Demand{Millicores: 2000, MemoryMb: 500}
	return &jobv1.Job{Id: id, Queue: jobQueue, Payload: "week 50", Steps: []*jobv1.Step{
		{Tasks: firstTasks, Demand: demand, Estimate: durationpb.New(taskTime)},
		{Tasks: secondTasks, Demand: demand, Estimate: durationpb.New(taskTime), After: []uint32{0}},
	}}
}

// runJob submits a job twice through one entry, waits through the other until it is completed, and checks
// that each task was started once.
func runJob(ctx context.Context, _ *deployment) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := newJobDeployment(ctx)
	if err != nil {
		return "", trace.Wrap(err)
	}
	const id = "0123456789abcdef"
	for range 2 {
		if err := eventually(ctx, func() (bool, error) {
			_, err := s.clients[0].Submit(ctx, connect.NewRequest(&jobv1.SubmitRequest{Job: twoSteps(id)}))
			return err == nil, nil
		}); err != nil {
			return "", trace.Wrap(err)
		}
	}
	if err := eventually(ctx, func() (bool, error) {
		r, err := s.clients[1].Get(ctx, connect.NewRequest(&jobv1.GetRequest{Job: id}))
		return err == nil && r.Msg.GetState() == string(fleet.JobStateCompleted), nil
	}); err != nil {
		return "", trace.Wrap(err)
	}
	if err := eventually(ctx, func() (bool, error) {
		r, err := s.clients[0].List(ctx, connect.NewRequest(&jobv1.ListRequest{Queue: jobQueue}))
		return err == nil && len(r.Msg.GetJobs()) == 1, nil
	}); err != nil {
		return "", trace.Wrap(err)
	}
	tasks := 0
	for _, e := range s.platform.Endpoints {
		for task, starts := range e.Starts() {
			if starts != 1 {
				return "", trace.Wrap(&MismatchError{Want: "one start of task " + task.String(), Got: fmt.Sprint(starts)})
			}
			tasks++
		}
	}
	if tasks != firstTasks+secondTasks {
		return "", trace.Wrap(&MismatchError{Want: fmt.Sprintf("%d tasks", firstTasks+secondTasks), Got: fmt.Sprint(tasks)})
	}
	return fmt.Sprintf("%d tasks in two steps, each started once", tasks), nil
}
