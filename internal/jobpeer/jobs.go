package jobpeer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/mimosawharf/mimosawharf/internal/account"
	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1/jobv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// JobFeeds holds the rings and values of an entry that Jobs uses.
type JobFeeds struct {
	Config      *ring.Latest[*holder.Config]
	Intakes     [holder.IntakeCount]*ring.Ring[holder.IntakeEvent]
	JobRequests *ring.Ring[*holder.JobRequest]
}

// Jobs implements the product's own job service.
type Jobs struct {
	// The fields are set before the first request.
	Feeds JobFeeds
	Clock clock.Clock
}

// defaultTimeout is how long a caller without a deadline is assumed to wait.
const defaultTimeout = 3 * time.Second

// Path returns the path and the HTTP handler of the service.
func (j *Jobs) Path() (string, http.Handler) {
	return jobv1connect.NewJobServiceHandler(j, connect.WithReadMaxBytes(int(MaxMessage)))
}

// RequestError reports why a request was not executed, or that its outcome is not known.
type RequestError struct{ Reason string }

// Error implements error.
func (e *RequestError) Error() string { return e.Reason }

func requestError(code connect.Code, reason string) error {
	return connect.NewError(code, &RequestError{Reason: reason})
}

func (j *Jobs) deadline(ctx context.Context) time.Time {
	if d, ok := ctx.Deadline(); ok {
		return d
	}
	return j.Clock.Now().Add(defaultTimeout)
}

// Submit implements jobv1connect.JobServiceHandler.
func (j *Jobs) Submit(ctx context.Context, r *connect.Request[jobv1.SubmitRequest]) (*connect.Response[jobv1.SubmitResponse], error) {
	if err := r.Msg.Check(); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	job := wire.FromJob(r.Msg.GetJob())
	queue, ok := j.queue(job.Queue)
	if !ok {
		return nil, requestError(connect.CodeNotFound, "no such queue")
	}
	if !j.knowsAccount(queue, job.Account) {
		return nil, requestError(connect.CodeInvalidArgument, "the queue needs a job of a known account, and a queue that is open to all one without")
	}
	if err := checkSteps(job); err != nil {
		return nil, err
	}
	if len(job.Steps) == 0 {
		return nil, requestError(connect.CodeInvalidArgument, "the job has no steps")
	}
	queue.Admit(job, j.Clock.Now())
	if err := checkLimits(job); err != nil {
		return nil, requestError(connect.CodeInvalidArgument, err.Error())
	}
	reply := ring.New[holder.IntakeOutcome]("reply", 1)
	s := &holder.Submission{Job: job, Deadline: j.deadline(ctx), Reply: func(o holder.IntakeOutcome) { _ = reply.Push(o) }} // The ring has room for the single reply.
	if err := j.Feeds.Intakes[holder.IntakeIndex(job.ID)].Push(holder.IntakeEvent{Submission: s}); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	got, err := reply.Pop(ctx)
	switch {
	case err != nil:
		return nil, requestError(connect.CodeDeadlineExceeded, "the outcome of the write is not known")
	case got == holder.IntakeRefused:
		return nil, requestError(connect.CodeUnavailable, "not run: the store is not available")
	case got == holder.IntakeFull:
		return nil, requestError(connect.CodeResourceExhausted, "not run: the service has no memory for further jobs")
	case got == holder.IntakeWithdrawn:
		return nil, requestError(connect.CodeFailedPrecondition, "not run: the job was cancelled before it was accepted")
	case got == holder.IntakeUnknown:
		return nil, requestError(connect.CodeDeadlineExceeded, "the outcome of the write is not known")
	}
	return connect.NewResponse(&jobv1.SubmitResponse{}), nil
}

// checkLimits returns an error for a job that cannot be kept.
func checkLimits(j *fleet.Job) error {
	if err := job.CheckLimits(j); err != nil {
		return err
	}
	return holder.CheckSize(j)
}

// checkSteps returns an error where a step follows one that is not an earlier one.
func checkSteps(job *fleet.Job) error {
	for i, s := range job.Steps {
		for _, before := range s.After {
			if int(before) >= i {
				return requestError(connect.CodeInvalidArgument, "a step follows a step that is not an earlier one")
			}
		}
	}
	return nil
}

