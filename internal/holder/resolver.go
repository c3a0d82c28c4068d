package holder

import (
	"context"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Peers sends queries to other entries. It is safe for concurrent use.
type Peers interface {
	// Query sends a query to the entry at an address. It returns an error when there is no answer.
	Query(ctx context.Context, address fleet.Address, q Query) (Answer, error)
}

// Resolver is one of the duties that answer callers' requests: from this entry's own state, from the
// holder of the service, or from the store when the holder cannot be reached.
type Resolver struct {
	// The fields are set before Run.
	Number    int
	Inbox     *ring.Ring[*JobRequest]
	Scheduler *ring.Ring[Event]
	Peers     Peers
	Store     Store
	Intakes   [IntakeCount]*ring.Ring[IntakeEvent]
	Clock     clock.Clock
	Log       *zap.Logger
}

// Time limits of one request.
const (
	// schedulerTimeout bounds the wait for this entry's own scheduler.
	schedulerTimeout = 400 * time.Millisecond
	// peerTimeout bounds the wait for another entry, which is milliseconds away.
	peerTimeout = 400 * time.Millisecond
	// storeTimeout bounds a read of the store.
	storeTimeout = 800 * time.Millisecond
)

// Name implements duty.Duty.
func (r *Resolver) Name() fleet.DutyName {
	return fleet.DutyName("resolver-" + strconv.Itoa(r.Number))
}

// Run implements duty.Duty.
func (r *Resolver) Run(ctx context.Context) error {
	for {
		request, err := r.Inbox.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		if request.Kind == JobRequestCancel {
			r.cancel(ctx, request)
			continue
		}
		reply := r.resolve(ctx, request)
		if reply.Kind == ReplyFound && !request.Caller.MayAccess(reply.Account) {
			reply = otherAccount
		}
		request.Reply(reply)
	}
}

// otherAccount replies to a request about a job of another account. For the caller it is the reply about a job that
// does not exist.
var otherAccount = Reply{Kind: ReplyNotFound, Source: "job of another account"}

// resolve answers a request that changes nothing.
func (r *Resolver) resolve(ctx context.Context, request *JobRequest) Reply {
	q := Query{Kind: QueryState, Service: request.Service, Job: request.Job, Queue: request.Queue, Planned: request.Planned, Account: request.Account}
	switch request.Kind {
	case JobRequestWaiting:
		q.Kind = QueryWaiting
	case JobRequestJobs:
		q.Kind = QueryJobs
	case JobRequestPlace:
		q.Kind = QueryPlace
	case JobRequestBacklog:
		q.Kind = QueryBacklog
	}
	reply, ok := r.askHolder(ctx, q)
	if ok || reply.Kind == ReplyUnavailable {
		return reply
	}
	if request.Kind != JobRequestState {
		return Reply{Kind: ReplyUnavailable, Source: "no holder"}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	accepted, found, err := r.acceptance(ctx, request.Job)
	service := accepted.Service
	switch {
	case err != nil:
		return r.unavailable(request, err)
	case !found || accepted.Withdrawn:
		return Reply{Kind: ReplyNotFound, Source: "store"}
	}
	if service != request.Service {
		// The queue had another service when the job was accepted, or the caller named none.
		q.Service = service
		if reply, ok := r.askHolder(ctx, q); ok {
			return reply
		}
	}
	return r.readState(ctx, request, service)
}

// askHolder asks this entry's scheduler or, if it names one, the holder of the service. It returns false without
// an authoritative answer.
func (r *Resolver) askHolder(ctx context.Context, q Query) (Reply, bool) {
	local, ok := r.askScheduler(ctx, q)
	if !ok {
		return Reply{Kind: ReplyUnavailable, Source: "scheduler busy"}, false
	}
	if reply, ok := replyFrom(q, local, "own"); ok || local.Holder == "" {
		reply.Count += local.Moved
		return reply, ok
	}
	queryCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	remote, err := r.Peers.Query(queryCtx, local.Holder, q)
	if err != nil {
		r.Log.Warn("resolver: holder does not answer", zap.String("job", string(q.Job)), zap.String("holder", string(local.Holder)), zap.Error(trace.Unwrap(err)))
		return Reply{}, false
	}
	reply, ok := replyFrom(q, remote, "holder")
	reply.Count += local.Moved
	return reply, ok
}

// replyFrom returns the reply for an answer, and false when the answer is not authoritative.
func replyFrom(q Query, a Answer, source string) (Reply, bool) {
	if !a.Held || q.Kind == QueryState && !a.Known {
		return Reply{}, false
	}
	return Reply{Kind: ReplyFound, State: a.State, Account: a.Account, Count: a.Count, Jobs: a.Jobs, Placement: a.Placement, Backlog: a.Backlog, Source: source}, true
}

func (r *Resolver) askScheduler(ctx context.Context, q Query) (Answer, bool) {
	reply := ring.New[Answer]("answer", 1)
	q.Reply = func(a Answer) { _ = reply.Push(a) } // The ring has room for the only answer.
	if err := r.Scheduler.Push(Event{Query: &q}); err != nil {
		return Answer{}, false
	}
	timer := r.Clock.NewTimer(schedulerTimeout)
	defer timer.Stop()
	a, ok, err := reply.PopUntil(ctx, timer.Chan())
	return a, ok && err == nil
}

func (r *Resolver) unavailable(request *JobRequest, err error) Reply {
	r.Log.Warn("resolver: state cannot be read", zap.String("job", string(request.Job)), zap.Error(trace.Unwrap(err)))
	return Reply{Kind: ReplyUnavailable, Source: "store"}
}

// cancel stores the cancellation of a job. One that has not been accepted is withdrawn: a submission whose outcome nobody
// knows may take effect later, at any entry.
func (r *Resolver) cancel(ctx context.Context, request *JobRequest) {
	local, ok := r.askScheduler(ctx, Query{Kind: QueryState, Service: request.Service, Job: request.Job})
	if !ok {
		request.Reply(Reply{Kind: ReplyUnavailable, Source: "scheduler busy"})
		return
	}
	accepted := acceptance{Service: request.Service, Account: local.Account}
	if !local.Known {
		readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		stored, found, err := r.acceptance(readCtx, request.Job)
		cancel()
		if err != nil {
			request.Reply(r.unavailable(request, err))
			return
		}
		switch {
		case !found:
			r.withdraw(request)
			return
		case stored.Withdrawn:
			request.Reply(Reply{Kind: ReplyNotFound, Source: "withdrawn"})
			return
		}
		accepted = stored
	}
	r.cancelAccepted(request, accepted)
}

// withdraw stores that a job which has not been accepted never is.
func (r *Resolver) withdraw(request *JobRequest) {
	if request.Service == "" {
		request.Reply(Reply{Kind: ReplyUnavailable, Source: "no configuration yet"})
		return
	}
	s := &Submission{Withdraw: request.Job, Service: request.Service, Account: request.Caller.Account, Deadline: request.Deadline}
	s.Reply = func(o IntakeOutcome) {
		switch o {
		case IntakeStored:
			request.Reply(Reply{Kind: ReplyNotFound, Source: "store"})
		case IntakeAccepted:
			r.cancelAccepted(request, s.Accepted)
		case IntakeRefused:
			request.Reply(Reply{Kind: ReplyUnavailable, Source: "store"})
		default:
			request.Reply(Reply{Kind: ReplyUnknown, Source: "store"})
		}
	}
	r.store(request, s)
}

// cancelAccepted stores the cancellation of an accepted job. It does not block.
func (r *Resolver) cancelAccepted(request *JobRequest, accepted acceptance) {
	if !request.Caller.MayAccess(accepted.Account) {
		request.Reply(otherAccount)
		return
	}
	reply := request.Reply
	s := &Submission{Cancel: request.Job, Service: accepted.Service, Deadline: request.Deadline, Reply: func(o IntakeOutcome) {
		switch o {
		case IntakeStored:
			reply(Reply{Kind: ReplyFound, State: fleet.JobStateCancelled, Source: "store"})
		case IntakeRefused:
			reply(Reply{Kind: ReplyUnavailable, Source: "store"})
		default:
			reply(Reply{Kind: ReplyUnknown, Source: "store"})
		}
	}}
	r.store(request, s)
}

// store passes a submission to its intake.
func (r *Resolver) store(request *JobRequest, s *Submission) {
	if err := r.Intakes[IntakeIndex(request.Job)].Push(IntakeEvent{Submission: s}); err != nil {
		request.Reply(Reply{Kind: ReplyUnavailable, Source: "intake busy"})
	}
}
