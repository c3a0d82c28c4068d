package caller

import (
	"errors"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/request"
	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
)

// Observer counts requests by their outcomes. It is safe for concurrent use.
type Observer interface {
	Ended(kind request.OutcomeKind, reason request.Reason)
}

// countRefusal counts a request that was refused with an RPC error whose detail says why.
func countRefusal(o Observer, err error) {
	var refused *connect.Error
	if o == nil || !errors.As(err, &refused) {
		return
	}
	for _, d := range refused.Details() {
		if value, err := d.Value(); err == nil {
			if m, ok := value.(*callerv1.Refusal); ok {
				o.Ended(request.OutcomeNotRun, request.Reason(m.GetReason()))
			}
		}
	}
}

// logStart and logEnd let an operator trace a request by its id through entry, peer and endpoint.
func (h *Handler) logStart(r *request.Request) {
	if h.Log != nil {
		h.Log.Debug("caller: request received", zap.String("request", string(r.ID)), zap.String("account", string(r.Account)),
			zap.String("service", string(r.Service)), zap.String("type", string(r.Type)))
	}
}

func (h *Handler) logEnd(r *request.Request, o request.Outcome) {
	if h.Log != nil {
		h.Log.Debug("caller: request ended", zap.String("request", string(r.ID)), zap.String("account", string(r.Account)),
			zap.String("outcome", string(o.Kind)), zap.String("reason", string(o.Reason)))
	}
}
