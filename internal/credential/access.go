package credential

import (
	"context"
	"net/http"
	"path"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Headers that carry a verified operator to the handlers behind Access, and an unverified one to an
// entry that runs without TLS.
const (
	HeaderOperator = "Mimosawharf-Operator"
	HeaderRole     = "Mimosawharf-Role"
)

// Access allows operators only the RPCs that their role includes.
type Access struct {
	// Required holds the role that each RPC needs, by name. An RPC without an entry needs RoleAdmin.
	Required map[string]Role
	// DryRuns names the RPCs that need only RoleViewer for a message that requests a dry run. Their
	// messages are checked by Interceptor.
	DryRuns map[string]bool
	// Insecure is set to trust the headers of the client, for trials on loopback.
	Insecure bool
	Clock    clock.Clock
	Log      *zap.Logger
}

// Middleware wraps the handler of the operator service. A refused call gets a Connect error and has no
// effect.
func (a *Access) Middleware(next http.Handler) http.Handler {
	writer := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rpc := path.Base(r.URL.Path)
		want := a.requiredFor(rpc)
		if a.DryRuns[rpc] {
			want = RoleViewer
		}
		identity, err := a.identify(r)
		if err == nil {
			err = require(identity, want)
		}
		if err != nil {
			_ = writer.Write(w, r, a.refuse(rpc, err))
			return
		}
		// The handlers read the operator from the headers, which only this middleware may set.
		r.Header.Set(HeaderOperator, string(identity.Name))
		r.Header.Set(HeaderRole, string(identity.Role))
		next.ServeHTTP(w, r)
	})
}

// dryRunner is a message that may request a dry run.
type dryRunner interface{ GetDryRun() bool }

// Interceptor checks the role for messages that are not dry runs. It must run after Middleware.
func (a *Access) Interceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			rpc := path.Base(r.Spec().Procedure)
			if m, ok := r.Any().(dryRunner); ok && m.GetDryRun() {
				return next(ctx, r)
			}
			identity := Identity{Name: fleet.OperatorName(r.Header().Get(HeaderOperator)), Role: Role(r.Header().Get(HeaderRole))}
			if err := require(identity, a.requiredFor(rpc)); err != nil {
				return nil, a.refuse(rpc, err)
			}
			return next(ctx, r)
		}
	}
}

func (a *Access) refuse(rpc string, err error) *connect.Error {
	a.Log.Warn("operator: call refused", zap.String("rpc", rpc), zap.Error(err))
	return connect.NewError(connect.CodePermissionDenied, trace.Unwrap(err))
}

func (a *Access) identify(r *http.Request) (Identity, error) {
	if !a.Insecure {
		identity, err := IdentityOf(r.TLS)
		if err != nil {
			return Identity{}, trace.Wrap(err)
		}
		// A connection may stay open for longer than its certificate is valid.
		if until := r.TLS.PeerCertificates[0].NotAfter; a.Clock.Now().After(until) {
			return Identity{}, trace.Wrap(&ExpiredError{Name: identity.Name, Until: until})
		}
		return identity, nil
	}
	i := Identity{Name: fleet.OperatorName(r.Header.Get(HeaderOperator)), Role: Role(r.Header.Get(HeaderRole))}
	if i.Role == "" {
		i.Role = RoleAdmin
	}
	return i, nil
}

func (a *Access) requiredFor(rpc string) Role {
	if role, ok := a.Required[rpc]; ok {
		return role
	}
	return RoleAdmin
}
