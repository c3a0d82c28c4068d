package caller

import (
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/request"
	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// BodySizeError reports a request body above the limit. The request did not run.
type BodySizeError struct {
	Size, Limit fleet.Bytes
}

// Error implements error.
func (e *BodySizeError) Error() string {
	return fmt.Sprintf("request body has %d bytes, at most %d are allowed; not run", e.Size, e.Limit)
}

// ConnectionLimitError reports an account with too many connections. The request did not run.
type ConnectionLimitError struct {
	Limit int
}

// Error implements error.
func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("client account has more than %d connections to this entry; not run", e.Limit)
}

// ReadingLimitError reports that the messages being read exceed their limit. The request did not run.
type ReadingLimitError struct {
	Limit fleet.Bytes
}

// Error implements error.
func (e *ReadingLimitError) Error() string {
	return fmt.Sprintf("messages that are read at the same time exceed %d bytes; not run", e.Limit)
}

// ReadTimeoutError reports a message that did not arrive in time. The request did not run.
type ReadTimeoutError struct {
	Timeout time.Duration
}

// Error implements error.
func (e *ReadTimeoutError) Error() string {
	return fmt.Sprintf("message was not complete within %s; not run", e.Timeout)
}

// MessageError reports a message that did not reach the service. The request did not run.
type MessageError struct {
	Problem string
}

// Error implements error.
func (e *MessageError) Error() string { return e.Problem + "; not run" }

// check refuses a request that is malformed or too large.
func (h *Handler) check(m *callerv1.SubmitRequest) error {
	if err := m.Check(); err != nil {
		return refusal(connect.CodeInvalidArgument, request.ReasonMalformed, err)
	}
	if size := fleet.Bytes(len(m.GetBody())); size > h.MaxBody {
		return refusal(connect.CodeInvalidArgument, request.ReasonBodyTooLarge, &BodySizeError{Size: size, Limit: h.MaxBody})
	}
	return nil
}

// refusal returns an RPC error whose detail says that the request did not run.
func refusal(code connect.Code, reason request.Reason, cause error) error {
	err := connect.NewError(code, trace.Wrap(cause))
	detail, problem := connect.NewErrorDetail(&callerv1.Refusal{Outcome: string(request.OutcomeNotRun), Reason: string(reason)})
	if problem == nil {
		err.AddDetail(detail)
	}
	return err
}
