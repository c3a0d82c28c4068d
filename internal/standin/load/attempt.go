package load

import (
	"bytes"
	"errors"
	"net"
	"syscall"

	"connectrpc.com/connect"

	"github.com/mimosawharf/mimosawharf/internal/request"
	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// attemptKind is the result of one call to an entry.
type attemptKind string

// Kinds of attempts.
const (
	attemptAnswered attemptKind = "answered"
	// attemptWrong is an answer that is not the complete answer to its request.
	attemptWrong   attemptKind = "wrong"
	attemptNotRun  attemptKind = "not-run"
	attemptUnknown attemptKind = "unknown"
	// attemptRefused is an error with the detail of a refusal; this attempt did not run.
	attemptRefused attemptKind = "refused"
	// attemptUnreachable means that no connection was established and nothing was sent.
	attemptUnreachable attemptKind = "unreachable"
	// attemptBroken means that the call failed without a response or a refusal.
	attemptBroken attemptKind = "broken"
	// attemptAbandoned means that the caller did not wait for the response.
	attemptAbandoned attemptKind = "left"
)

// attempt is one call to an entry.
type attempt struct {
	Kind   attemptKind
	Entry  fleet.EntryID
	Reason request.Reason
	// Detail describes a wrong answer or an error.
	Detail string
	// Ticket replaces the ticket of a refused request.
	Ticket []byte
}

// classify returns the result of a call from its response or error. When the caller abandons the call after
// a short timeout, a timeout is no failure.
func classify(entry fleet.EntryID, sent *callerv1.SubmitRequest, m *callerv1.SubmitResponse, err error, abandons bool) attempt {
	a := attempt{Entry: entry}
	switch {
	case err != nil && abandons && isTimeout(err):
		a.Kind = attemptAbandoned
	case err != nil:
		a.classifyError(err)
	case m.GetAnswer() != nil:
		a.Kind, a.Detail = checkAnswer(sent, m)
	case m.GetNotRun() != nil:
		a.Kind, a.Reason, a.Ticket = attemptNotRun, request.Reason(m.GetNotRun().GetReason()), m.GetNotRun().GetTicket()
	case m.GetUnknown() != nil:
		a.Kind, a.Reason = attemptUnknown, request.Reason(m.GetUnknown().GetReason())
	default:
		a.Kind, a.Detail = attemptWrong, "no outcome"
	}
	return a
}

// isTimeout reports whether a call ended because of its timeout. The entry knows the timeout too and may
// report it first, as a cancelled call.
func isTimeout(err error) bool {
	code := connect.CodeOf(err)
	return code == connect.CodeDeadlineExceeded || code == connect.CodeCanceled
}

// classifyError sets the result of a failed call. Only an error with the detail of a refusal means that the
// attempt did not run.
func (a *attempt) classifyError(err error) {
	a.Kind, a.Detail = attemptBroken, err.Error()
	var failed *connect.Error
	if errors.As(err, &failed) {
		for _, d := range failed.Details() {
			if m, err := d.Value(); err == nil {
				if refusal, ok := m.(*callerv1.Refusal); ok {
					a.Kind, a.Reason = attemptRefused, request.Reason(refusal.GetReason())
				}
			}
		}
	}
	var operation *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &operation) && operation.Op == "dial" {
		a.Kind = attemptUnreachable
	}
}

// checkAnswer checks that an answer is the complete answer to its request; endpoints echo the body.
func checkAnswer(sent *callerv1.SubmitRequest, m *callerv1.SubmitResponse) (attemptKind, string) {
	answer := m.GetAnswer()
	switch {
	case m.GetRequestId() != sent.GetRequestId():
		return attemptWrong, "request id " + m.GetRequestId()
	case answer.GetStatus() != string(request.AnswerStatusOK):
		return attemptWrong, "status " + answer.GetStatus()
	case answer.GetLength() != uint64(len(sent.GetBody())) || !bytes.Equal(answer.GetBody(), sent.GetBody()):
		return attemptWrong, "another body"
	case answer.GetDigest() != uint64(request.DigestOf(sent.GetBody())):
		return attemptWrong, "another digest"
	default:
		return attemptAnswered, ""
	}
}
