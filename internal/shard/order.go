package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// OrderKind is what an order asks of an endpoint.
type OrderKind string

// Kinds of orders.
const (
	// OrderHold renews the lease of everything that runs and lists runs and ends.
	OrderHold  OrderKind = "hold"
	OrderStart OrderKind = "start"
	OrderStop  OrderKind = "stop"
	// OrderPace limits the share of time at which a task works.
	OrderPace OrderKind = "pace"
)

// Ticket shows that an endpoint may run a step.
type Ticket string

// Order is one call to an endpoint.
type Order struct {
	Kind    OrderKind
	Service fleet.ServiceID
	Process fleet.EndpointProcess
	Address fleet.Address
	Token   fleet.FencingToken

	// Task, Run, Payload and Checkpoint belong to starts; stops and paces have the first two.
	Task       fleet.TaskID
	Run        fleet.RunNumber
	Payload    string
	Checkpoint fleet.Checkpoint
	// Ticket is needed where the queue's policy names the endpoints that may run a step.
	Ticket Ticket
	// Percent belongs to paces.
	Percent int

	// Deadline is the end of the lease on the endpoint's clock; 0 leaves the lease as it is.
	Deadline time.Duration
	// Acknowledged is the last end that need not be listed again.
	Acknowledged fleet.EndCursor
	// Wait is how long the endpoint may wait for an end before it answers a hold.
	Wait time.Duration
}

// Answer classifies the response to an order.
type Answer string

// Answers to orders.
const (
	AnswerDone Answer = "done"
	// AnswerUnknown means that the order may have been, or may yet be, carried out.
	AnswerUnknown Answer = "unknown"
	// AnswerUnsent means that the order did not leave this process, so it is never carried out.
	AnswerUnsent Answer = "unsent"
	// AnswerBusy means that an unhealthy endpoint did nothing.
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
	// AnswerInvalid means that the endpoint does not accept the order at all.
	AnswerInvalid Answer = "invalid"
	// AnswerGone means that another process listens at the address.
	AnswerGone Answer = "gone"
)

// ListedRun is one run in the list of an endpoint.
type ListedRun struct {
	Task       fleet.TaskID
	Run        fleet.RunNumber
	Checkpoint fleet.Checkpoint
	// Progress is in percent.
	Progress int
	// Load is the tail of a serving task in milliseconds, or the millicores in use of another task.
	Load int64
}

// ListedEnd is one end in the list of an endpoint.
type ListedEnd struct {
	Number     fleet.EndCursor
	Task       fleet.TaskID
	Run        fleet.RunNumber
	How        fleet.RunEnd
	Checkpoint fleet.Checkpoint
}

// Result is the response to an order.
type Result struct {
	Order  Order
	Answer Answer
	// Clock is the endpoint's steady clock; 0 when the answer has none.
	Clock time.Duration
	// Born is the start time of the process that answered; 0 when the answer has none.
	Born int64
	// SentAt is when the order was sent.
	SentAt  time.Time
	Running []ListedRun
	Ends    []ListedEnd
}
