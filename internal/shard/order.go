package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// OrderKind is the action that an order requests.
type OrderKind string

// Kinds of orders.
const (
	// OrderHold renews the lease of all runs of an endpoint and lists its runs and ends.
	OrderHold  OrderKind = "hold"
	OrderStart OrderKind = "start"
	OrderStop  OrderKind = "stop"
	// OrderPace limits the share of time during which a task works.
	OrderPace OrderKind = "pace"
)

// Ticket authorizes an endpoint to run a step.
type Ticket string

// Order is one call to an endpoint.
type Order struct {
	Kind    OrderKind
	Service fleet.ServiceID
	Process fleet.EndpointProcess
	Address fleet.Address
	// Epoch is the epoch of the holder's lease. Token is the epoch plus the number of processes that the holder
	// had discarded when it learned of this one.
	Epoch, Token fleet.FencingToken

	// Task and Run are set for starts, stops and paces, Payload and Checkpoint for starts only.
	Task       fleet.TaskID
	Run        fleet.RunNumber
	Payload    string
	Checkpoint fleet.Checkpoint
	// Ticket is set for starts in queues that need tickets.
	Ticket Ticket
	// Percent is the share of time that a pace order allows.
	Percent int

	// Deadline is the end of the lease on the endpoint's clock; 0 leaves the lease unchanged.
	Deadline time.Duration
	// Acknowledged is the last end that need not be listed again.
	Acknowledged fleet.EndCursor
	// Wait is how long the endpoint may wait for an end before it answers a hold.
	Wait time.Duration
}

// PayloadBytes returns the size of what the order carries for its task.
func (o *Order) PayloadBytes() fleet.Bytes { return fleet.Bytes(len(o.Payload) + len(o.Checkpoint)) }

// Answer classifies the response to an order.
type Answer string

// Answers to orders.
const (
	AnswerDone Answer = "done"
	// AnswerUnknown means that the order may have been executed, or may still be.
	AnswerUnknown Answer = "unknown"
	// AnswerUnsent means that the order did not leave this process, so it is never executed.
	AnswerUnsent Answer = "unsent"
	// AnswerBusy means that an unhealthy endpoint did not execute the order.
	AnswerBusy Answer = "busy"
	// AnswerFenced means that the endpoint has seen a higher token.
	AnswerFenced Answer = "fenced"
	// AnswerOld means that the run, or a later one, has ended on the endpoint.
	AnswerOld Answer = "old"
	// AnswerLate means that the deadline had passed.
	AnswerLate Answer = "late"
	// AnswerNoRoom means that the endpoint has no capacity left.
	AnswerNoRoom Answer = "no-room"
	// AnswerNoTicket means that the endpoint needs a valid ticket for the step.
	AnswerNoTicket Answer = "no-ticket"
	// AnswerInvalid means that the endpoint rejects the order as invalid.
	AnswerInvalid Answer = "invalid"
	// AnswerGone means that another process listens at the address.
	AnswerGone Answer = "gone"
)

// isRejection reports whether the endpoint, or this process, certainly did not execute a start and never will.
func (a Answer) isRejection() bool {
	switch a {
	case AnswerUnsent, AnswerBusy, AnswerFenced, AnswerOld, AnswerLate, AnswerNoRoom, AnswerNoTicket, AnswerInvalid, AnswerGone:
		return true
	}
	return false
}

// ListedRun is a run that an endpoint lists as executing.
type ListedRun struct {
	Task       fleet.TaskID
	Run        fleet.RunNumber
	Checkpoint fleet.Checkpoint
	// Progress is in percent.
	Progress int
	// Load is the tail latency of a serving task in milliseconds, or the processor use of another task in
	// millicores.
	Load int64
}

// ListedEnd is the end of a run as an endpoint lists it.
type ListedEnd struct {
	Number     fleet.EndCursor
	Task       fleet.TaskID
	Run        fleet.RunNumber
	How        fleet.RunEnd
	Checkpoint fleet.Checkpoint
}

// Result is the response to an order.
type Result struct {
	// Stale is set for an order that was not sent because it had waited for too long at an endpoint that answers: the
	// holder does not keep up.
	Stale  bool
	Order  Order
	Answer Answer
	// Clock is the endpoint's monotonic clock; 0 when the answer has none.
	Clock time.Duration
	// StartMillis is the start time of the process that answered, in Unix milliseconds; 0 when the answer has
	// none. Only the answers to renewals have one.
	StartMillis int64
	// SentAt is when the order was sent.
	SentAt  time.Time
	Running []ListedRun
	Ends    []ListedEnd
	// MoreEnds is set when Ends may lack the latest ends.
	MoreEnds bool
}

// Orders returns the orders to be sent, each once.
func (e *Engine) Orders() []Order {
	out := e.out
	e.out = nil
	return out
}
