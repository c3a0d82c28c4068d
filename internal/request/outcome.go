package request

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// OutcomeKind is one of the three outcomes of a request.
type OutcomeKind string

// Outcomes.
const (
	// OutcomeAnswer carries the complete answer of an endpoint.
	OutcomeAnswer OutcomeKind = "answer"
	// OutcomeNotRun means that the request did not run and never will under its ticket.
	OutcomeNotRun OutcomeKind = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown OutcomeKind = "unknown"
)

// AnswerStatus distinguishes a successful answer from a failure of the application.
type AnswerStatus string

// Statuses of an answer.
const (
	AnswerStatusOK     AnswerStatus = "ok"
	AnswerStatusFailed AnswerStatus = "failed"
)

// Reason is why a request did not run or why its outcome is unknown.
type Reason string

// Reasons of a refusal.
const (
	ReasonOverloaded        Reason = "overloaded"
	ReasonQueueFull         Reason = "queue-full"
	ReasonDeadline          Reason = "deadline"
	ReasonQuota             Reason = "quota"
	ReasonCancelled         Reason = "cancelled"
	ReasonStopping          Reason = "stopping"
	ReasonNoEndpoint        Reason = "no-endpoint"
	ReasonUnknownService    Reason = "unknown-service"
	ReasonUnknownType       Reason = "unknown-request-type"
	ReasonTicketRequired    Reason = "ticket-required"
	ReasonTicketInvalid     Reason = "ticket-invalid"
	ReasonDuplicate         Reason = "duplicate-request-id"
	ReasonRetriesExhausted  Reason = "retries-exhausted"
	ReasonNoConfiguration   Reason = "no-configuration"
	ReasonBodyTooLarge      Reason = "body-too-large"
	ReasonNotPermitted      Reason = "not-permitted"
	ReasonMalformed         Reason = "malformed"
	ReasonEndpointRefused   Reason = "endpoint-refused"
	ReasonConnectionRefused Reason = "connection-refused"
)

// Reasons of an unknown outcome.
const (
	ReasonConnectionLost   Reason = "connection-lost"
	ReasonIncompleteAnswer Reason = "incomplete-answer"
	ReasonTimeout          Reason = "timeout"
	ReasonIssuerGone       Reason = "issuer-gone"
	// ReasonHandingOver means that the issuer is handing its tickets over; the entry that adopts them
	// redeems the ticket soon.
	ReasonHandingOver       Reason = "handing-over"
	ReasonIssuerUnreachable Reason = "issuer-unreachable"
	ReasonTicketExpired     Reason = "ticket-expired"
	ReasonStopRequested     Reason = "stop-requested"
	ReasonEndpointFailed    Reason = "endpoint-failed"
	// ReasonOutcomeDropped means that the answer was dropped to bound the memory of outcomes.
	ReasonOutcomeDropped Reason = "outcome-dropped"
)

// Outcome is the result that the caller gets, once per request.
type Outcome struct {
	Kind OutcomeKind

	// Status, Body and Digest are set for OutcomeAnswer.
	Status AnswerStatus
	Body   []byte
	Digest fleet.Digest

	// Reason and Detail are set for OutcomeNotRun and OutcomeUnknown.
	Reason Reason
	Detail string

	// RetryAfter and FreshTicket are set for OutcomeNotRun. FreshTicket replaces the ticket of the
	// refused request, which stays refused.
	RetryAfter  time.Duration
	FreshTicket []byte
}

// Answered returns the outcome of a complete answer.
func Answered(status AnswerStatus, body []byte) Outcome {
	return Outcome{Kind: OutcomeAnswer, Status: status, Body: body, Digest: DigestOf(body)}
}

// NotRun returns the outcome of a refusal.
func NotRun(reason Reason, retryAfter time.Duration) Outcome {
	return Outcome{Kind: OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}
}

// Unknown returns the outcome of a request that may have run.
func Unknown(reason Reason) Outcome {
	return Outcome{Kind: OutcomeUnknown, Reason: reason}
}
