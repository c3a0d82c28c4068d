package jobpeer

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/nearness"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Explain implements jobv1connect.JobServiceHandler.
func (j *Jobs) Explain(ctx context.Context, r *connect.Request[jobv1.ExplainRequest]) (*connect.Response[jobv1.ExplainResponse], error) {
	if err := r.Msg.Check(); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	planned := wire.FromJob(r.Msg.GetJob())
	queue, ok := j.queue(planned.Queue)
	if !ok {
		return nil, requestError(connect.CodeNotFound, "no such queue")
	}
	if err := checkSteps(planned); err != nil {
		return nil, err
	}
	got, err := j.ask(ctx, holder.JobRequest{Kind: holder.JobRequestPlace, Service: queue.Service, Queue: queue.Queue, Planned: planned})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&jobv1.ExplainResponse{Placement: placement(got.Placement)}), nil
}

// Place implements jobv1connect.JobPeerServiceHandler.
func (h *PeerHandler) Place(ctx context.Context, r *connect.Request[jobv1.PlaceRequest]) (*connect.Response[jobv1.PlaceResponse], error) {
	planned := wire.FromJob(r.Msg.GetJob())
	if err := checkSteps(planned); err != nil {
		return nil, err
	}
	a, err := h.ask(ctx, holder.Query{Kind: holder.QueryPlace, Service: fleet.ServiceID(r.Msg.GetService()), Planned: planned})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&jobv1.PlaceResponse{Held: a.Held, Placement: placement(a.Placement)}), nil
}

func placement(p shard.Placement) *jobv1.Placement {
	m := &jobv1.Placement{
		Verdict: string(p.Verdict), Known: p.Known, Account: string(p.Account), Running: uint64(p.Running), Priority: uint32(p.Rank.Priority),
		Late: p.Rank.Late, Ahead: uint32(p.Ahead), Endpoint: string(p.Endpoint), Rack: string(p.Rack),
	}
	if p.Task.Job != "" {
		m.Task, m.Due = p.Task.String(), timestamppb.New(p.Rank.Due)
	}
	if p.Near.Reason != "" {
		m.NearReason = string(p.Near.Reason)
		m.NearWait, m.NearCosts, m.NearSaves = durationpb.New(p.Near.Expected), durationpb.New(p.Near.Costs), durationpb.New(p.Near.Saves)
	}
	for _, c := range p.Candidates {
		m.Candidates = append(m.Candidates, &jobv1.PlaceCandidate{Endpoint: string(c.Endpoint), Rack: string(c.Rack), PassedOver: string(c.PassedOver), Score: c.Score})
	}
	return m
}

// fromPlacement decodes what another entry explains. The task's name is left out where it cannot be parsed.
func fromPlacement(m *jobv1.Placement) shard.Placement {
	p := shard.Placement{
		Verdict: shard.Verdict(m.GetVerdict()), Known: m.GetKnown(), Account: fleet.ClientAccountID(m.GetAccount()), Running: fleet.Millicores(m.GetRunning()),
		Rank: job.Rank{Priority: int(m.GetPriority()), Late: m.GetLate(), Due: m.GetDue().AsTime()}, Ahead: int(m.GetAhead()),
		Endpoint: fleet.EndpointID(m.GetEndpoint()), Rack: fleet.RackID(m.GetRack()),
		Near: nearness.Answer{
			Reason: nearness.Reason(m.GetNearReason()), Expected: m.GetNearWait().AsDuration(), Costs: m.GetNearCosts().AsDuration(), Saves: m.GetNearSaves().AsDuration(),
		},
	}
	p.Task, _ = fleet.ParseTaskID(m.GetTask())
	for _, c := range m.GetCandidates() {
		p.Candidates = append(p.Candidates, shard.PlaceCandidate{
			Endpoint: fleet.EndpointID(c.GetEndpoint()), Rack: fleet.RackID(c.GetRack()), PassedOver: shard.PassReason(c.GetPassedOver()), Score: c.GetScore(),
		})
	}
	return p
}
