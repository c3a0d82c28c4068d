package holder

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/account"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// JobRequestKind is the kind of a JobRequest.
type JobRequestKind string

// Kinds of requests.
const (
	JobRequestState   JobRequestKind = "state"
	JobRequestCancel  JobRequestKind = "cancel"
	JobRequestWaiting JobRequestKind = "waiting"
	JobRequestJobs    JobRequestKind = "jobs"
	JobRequestPlace   JobRequestKind = "place"
	JobRequestBacklog JobRequestKind = "backlog"
)

// JobRequest is a caller's request about a job or a queue.
type JobRequest struct {
	Kind JobRequestKind
	// Caller decides which jobs the request may be about: those of another account do not exist for it.
	Caller  account.Caller
	Job     fleet.JobID
	Service fleet.ServiceID
	Queue   fleet.QueueID
	// Planned is the job to place.
	Planned *fleet.Job
	// Account is the client account that JobRequestBacklog is about; empty for all.
	Account  fleet.ClientAccountID
	Deadline time.Time
	// Reply receives the outcome. It must not block.
	Reply func(Reply)
}

// ReplyKind classifies a reply.
type ReplyKind string

// Kinds of replies.
const (
	ReplyFound ReplyKind = "found"
	// ReplyNotFound means that no such job exists.
	ReplyNotFound ReplyKind = "gone"
	// ReplyUnavailable means that the answer cannot be known now. Nothing was changed.
	ReplyUnavailable ReplyKind = "unavailable"
	// ReplyUnknown means that a cancellation may or may not take effect.
	ReplyUnknown ReplyKind = "unknown"
)

// Reply answers a JobRequest.
type Reply struct {
	Kind  ReplyKind
	State fleet.JobState
	// Account is the client account of the job.
	Account fleet.ClientAccountID
	Count   int
	Jobs    []shard.JobStatus
	// Placement answers JobRequestPlace.
	Placement shard.Placement
	// Backlog answers JobRequestBacklog.
	Backlog shard.Backlog
	// Source is where the answer came from, or what was unavailable, for logs and errors.
	Source string
}
