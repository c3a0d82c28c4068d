package caller

import (
	"fmt"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/request"
	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// BodyError reports a request body above the limit. Nothing ran.
type BodyError struct {
	Size, Limit fleet.Bytes
}

// Error implements error.
func (e *BodyError) Error() string {
	return fmt.Sprintf("request body has %d bytes, at most %d are allowed; not run", e.Size, e.Limit)
}

// check refuses a request that is malformed or too large.
func (h *Handler) check(m *callerv1.SubmitRequest) error {
	if err := m.Check(); err != nil {
		return refusal(connect.CodeInvalidArgument, request.ReasonMalformed, err)
	}
	if size := fleet.Bytes(len(m.GetBody())); size > h.MaxBody {
		return refusal(connect.CodeInvalidArgument, request.ReasonBodyTooLarge, &BodyError{Size: size, Limit: h.MaxBody})
	}
	return nil
}

// refusal returns an RPC error whose detail says that the attempt did not run.
func refusal(code connect.Code, reason request.Reason, cause error) error {
	err := connect.NewError(code, trace.Wrap(cause))
	detail, problem := connect.NewErrorDetail(&callerv1.Refusal{Outcome: string(request.OutcomeNotRun), Reason: string(reason)})
	if problem == nil {
		err.AddDetail(detail)
	}
	return err
}
