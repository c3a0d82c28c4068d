package wire

import (
	"github.com/mimosawharf/mimosawharf/internal/request"
	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	endpointv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/endpoint/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// SubmitResponse converts an outcome to its message.
func SubmitResponse(id fleet.RequestID, o request.Outcome) *callerv1.SubmitResponse {
	m := &callerv1.SubmitResponse{RequestId: string(id)}
	switch o.Kind {
	case request.OutcomeAnswer:
		m.Outcome = &callerv1.SubmitResponse_Answer{Answer: &callerv1.Answer{
			Status: string(o.Status), Body: o.Body, Length: uint64(len(o.Body)), Digest: uint64(o.Digest),
		}}
	case request.OutcomeNotRun:
		m.Outcome = &callerv1.SubmitResponse_NotRun{NotRun: &callerv1.NotRun{
			Reason: string(o.Reason), Detail: o.Detail, RetryAfter: Duration(o.RetryAfter), Ticket: o.FreshTicket,
		}}
	default:
		m.Outcome = &callerv1.SubmitResponse_Unknown{Unknown: &callerv1.Unknown{
			Reason: string(o.Reason), Detail: o.Detail,
		}}
	}
	return m
}

// FromSubmitResponse converts an outcome from its message. An answer that is not complete, and a
// message without an outcome, become an unknown outcome.
func FromSubmitResponse(m *callerv1.SubmitResponse) request.Outcome {
	switch v := m.GetOutcome().(type) {
	case *callerv1.SubmitResponse_Answer:
		o := request.Answered(request.AnswerStatus(v.Answer.GetStatus()), v.Answer.GetBody())
		if v.Answer.GetLength() != uint64(len(o.Body)) || v.Answer.GetDigest() != uint64(o.Digest) {
			return request.Unknown(request.ReasonIncompleteAnswer)
		}
		return o
	case *callerv1.SubmitResponse_NotRun:
		return request.Outcome{
			Kind:        request.OutcomeNotRun,
			Reason:      request.Reason(v.NotRun.GetReason()),
			Detail:      v.NotRun.GetDetail(),
			RetryAfter:  FromDuration(v.NotRun.GetRetryAfter()),
			FreshTicket: v.NotRun.GetTicket(),
		}
	case *callerv1.SubmitResponse_Unknown:
		return request.Outcome{
			Kind:   request.OutcomeUnknown,
			Reason: request.Reason(v.Unknown.GetReason()),
			Detail: v.Unknown.GetDetail(),
		}
	default:
		return request.Unknown(request.ReasonIncompleteAnswer)
	}
}

// FromRunResponse converts the response of an endpoint to a request. A response for another request and an
// incomplete one become a lost result.
func FromRunResponse(id fleet.RequestID, m *endpointv1.RunResponse) request.Result {
	if m.GetRequestId() != string(id) {
		return request.Result{Kind: request.ResultLost, Reason: request.ReasonIncompleteAnswer, Load: FromLoad(m.GetLoad())}
	}
	r := fromRunResult(m)
	r.Load = FromLoad(m.GetLoad())
	return r
}

func fromRunResult(m *endpointv1.RunResponse) request.Result {
	switch v := m.GetResult().(type) {
	case *endpointv1.RunResponse_Answer:
		body := v.Answer.GetBody()
		if v.Answer.GetLength() != uint64(len(body)) || v.Answer.GetDigest() != uint64(request.DigestOf(body)) {
			return request.Result{Kind: request.ResultLost, Reason: request.ReasonIncompleteAnswer}
		}
		return request.Result{Kind: request.ResultAnswered, Body: body}
	case *endpointv1.RunResponse_NotRun:
		return request.Result{Kind: request.ResultNotRun, Refusal: request.Refusal(v.NotRun.GetReason())}
	case *endpointv1.RunResponse_Failure:
		return request.Result{
			Kind: request.ResultFailed, Blame: request.Blame(v.Failure.GetBlame()), Detail: v.Failure.GetDetail(),
		}
	case *endpointv1.RunResponse_Checkpointed:
		return request.Result{Kind: request.ResultCheckpointed, Checkpoint: v.Checkpointed.GetCheckpoint()}
	default:
		return request.Result{Kind: request.ResultLost, Reason: request.ReasonIncompleteAnswer}
	}
}

// FromLoad converts the load of an endpoint from its message; nil stays nil.
func FromLoad(m *endpointv1.Load) *request.Load {
	if m == nil {
		return nil
	}
	return &request.Load{Running: fleet.Slots(m.GetRunning()), Slots: fleet.Slots(m.GetSlots()), Leaving: m.GetLeaving()}
}
