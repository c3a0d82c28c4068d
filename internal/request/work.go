package request

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// ReplyID identifies a caller that waits for an outcome at this entry.
type ReplyID uint64

// Work is the state of a request while this entry processes it. The dispatcher owns it.
type Work struct {
	Request *Request
	State   State
	// Expected is how long a run is expected to take.
	Expected time.Duration
	// Queued is when the request last entered its queue.
	Queued time.Time
	// FirstStart is when the request was first sent to an endpoint; it is zero before that.
	FirstStart time.Time
	// Attempts counts the attempts that were sent to an endpoint. A run that resumes from a checkpoint
	// belongs to the same attempt.
	Attempts fleet.Attempt
	// Tried lists the endpoints that got an attempt and must not get another one. An endpoint that
	// checkpointed its attempt is removed.
	Tried []fleet.EndpointID
	// FailedOn lists the endpoints on which the request failed.
	FailedOn []fleet.EndpointID
	// MayHaveRun is set when an attempt ran or may have run, at least in part. The request is then never
	// refused as not-run.
	MayHaveRun bool
	// Ran is how long the request ran before its last checkpoint.
	Ran time.Duration
	// Checkpoint is where the next attempt resumes; it is nil for a new run.
	Checkpoint []byte
	// Replies are the callers that wait for the outcome.
	Replies []ReplyID
	// Sequence is the sequence of the request's ticket, 0 without one.
	Sequence fleet.TicketSequence
	// Incarnation is the incarnation that issued the request's ticket, empty without one.
	Incarnation fleet.Incarnation
	// NotBefore is when a retry may be sent.
	NotBefore time.Time
	// CancelRequested is set when the endpoint was asked to stop the running attempt.
	CancelRequested bool
	// CheckpointRequested is set when the endpoint was asked to checkpoint the running attempt.
	CheckpointRequested bool
}
