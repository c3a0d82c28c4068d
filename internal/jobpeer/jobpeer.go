// Package jobpeer provides the RPC services of entries that run jobs: the queries of entries to each other,
// and the product's own job service.
package jobpeer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1/jobv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Client sends queries to other entries. It is safe for concurrent use.
type Client struct {
	// HTTP sends the requests.
	HTTP *http.Client
}

// PeerError reports an entry that did not answer.
type PeerError struct {
	Address fleet.Address
	Cause   error
}

// Error implements error.
func (e *PeerError) Error() string { return "entry at " + string(e.Address) + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Cause }

// Query implements holder.Peers. It returns *PeerError.
func (c *Client) Query(ctx context.Context, address fleet.Address, q holder.Query) (holder.Answer, error) {
	answer, err := c.ask(ctx, jobv1connect.NewJobPeerServiceClient(c.HTTP, "http://"+string(address)), q)
	if err != nil {
		return holder.Answer{}, trace.Wrap(&PeerError{Address: address, Cause: err})
	}
	return answer, nil
}

func (c *Client) ask(ctx context.Context, peer jobv1connect.JobPeerServiceClient, q holder.Query) (holder.Answer, error) {
	switch q.Kind {
	case holder.QueryAnnounce:
		m := &jobv1.AnnounceRequest{Service: string(q.Service), Cancelled: q.Cancelled, Stored: q.Accepted == nil && !q.Cancelled}
		if q.Accepted != nil {
			m.Job = wire.Job(q.Accepted)
		} else {
			m.Job = &jobv1.Job{Id: string(q.Job)}
		}
		_, err := peer.Announce(ctx, connect.NewRequest(m))
		return holder.Answer{}, trace.Wrap(err)
	case holder.QueryWaiting:
		r, err := peer.Waiting(ctx, connect.NewRequest(&jobv1.WaitingRequest{Service: string(q.Service), Queue: string(q.Queue)}))
		if err != nil {
			return holder.Answer{}, trace.Wrap(err)
		}
		return holder.Answer{Held: r.Msg.GetHeld(), Count: int(r.Msg.GetJobs())}, nil
	case holder.QueryVacate:
		r, err := peer.Vacate(ctx, connect.NewRequest(&jobv1.VacateRequest{Service: string(q.Service), Endpoints: wire.Strings(q.Endpoints), Patient: q.Patient}))
		if err != nil {
			return holder.Answer{}, trace.Wrap(err)
		}
		return holder.Answer{Held: r.Msg.GetHeld(), Vacated: wire.FromStrings[fleet.EndpointID](r.Msg.GetVacated())}, nil
	case holder.QueryJobs:
		r, err := peer.Jobs(ctx, connect.NewRequest(&jobv1.JobsRequest{Service: string(q.Service), Queue: string(q.Queue)}))
		if err != nil {
			return holder.Answer{}, trace.Wrap(err)
		}
		a := holder.Answer{Held: r.Msg.GetHeld()}
		for _, j := range r.Msg.GetJobs() {
			a.Jobs = append(a.Jobs, shard.JobStatus{ID: fleet.JobID(j.GetJob()), State: fleet.JobState(j.GetState())})
		}
		return a, nil
	case holder.QueryPlace:
		r, err := peer.Place(ctx, connect.NewRequest(&jobv1.PlaceRequest{Service: string(q.Service), Job: wire.Job(q.Planned)}))
		if err != nil {
			return holder.Answer{}, trace.Wrap(err)
		}
		return holder.Answer{Held: r.Msg.GetHeld(), Placement: fromPlacement(r.Msg.GetPlacement())}, nil
	case holder.QueryBacklog:
		r, err := peer.Backlog(ctx, connect.NewRequest(&jobv1.BacklogRequest{Service: string(q.Service), Account: string(q.Account)}))
		if err != nil {
			return holder.Answer{}, trace.Wrap(err)
		}
		return holder.Answer{Held: r.Msg.GetHeld(), Backlog: fromBacklog(r.Msg.GetBacklog())}, nil
	case holder.QueryLoad:
		r, err := peer.Load(ctx, connect.NewRequest(&jobv1.LoadRequest{Service: string(q.Service)}))
		if err != nil {
			return holder.Answer{}, trace.Wrap(err)
		}
		return holder.Answer{Held: r.Msg.GetHeld(), Load: fromLoad(r.Msg)}, nil
	}
	r, err := peer.State(ctx, connect.NewRequest(&jobv1.StateRequest{Service: string(q.Service), Job: string(q.Job)}))
	if err != nil {
		return holder.Answer{}, trace.Wrap(err)
	}
	return holder.Answer{Held: r.Msg.GetHeld(), Known: r.Msg.GetKnown(), State: fleet.JobState(r.Msg.GetState()), Account: fleet.ClientAccountID(r.Msg.GetAccount())}, nil
}

