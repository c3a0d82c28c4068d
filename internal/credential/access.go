package credential

import (
	"net/http"
	"path"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Headers that carry a verified operator to the handlers behind Access, and an unverified one to an
// entry that runs without TLS.
const (
	HeaderOperator = "Mimosawharf-Operator"
	HeaderRole     = "Mimosawharf-Role"
)

// Access lets operators call only what their role allows.
type Access struct {
	// Required holds the role that each RPC needs, by name. An RPC without an entry needs RoleAdmin.
	Required map[string]Role
	// Insecure trusts the headers of the client; it is for trials on loopback.
	Insecure bool
	Log      *zap.Logger
}

// Middleware wraps the handler of the operator service. A refused call gets one Connect error and
// nothing changes.
func (a *Access) Middleware(next http.Handler) http.Handler {
	writer := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		identity, err := a.identify(r)
		if err == nil {
			err = require(identity, a.requiredFor(r))
		}
		if err != nil {
			a.Log.Warn("operator: call refused", zap.String("rpc", path.Base(r.URL.Path)), zap.Error(err))
			_ = writer.Write(w, r, connect.NewError(connect.CodePermissionDenied, trace.Unwrap(err)))
			return
		}
		// Handlers read the operator from the header, which only this middleware may set.
		r.Header.Set(HeaderOperator, string(identity.Name))
		next.ServeHTTP(w, r)
	})
}

func (a *Access) identify(r *http.Request) (Identity, error) {
	if !a.Insecure {
		return IdentityOf(r.TLS)
	}
	i := Identity{Name: fleet.OperatorName(r.Header.Get(HeaderOperator)), Role: Role(r.Header.Get(HeaderRole))}
	if i.Role == "" {
		i.Role = RoleAdmin
	}
	return i, nil
}

func (a *Access) requiredFor(r *http.Request) Role {
	if role, ok := a.Required[path.Base(r.URL.Path)]; ok {
		return role
	}
	return RoleAdmin
}
