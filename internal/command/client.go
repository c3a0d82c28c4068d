package command

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1/callerv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1/operatorv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/client"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// operatorTimeout bounds one operation.
const operatorTimeout = 30 * time.Second

// operator returns the client for operators. It returns *client.TLSError.
func (c *cli) operator() (operatorv1connect.OperatorServiceClient, error) {
	http, err := client.NewHTTP(c.files, operatorTimeout)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c.target = "--server " + c.server
	return client.NewOperator(c.server, client.OperatorOptions{Name: fleet.OperatorName(c.name), HTTP: http}), nil
}

// call sends a request to one method of the operator service and returns its response.
func call[Q, A any](ctx context.Context, c *cli, method func(operatorv1connect.OperatorServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error), m *Q) (*A, error) {
	operator, err := c.operator()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := method(operator, ctx, connect.NewRequest(m))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return response.Msg, nil
}

// callerClient returns the client for callers. The timeout bounds one call. It returns *client.TLSError.
func (c *cli) callerClient(account, secret string, timeout time.Duration) (callerv1connect.CallerServiceClient, error) {
	http, err := client.NewHTTP(client.TLSFiles{Authority: c.callerAuthority}, timeout)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c.target = "--caller-server " + c.caller
	return client.NewCaller(c.caller, client.CallerOptions{Account: fleet.ClientAccountID(account), Secret: secret, HTTP: http}), nil
}
