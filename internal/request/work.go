package request

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// ReplyID names a caller who waits for an outcome at this entry.
type ReplyID uint64

// Work is a request on its way through an entry. The dispatcher owns it.
type Work struct {
	Request *Request
	State   State
	// Expected is how long a run is expected to take.
	Expected time.Duration
	// Queued is when the request entered its queue last.
	Queued time.Time
	// FirstStart is when the request was sent to an endpoint first; it is zero before that.
	FirstStart time.Time
	// Attempts counts the attempts that were sent to an endpoint.
	Attempts fleet.Attempt
	// Tried lists the endpoints that got an attempt; none of them gets another one.
	Tried []fleet.EndpointID
	// FailedOn lists the endpoints on which the request failed.
	FailedOn []fleet.EndpointID
	// MayHaveRun says that an attempt ran or may have run, at least in part. The request is then
	// never refused as not-run.
	MayHaveRun bool
	// Ran is how long the request ran before its last checkpoint.
	Ran time.Duration
	// Checkpoint is where the next attempt resumes; it is nil for a new run.
	Checkpoint []byte
	// Replies are the callers who wait for the outcome.
	Replies []ReplyID
	// Sequence is the sequence of the request's ticket, 0 without one.
	Sequence fleet.TicketSequence
	// Incarnation is the incarnation that issued the request's ticket, empty without one.
	Incarnation fleet.Incarnation
	// NotBefore is when a retry may be sent.
	NotBefore time.Time
	// CancelRequested says that the endpoint was asked to stop the running attempt.
	CancelRequested bool
	// CheckpointRequested says that the endpoint was asked to checkpoint the running attempt.
	CheckpointRequested bool
}
