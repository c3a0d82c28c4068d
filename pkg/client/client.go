// Package client calls mimosawharf on behalf of client accounts and of operators.
package client

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1/callerv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1/operatorv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Headers that identify a client account, and an operator when the daemon runs without TLS.
const (
	headerAccount  = "Mimosawharf-Account"
	headerSecret   = "Authorization"
	headerOperator = "Mimosawharf-Operator"
)

// CallerOptions identify a client account.
type CallerOptions struct {
	Account fleet.ClientAccountID
	Secret  string
	// HTTP is used for all calls; nil means http.DefaultClient.
	HTTP *http.Client
}

// NewCaller returns a client for the requests of an account to an entry, or to the load balancer, at a URL.
// It is safe for concurrent use.
func NewCaller(url string, o CallerOptions) callerv1connect.CallerServiceClient {
	return callerv1connect.NewCallerServiceClient(httpClient(o.HTTP), url, setHeaders(map[string]string{
		headerAccount: string(o.Account),
		headerSecret:  "Bearer " + o.Secret,
	}))
}

// OperatorOptions identify an operator.
type OperatorOptions struct {
	// Name is used only when the daemon runs without TLS; otherwise the certificate names the operator.
	Name fleet.OperatorName
	// HTTP is used for all calls; nil means http.DefaultClient.
	HTTP *http.Client
}

// NewOperator returns a client for the operations of an operator at a URL. It is safe for concurrent use.
func NewOperator(url string, o OperatorOptions) operatorv1connect.OperatorServiceClient {
	return operatorv1connect.NewOperatorServiceClient(httpClient(o.HTTP), url, setHeaders(map[string]string{
		headerOperator: string(o.Name),
	}))
}

func httpClient(c *http.Client) *http.Client {
	if c == nil {
		return http.DefaultClient
	}
	return c
}

func setHeaders(headers map[string]string) connect.ClientOption {
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			for name, value := range headers {
				r.Header().Set(name, value)
			}
			return next(ctx, r)
		}
	}))
}
