package demo

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/standin/platform"
	configv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/config/v1"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
)

// disablePlatform makes the platform refuse all calls and checks that requests and tickets still work and
// that no change starts.
func disablePlatform(ctx context.Context, d *deployment) (string, error) {
	if err := d.platform.SetFaults(ctx, platform.Faults{Down: true}); err != nil {
		return "", trace.Wrap(err)
	}
	err := eventually(ctx, func() (bool, error) {
		status, err := d.status(ctx)
		return !status.GetStoreReachable(), err
	})
	if err != nil {
		return "", trace.Wrap(err)
	}
	answers, err := submitRequests(ctx, d)
	if err != nil {
		return "", trace.Wrap(err)
	}
	once, err := submitWithTicket(ctx, d)
	if err != nil {
		return "", trace.Wrap(err)
	}
	_, err = changeVM(ctx, d.entries[0], drainedVM, "drain")
	if connect.CodeOf(trace.Unwrap(err)) != connect.CodeUnavailable {
		return "", trace.Wrap(&MismatchError{Want: "an unavailable store", Got: fmt.Sprint(err)})
	}
	return answers + "; swap " + once + "; a drain does not start", nil
}

// enablePlatform ends the outage and checks that changes take effect again in every entry.
func enablePlatform(ctx context.Context, d *deployment) (string, error) {
	if err := d.platform.SetFaults(ctx, platform.Faults{}); err != nil {
		return "", trace.Wrap(err)
	}
	if err := waitHealthy(ctx, d); err != nil {
		return "", trace.Wrap(err)
	}
	if err := waitServing(ctx, d, len(d.endpoints)); err != nil {
		return "", trace.Wrap(err)
	}
	response, err := d.entries[1].operator.ApplyConfiguration(ctx, connect.NewRequest(&operatorv1.ApplyConfigurationRequest{
		Operation: &operatorv1.Operation{Reason: "demo"},
		Changes: []*configv1.Change{
			{Item: &configv1.Change_PutPool{PutPool: &configv1.Pool{Id: pool, Budget: &configv1.Budget{MaxUnavailableVms: 2}}}},
		},
	}))
	if err != nil {
		return "", trace.Wrap(err)
	}
	revision := response.Msg.GetRevision()
	return fmt.Sprintf("revision %d in force everywhere", revision), waitRevision(ctx, d, revision)
}

func (d *deployment) status(ctx context.Context) (*operatorv1.GetStatusResponse, error) {
	response, err := d.entries[0].operator.GetStatus(ctx, connect.NewRequest(&operatorv1.GetStatusRequest{}))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return response.Msg, nil
}

func waitHealthy(ctx context.Context, d *deployment) error {
	return eventually(ctx, func() (bool, error) {
		status, err := d.status(ctx)
		return status.GetHealthy() && status.GetStoreReachable(), err
	})
}
