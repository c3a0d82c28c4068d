package endpoint

import (
	"context"

	"connectrpc.com/connect"

	endpointv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/endpoint/v1"
)

// observer serves the RPCs with which other processes read what the stand-in did and set its fault.
type observer struct {
	endpoint *Endpoint
}

// ListRuns implements the observation service.
func (o observer) ListRuns(ctx context.Context, _ *connect.Request[endpointv1.ListRunsRequest]) (*connect.Response[endpointv1.ListRunsResponse], error) {
	seen, err := o.endpoint.Observe(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &endpointv1.ListRunsResponse{Peak: uint32(seen.Peak), Running: uint32(seen.Running)}
	for id, n := range seen.Runs {
		response.Requests = append(response.Requests, &endpointv1.RequestRuns{RequestId: string(id), Runs: uint32(n)})
	}
	return connect.NewResponse(response), nil
}

// SetFault implements the observation service.
func (o observer) SetFault(_ context.Context, r *connect.Request[endpointv1.SetFaultRequest]) (*connect.Response[endpointv1.SetFaultResponse], error) {
	o.endpoint.SetFault(InjectedFault{Fault: Fault(r.Msg.GetFault()), Delay: r.Msg.GetDelay().AsDuration()})
	return connect.NewResponse(&endpointv1.SetFaultResponse{}), nil
}