// PeerHandler answers the queries of other entries from the scheduler's state.
type PeerHandler struct {
	// Scheduler receives the queries.
	Scheduler *ring.Ring[holder.Event]
}

// answerTimeout bounds the wait for the scheduler. The querying entry waits a little longer.
const answerTimeout = 350 * time.Millisecond

// Path returns the path and the HTTP handler of the service.
func (h *PeerHandler) Path() (string, http.Handler) {
	return jobv1connect.NewJobPeerServiceHandler(h, connect.WithCompressMinBytes(minCompressed), connect.WithReadMaxBytes(int(MaxMessage)))
}

// minCompressed is the size from which on answers are compressed. Most are a few bytes, and to set up the compression
// takes a tenth of the processor time of an announcement.
const minCompressed = 4 << 10

// NoAnswerError reports that the scheduler did not answer within answerTimeout.
type NoAnswerError struct{}

// Error implements error.
func (*NoAnswerError) Error() string { return "the scheduler did not answer in time" }

func (h *PeerHandler) ask(ctx context.Context, q holder.Query) (holder.Answer, error) {
	reply := ring.New[holder.Answer]("answer", 1)
	q.Reply = func(a holder.Answer) { _ = reply.Push(a) } // The ring has room for the single answer.
	if err := h.Scheduler.Push(holder.Event{Query: &q}); err != nil {
		return holder.Answer{}, connect.NewError(connect.CodeUnavailable, err)
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	a, err := reply.Pop(ctx)
	if err != nil {
		return holder.Answer{}, connect.NewError(connect.CodeUnavailable, &NoAnswerError{})
	}
	return a, nil
}

// Announce implements jobv1connect.JobPeerServiceHandler.
func (h *PeerHandler) Announce(ctx context.Context, r *connect.Request[jobv1.AnnounceRequest]) (*connect.Response[jobv1.AnnounceResponse], error) {
	q := holder.Query{
		Kind: holder.QueryAnnounce, Service: fleet.ServiceID(r.Msg.GetService()), Job: fleet.JobID(r.Msg.GetJob().GetId()), Cancelled: r.Msg.GetCancelled(),
	}
	if !q.Cancelled && !r.Msg.GetStored() {
		q.Accepted = wire.FromJob(r.Msg.GetJob())
	}
	if _, err := h.ask(ctx, q); err != nil {
		return nil, err
	}
	return connect.NewResponse(&jobv1.AnnounceResponse{}), nil
}

// State implements jobv1connect.JobPeerServiceHandler.
func (h *PeerHandler) State(ctx context.Context, r *connect.Request[jobv1.StateRequest]) (*connect.Response[jobv1.StateResponse], error) {
	a, err := h.ask(ctx, holder.Query{Kind: holder.QueryState, Service: fleet.ServiceID(r.Msg.GetService()), Job: fleet.JobID(r.Msg.GetJob())})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&jobv1.StateResponse{Held: a.Held, Known: a.Known, State: string(a.State), Account: string(a.Account)}), nil
}

// Waiting implements jobv1connect.JobPeerServiceHandler.
func (h *PeerHandler) Waiting(ctx context.Context, r *connect.Request[jobv1.WaitingRequest]) (*connect.Response[jobv1.WaitingResponse], error) {
	a, err := h.ask(ctx, holder.Query{Kind: holder.QueryWaiting, Service: fleet.ServiceID(r.Msg.GetService()), Queue: fleet.QueueID(r.Msg.GetQueue())})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&jobv1.WaitingResponse{Held: a.Held, Jobs: uint32(a.Count)}), nil
}

