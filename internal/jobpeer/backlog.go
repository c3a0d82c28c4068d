package jobpeer

import (
	"context"

	"connectrpc.com/connect"

	"github.com/mimosawharf/mimosawharf/internal/account"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// ExplainAccount implements jobv1connect.JobServiceHandler.
func (j *Jobs) ExplainAccount(ctx context.Context, r *connect.Request[jobv1.ExplainAccountRequest]) (*connect.Response[jobv1.ExplainAccountResponse], error) {
	if err := r.Msg.Check(); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	config := j.Feeds.Config.Get()
	id := fleet.ClientAccountID(r.Msg.GetAccount())
	if config == nil || config.Accounts == nil {
		return nil, requestError(connect.CodeNotFound, "no such account")
	}
	a, ok := config.Accounts.Account(id)
	if !ok {
		return nil, requestError(connect.CodeNotFound, "no such account")
	}
	m := &jobv1.ExplainAccountResponse{Weight: uint64(max(0, a.Weight))}
	if a.MaxRunning != (fleet.Capacity{}) {
		m.Limit = wire.Demand(a.MaxRunning)
	}
	for _, service := range config.Services {
		if !service.Spare {
			m.Services = append(m.Services, &jobv1.Backlog{Service: string(service.ID), Unknown: true})
		}
	}
	j.askBacklogs(ctx, id, m.Services)
	return connect.NewResponse(m), nil
}

// askBacklogs fills in what an account runs and waits for in services. Those whose holder does not answer stay unknown.
func (j *Jobs) askBacklogs(ctx context.Context, id fleet.ClientAccountID, services []*jobv1.Backlog) {
	type answer struct {
		service int
		reply   holder.Reply
	}
	answers, asked := ring.New[answer]("backlogs", max(1, len(services))), 0
	for n, b := range services {
		request := &holder.JobRequest{
			Kind: holder.JobRequestBacklog, Service: fleet.ServiceID(b.GetService()), Account: id, Caller: account.Caller{Operator: true}, Deadline: j.deadline(ctx),
			Reply: func(r holder.Reply) { _ = answers.Push(answer{n, r}) }, // The ring has room for one reply of each service.
		}
		if j.Feeds.JobRequests.Push(request) == nil {
			asked++
		}
	}
	for range asked {
		got, err := answers.Pop(ctx)
		if err != nil {
			return
		}
		if got.reply.Kind == holder.ReplyFound {
			fillBacklog(services[got.service], got.reply.Backlog)
		}
	}
}

// ExplainPool implements jobv1connect.JobServiceHandler.
func (j *Jobs) ExplainPool(ctx context.Context, r *connect.Request[jobv1.ExplainPoolRequest]) (*connect.Response[jobv1.ExplainPoolResponse], error) {
	if err := r.Msg.Check(); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	id := fleet.ServiceID(r.Msg.GetService())
	if !j.hasService(id) {
		return nil, requestError(connect.CodeNotFound, "no such service, or a pool of VMs that are off")
	}
	got, err := j.ask(ctx, holder.JobRequest{Kind: holder.JobRequestBacklog, Service: id})
	if err != nil {
		return nil, err
	}
	m := &jobv1.Backlog{Service: string(id)}
	fillBacklog(m, got.Backlog)
	return connect.NewResponse(&jobv1.ExplainPoolResponse{Backlog: m}), nil
}

func (j *Jobs) hasService(id fleet.ServiceID) bool {
	if c := j.Feeds.Config.Get(); c != nil {
		for _, s := range c.Services {
			if s.ID == id {
				return !s.Spare
			}
		}
	}
	return false
}

// Backlog implements jobv1connect.JobPeerServiceHandler.
func (h *PeerHandler) Backlog(ctx context.Context, r *connect.Request[jobv1.BacklogRequest]) (*connect.Response[jobv1.BacklogResponse], error) {
	a, err := h.ask(ctx, holder.Query{Kind: holder.QueryBacklog, Service: fleet.ServiceID(r.Msg.GetService()), Account: fleet.ClientAccountID(r.Msg.GetAccount())})
	if err != nil {
		return nil, err
	}
	m := &jobv1.Backlog{Service: r.Msg.GetService()}
	fillBacklog(m, a.Backlog)
	return connect.NewResponse(&jobv1.BacklogResponse{Held: a.Held, Backlog: m}), nil
}

// fillBacklog sets all fields but the service's name.
func fillBacklog(m *jobv1.Backlog, b shard.Backlog) {
	m.Unknown = false
	m.Running, m.Used, m.Waiting, m.Wanted = uint32(b.Running), wire.Demand(b.Used), uint32(b.Waiting), wire.Demand(b.Wanted)
	m.Late, m.Excess, m.PutBack, m.Verdict = uint32(b.Late), uint32(b.Excess), uint32(b.PutBack), string(b.Verdict)
	m.Endpoints, m.Capacity, m.Blocked = uint32(b.Endpoints), wire.Demand(b.Capacity), b.IsBlocked
	if b.Next.Job != "" {
		m.Next = b.Next.String()
	}
	if b.IsLimited {
		m.Allowed = wire.Demand(b.Allowed)
	}
}

// fromBacklog decodes what another entry explains. The task's name is left out where it cannot be parsed.
func fromBacklog(m *jobv1.Backlog) shard.Backlog {
	b := shard.Backlog{
		Running: int(m.GetRunning()), Used: wire.FromDemand(m.GetUsed()), Waiting: int(m.GetWaiting()), Wanted: wire.FromDemand(m.GetWanted()),
		Late: int(m.GetLate()), Excess: int(m.GetExcess()), PutBack: int(m.GetPutBack()), Verdict: shard.Verdict(m.GetVerdict()),
		Endpoints: int(m.GetEndpoints()), Capacity: wire.FromDemand(m.GetCapacity()),
		IsLimited: m.GetAllowed() != nil, IsBlocked: m.GetBlocked(), Allowed: wire.FromDemand(m.GetAllowed()),
	}
	b.Next, _ = fleet.ParseTaskID(m.GetNext())
	return b
}
