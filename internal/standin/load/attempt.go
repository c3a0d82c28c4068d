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

// attemptKind is what one call to an entry came to.
type attemptKind string

// Kinds of attempts.
const (
	attemptAnswered attemptKind = "answered"
	// attemptWrong is an answer that is not the complete answer to its request.
	attemptWrong   attemptKind = "wrong"
	attemptNotRun  attemptKind = "not-run"
	attemptUnknown attemptKind = "unknown"
	// attemptRefused is a typed error; this attempt did not run.
	attemptRefused attemptKind = "refused"
	// attemptUnreachable means that there was no connection on which anything was sent.
	attemptUnreachable attemptKind = "unreachable"
	// attemptBroken means that the connection ended before the response.
	attemptBroken attemptKind = "broken"
	// attemptLeft means that the caller did not wait for the response.
	attemptLeft attemptKind = "left"
)

// attempt is one call to an entry.
type attempt struct {
	Kind   attemptKind
	Entry  fleet.EntryID
	Reason request.Reason
	// Detail says what was wrong.
	Detail string
	// Ticket replaces the ticket of a refused request.
	Ticket []byte
}

// judge compares a response, or the error in its place, with the request. An impatient caller does not
// wait for the outcome.
func judge(entry fleet.EntryID, sent *callerv1.SubmitRequest, m *callerv1.SubmitResponse, err error, impatient bool) attempt {
	a := attempt{Entry: entry}
	switch {
	case err != nil && impatient && isTimeout(err):
		a.Kind = attemptLeft
	case err != nil:
		a.fail(err)
	case m.GetAnswer() != nil:
		a.Kind, a.Detail = judgeAnswer(sent, m)
	case m.GetNotRun() != nil:
		a.Kind, a.Reason, a.Ticket = attemptNotRun, request.Reason(m.GetNotRun().GetReason()), m.GetNotRun().GetTicket()
	case m.GetUnknown() != nil:
		a.Kind, a.Reason = attemptUnknown, request.Reason(m.GetUnknown().GetReason())
	default:
		a.Kind, a.Detail = attemptWrong, "no outcome"
	}
	return a
}

// isTimeout reports whether a call ended because of its timeout. The entry knows the timeout as well and
// may report it first, as a cancelled call.
func isTimeout(err error) bool {
	code := connect.CodeOf(err)
	return code == connect.CodeDeadlineExceeded || code == connect.CodeCanceled
}

// fail judges an error. Only an error with the detail of a refusal says that the attempt did not run.
func (a *attempt) fail(err error) {
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

// judgeAnswer checks that an answer is the complete answer to its request: endpoints echo the body.
func judgeAnswer(sent *callerv1.SubmitRequest, m *callerv1.SubmitResponse) (attemptKind, string) {
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