// knowsAccount reports whether jobs of an account may be submitted to a queue.
func (j *Jobs) knowsAccount(q holder.Queue, id fleet.ClientAccountID) bool {
	accounts := j.Feeds.Config.Get().Accounts
	if q.Public || accounts == nil {
		return id == ""
	}
	_, ok := accounts.Account(id)
	return ok
}

func (j *Jobs) queue(id fleet.QueueID) (holder.Queue, bool) {
	if c := j.Feeds.Config.Get(); c != nil {
		for _, q := range c.Queues {
			if q.Queue == id {
				return q, true
			}
		}
	}
	return holder.Queue{}, false
}

// ask sends a request to the resolvers and converts replies without an answer to errors.
func (j *Jobs) ask(ctx context.Context, request holder.JobRequest) (holder.Reply, error) {
	reply := ring.New[holder.Reply]("reply", 1)
	request.Caller = account.Caller{Operator: true}
	request.Deadline = j.deadline(ctx)
	request.Reply = func(r holder.Reply) { _ = reply.Push(r) } // The ring has room for the single reply.
	if err := j.Feeds.JobRequests.Push(&request); err != nil {
		return holder.Reply{}, connect.NewError(connect.CodeUnavailable, err)
	}
	got, err := reply.Pop(ctx)
	if err != nil {
		return holder.Reply{}, requestError(connect.CodeDeadlineExceeded, "no answer in time")
	}
	switch got.Kind {
	case holder.ReplyNotFound:
		return got, requestError(connect.CodeNotFound, "no such job")
	case holder.ReplyUnavailable:
		return got, requestError(connect.CodeUnavailable, "not run: "+got.Source)
	case holder.ReplyUnknown:
		return got, requestError(connect.CodeDeadlineExceeded, "the outcome of the write is not known")
	}
	return got, nil
}

// Get implements jobv1connect.JobServiceHandler.
func (j *Jobs) Get(ctx context.Context, r *connect.Request[jobv1.GetRequest]) (*connect.Response[jobv1.GetResponse], error) {
	if err := r.Msg.Check(); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	got, err := j.ask(ctx, holder.JobRequest{Kind: holder.JobRequestState, Job: fleet.JobID(r.Msg.GetJob())})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&jobv1.GetResponse{State: string(got.State)}), nil
}

// Cancel implements jobv1connect.JobServiceHandler.
func (j *Jobs) Cancel(ctx context.Context, r *connect.Request[jobv1.CancelRequest]) (*connect.Response[jobv1.CancelResponse], error) {
	if err := r.Msg.Check(); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if _, err := j.ask(ctx, holder.JobRequest{Kind: holder.JobRequestCancel, Job: fleet.JobID(r.Msg.GetJob()), Service: j.anyService()}); err != nil {
		return nil, err
	}
	return connect.NewResponse(&jobv1.CancelResponse{}), nil
}

// Count implements jobv1connect.JobServiceHandler.
func (j *Jobs) Count(ctx context.Context, r *connect.Request[jobv1.CountRequest]) (*connect.Response[jobv1.CountResponse], error) {
	if err := r.Msg.Check(); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	got, err := j.askQueue(ctx, holder.JobRequestWaiting, r.Msg.GetQueue())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&jobv1.CountResponse{Waiting: uint32(got.Count)}), nil
}

// List implements jobv1connect.JobServiceHandler.
func (j *Jobs) List(ctx context.Context, r *connect.Request[jobv1.ListRequest]) (*connect.Response[jobv1.ListResponse], error) {
	if err := r.Msg.Check(); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	got, err := j.askQueue(ctx, holder.JobRequestJobs, r.Msg.GetQueue())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&jobv1.ListResponse{Jobs: jobStates(got.Jobs)}), nil
}

// anyService returns the service of one of the queues, or none without a configuration. A job that has not been accepted
// is withdrawn in it.
func (j *Jobs) anyService() fleet.ServiceID {
	if c := j.Feeds.Config.Get(); c != nil && len(c.Queues) > 0 {
		return c.Queues[0].Service
	}
	return ""
}

// askQueue asks the holder of a queue's service.
func (j *Jobs) askQueue(ctx context.Context, kind holder.JobRequestKind, id string) (holder.Reply, error) {
	queue, ok := j.queue(fleet.QueueID(id))
	if !ok {
		return holder.Reply{}, requestError(connect.CodeNotFound, "no such queue")
	}
	return j.ask(ctx, holder.JobRequest{Kind: kind, Service: queue.Service, Queue: queue.Queue})
}