// Vacate implements jobv1connect.JobPeerServiceHandler.
func (h *PeerHandler) Vacate(ctx context.Context, r *connect.Request[jobv1.VacateRequest]) (*connect.Response[jobv1.VacateResponse], error) {
	a, err := h.ask(ctx, holder.Query{Kind: holder.QueryVacate, Service: fleet.ServiceID(r.Msg.GetService()), Endpoints: wire.FromStrings[fleet.EndpointID](r.Msg.GetEndpoints()), Patient: r.Msg.GetPatient()})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&jobv1.VacateResponse{Held: a.Held, Vacated: wire.Strings(a.Vacated)}), nil
}

// Load implements jobv1connect.JobPeerServiceHandler.
func (h *PeerHandler) Load(ctx context.Context, r *connect.Request[jobv1.LoadRequest]) (*connect.Response[jobv1.LoadResponse], error) {
	a, err := h.ask(ctx, holder.Query{Kind: holder.QueryLoad, Service: fleet.ServiceID(r.Msg.GetService())})
	if err != nil {
		return nil, err
	}
	m := &jobv1.LoadResponse{
		Held: a.Held, Used: uint64(a.Load.Used), Waiting: uint64(a.Load.Waiting), Late: uint64(a.Load.Late), PerEndpoint: uint64(a.Load.PerEndpoint),
		Lasting: uint64(a.Load.Lasting), Stranded: uint32(a.Load.Stranded), Arrived: uint64(a.Load.Arrived), UsedLate: uint64(a.Load.UsedLate), Backlog: uint64(a.Load.Backlog),
		ArrivedJobs: uint64(a.Load.ArrivedJobs),
	}
	for _, e := range a.Load.Endpoints {
		m.Endpoints = append(m.Endpoints, &jobv1.EndpointLoad{Endpoint: string(e.Endpoint), Capacity: uint64(e.Capacity), Used: uint64(e.Used), Runs: uint32(e.Runs), Lasting: e.Lasting})
	}
	return connect.NewResponse(m), nil
}

func fromLoad(m *jobv1.LoadResponse) shard.Load {
	l := shard.Load{
		Used: fleet.Millicores(m.GetUsed()), Waiting: fleet.Millicores(m.GetWaiting()), Late: fleet.Millicores(m.GetLate()), PerEndpoint: fleet.Millicores(m.GetPerEndpoint()),
		Lasting: fleet.Millicores(m.GetLasting()), Stranded: int(m.GetStranded()), Arrived: fleet.Work(m.GetArrived()), UsedLate: fleet.Millicores(m.GetUsedLate()), Backlog: fleet.Work(m.GetBacklog()),
		ArrivedJobs: int(m.GetArrivedJobs()),
	}
	for _, e := range m.GetEndpoints() {
		l.Endpoints = append(l.Endpoints, shard.EndpointLoad{
			Endpoint: fleet.EndpointID(e.GetEndpoint()), Capacity: fleet.Millicores(e.GetCapacity()), Used: fleet.Millicores(e.GetUsed()), Runs: int(e.GetRuns()), Lasting: e.GetLasting(),
		})
	}
	return l
}

// Jobs implements jobv1connect.JobPeerServiceHandler.
func (h *PeerHandler) Jobs(ctx context.Context, r *connect.Request[jobv1.JobsRequest]) (*connect.Response[jobv1.JobsResponse], error) {
	a, err := h.ask(ctx, holder.Query{Kind: holder.QueryJobs, Service: fleet.ServiceID(r.Msg.GetService()), Queue: fleet.QueueID(r.Msg.GetQueue())})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&jobv1.JobsResponse{Held: a.Held, Jobs: jobStates(a.Jobs)}), nil
}

func jobStates(jobs []shard.JobStatus) []*jobv1.JobState {
	list := make([]*jobv1.JobState, 0, len(jobs))
	for _, j := range jobs {
		list = append(list, &jobv1.JobState{Job: string(j.ID), State: string(j.State)})
	}
	return list
}
