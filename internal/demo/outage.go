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

// losePlatform takes the store down and checks that requests and tickets go on and that no change starts.
func losePlatform(ctx context.Context, f *site) (string, error) {
	if err := f.platform.SetFaults(ctx, platform.Faults{Down: true}); err != nil {
		return "", trace.Wrap(err)
	}
	err := eventually(ctx, func() (bool, error) {
		status, err := f.status(ctx)
		return !status.GetStoreReachable(), err
	})
	if err != nil {
		return "", trace.Wrap(err)
	}
	answers, err := submitRequests(ctx, f)
	if err != nil {
		return "", trace.Wrap(err)
	}
	once, err := submitOnce(ctx, f)
	if err != nil {
		return "", trace.Wrap(err)
	}
	_, err = changeVM(ctx, f.entries[0], drained, "drain")
	if connect.CodeOf(trace.Unwrap(err)) != connect.CodeUnavailable {
		return "", trace.Wrap(&MismatchError{Want: "an unavailable store", Got: fmt.Sprint(err)})
	}
	return answers + "; swap " + once + "; a drain does not start", nil
}

// regainPlatform brings the store back and checks that changes work again, everywhere.
func regainPlatform(ctx context.Context, f *site) (string, error) {
	if err := f.platform.SetFaults(ctx, platform.Faults{}); err != nil {
		return "", trace.Wrap(err)
	}
	if err := waitHealthy(ctx, f); err != nil {
		return "", trace.Wrap(err)
	}
	if err := waitServing(ctx, f, len(f.endpoints)); err != nil {
		return "", trace.Wrap(err)
	}
	response, err := f.entries[1].operator.ApplyConfiguration(ctx, connect.NewRequest(&operatorv1.ApplyConfigurationRequest{
		Operation: &operatorv1.Operation{Reason: "demo"},
		Changes: []*configv1.Change{
			{Item: &configv1.Change_PutPool{PutPool: &configv1.Pool{Id: pool, Budget: &configv1.Budget{MaxUnavailableVms: 2}}}},
		},
	}))
	if err != nil {
		return "", trace.Wrap(err)
	}
	revision := response.Msg.GetRevision()
	return fmt.Sprintf("revision %d in force everywhere", revision), waitRevision(ctx, f, revision)
}

func (f *site) status(ctx context.Context) (*operatorv1.GetStatusResponse, error) {
	response, err := f.entries[0].operator.GetStatus(ctx, connect.NewRequest(&operatorv1.GetStatusRequest{}))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return response.Msg, nil
}

func waitHealthy(ctx context.Context, f *site) error {
	return eventually(ctx, func() (bool, error) {
		status, err := f.status(ctx)
		return status.GetHealthy() && status.GetStoreReachable(), err
	})
}
