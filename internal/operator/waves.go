package operator

import (
	"context"
	"maps"
	"slices"

	"connectrpc.com/connect"

	"github.com/mimosawharf/mimosawharf/internal/maintenance"
	"github.com/mimosawharf/mimosawharf/internal/operation"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// CreateWave implements the operator service.
func (h *Handler) CreateWave(ctx context.Context, r *connect.Request[operatorv1.CreateWaveRequest]) (*connect.Response[operatorv1.CreateWaveResponse], error) {
	if err := r.Msg.Check(); err != nil {
		return nil, toConnect(err)
	}
	o := operation.CreateWave{
		Identity: identity(r.Header(), r.Msg.GetOperation()),
		ID:       fleet.WaveID(r.Msg.GetId()),
		Spec:     wire.FromWaveSpec(r.Msg.GetSpec()),
		DryRun:   r.Msg.GetDryRun(),
		Reply:    ring.New[operation.Result[maintenance.Plan]]("operator-wave", 1),
	}
	plan, err := run(ctx, h.Inbox, o, o.Reply)
	if err != nil {
		return nil, toConnect(err)
	}
	response := &operatorv1.CreateWaveResponse{Wave: wire.Wave(plan.Wave), ExpectedDuration: wire.Duration(plan.Expected)}
	for _, s := range plan.Steps {
		step := &operatorv1.WaveStep{Pool: string(s.Pool), Zone: string(s.Zone), Rack: string(s.Rack)}
		for _, vm := range s.VMs {
			step.Vms = append(step.Vms, string(vm))
		}
		response.Steps = append(response.Steps, step)
	}
	return connect.NewResponse(response), nil
}

// ControlWave implements the operator service.
func (h *Handler) ControlWave(ctx context.Context, r *connect.Request[operatorv1.ControlWaveRequest]) (*connect.Response[operatorv1.ControlWaveResponse], error) {
	if err := r.Msg.Check(); err != nil {
		return nil, toConnect(err)
	}
	o := operation.ControlWave{
		Identity: identity(r.Header(), r.Msg.GetOperation()),
		ID:       fleet.WaveID(r.Msg.GetId()),
		Command:  fleet.WaveCommand(r.Msg.GetAction()),
		Reply:    ring.New[operation.Result[fleet.Wave]]("operator-wave", 1),
	}
	wave, err := run(ctx, h.Inbox, o, o.Reply)
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&operatorv1.ControlWaveResponse{Wave: wire.Wave(wave)}), nil
}

// ListWaves implements the operator service.
func (h *Handler) ListWaves(_ context.Context, r *connect.Request[operatorv1.ListWavesRequest]) (*connect.Response[operatorv1.ListWavesResponse], error) {
	if err := r.Msg.Check(); err != nil {
		return nil, toConnect(err)
	}
	waves, response := h.view().Waves, &operatorv1.ListWavesResponse{}
	for _, id := range slices.Sorted(maps.Keys(waves)) {
		if want := r.Msg.GetId(); want == "" || want == string(id) {
			response.Waves = append(response.Waves, wire.Wave(waves[id]))
		}
	}
	return connect.NewResponse(response), nil
}
