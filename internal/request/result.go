package request

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// ResultKind is the kind of result of one attempt at an endpoint.
type ResultKind string

// Results of an attempt.
const (
	// ResultAnswered carries a complete answer.
	ResultAnswered ResultKind = "answered"
	// ResultNotRun means that the attempt certainly did not run.
	ResultNotRun ResultKind = "not-run"
	// ResultFailed means that the attempt ran and the endpoint reported a failure.
	ResultFailed ResultKind = "failed"
	// ResultCheckpointed means that the attempt stopped and can be resumed from its checkpoint.
	ResultCheckpointed ResultKind = "checkpointed"
	// ResultLost means that the attempt may have run and no complete answer was received.
	ResultLost ResultKind = "lost"
)

// Blame is what a failure is attributed to.
type Blame string

// Values of Blame.
const (
	BlameRequest  Blame = "request"
	BlameEndpoint Blame = "endpoint"
)

// Refusal is the reason that an endpoint gives for not running a request.
type Refusal string

// Refusals of an endpoint, and of the transport on its behalf.
const (
	RefusalBusy            Refusal = "busy"
	RefusalLeaving         Refusal = "leaving"
	RefusalWrongAssignment Refusal = "wrong-assignment"
	RefusalUnknownType     Refusal = "unknown-type"
	RefusalBadDigest       Refusal = "bad-digest"
	RefusalStopped         Refusal = "stopped"
	// RefusalUnreachable means that no byte of the request was sent.
	RefusalUnreachable Refusal = "unreachable"
)

// Load is an endpoint's report of its own load.
type Load struct {
	Running fleet.Slots
	Slots   fleet.Slots
	Leaving bool
}

// Result is the outcome of one attempt at an endpoint.
type Result struct {
	Kind ResultKind
	// Body is set for ResultAnswered.
	Body []byte
	// Refusal is set for ResultNotRun.
	Refusal Refusal
	// Blame and Detail are set for ResultFailed.
	Blame  Blame
	Detail string
	// Checkpoint is set for ResultCheckpointed.
	Checkpoint []byte
	// Reason is set for ResultLost.
	Reason Reason
	// Load is nil when the endpoint reported none.
	Load *Load
	// Elapsed is how long the attempt took.
	Elapsed time.Duration
}
