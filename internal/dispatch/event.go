package dispatch

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/routing"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// CallID identifies one attempt at an endpoint within the dispatcher.
type CallID uint64

// Event is an input of the dispatcher.
type Event interface{ isEvent() }

// Submitted is a request from a caller. Exactly one outcome is pushed on Reply.
type Submitted struct {
	Request *request.Request
	Reply   OutcomeReceiver
}

// AttemptEnded is the result of an attempt.
type AttemptEnded struct {
	Call   CallID
	Result request.Result
}

// TicketsRequested requests tickets for an account.
type TicketsRequested struct {
	Account fleet.ClientAccountID
	Count   int
	Reply   *ring.Ring[[][]byte]
}

// CancellationRequested requests the cancellation of requests of an account, by id or by group.
type CancellationRequested struct {
	Account fleet.ClientAccountID
	IDs     []fleet.RequestID
	Group   fleet.RequestGroup
	// Reply is nil when nobody waits.
	Reply *ring.Ring[CancelCount]
}

// CancelCount counts the requests that a cancellation affected.
type CancelCount struct {
	Dequeued int
	Stopping int
}

// ViewChanged reports that a new view of the fleet was published.
type ViewChanged struct{}

// EndpointReported is a load report that an endpoint sent outside an attempt.
type EndpointReported struct {
	Endpoint fleet.EndpointID
	Load     request.Load
}

// CallerLeft reports that the caller of a request no longer waits.
type CallerLeft struct {
	Account fleet.ClientAccountID
	ID      fleet.RequestID
}

// EntriesChanged lists the live entries of each zone, this entry included. A zone without a live entry is
// left out.
type EntriesChanged struct {
	Live map[fleet.ZoneID][]fleet.EntryID
}

// LoanReportRequested requests the loan report for peers.
type LoanReportRequested struct {
	Reply LoanReportReceiver
}

// LoanReportReceiver receives the loan report for peers.
type LoanReportReceiver interface {
	Push(LoanReport) error
}

// StopRequested makes the dispatcher refuse new work; requests in flight finish.
type StopRequested struct{}

func (Submitted) isEvent()             {}
func (AttemptEnded) isEvent()          {}
func (TicketsRequested) isEvent()      {}
func (CancellationRequested) isEvent() {}
func (ViewChanged) isEvent()           {}
func (EndpointReported) isEvent()      {}
func (CallerLeft) isEvent()            {}
func (EntriesChanged) isEvent()        {}
func (LoanReportRequested) isEvent()   {}
func (StopRequested) isEvent()         {}

// Send starts an attempt at an endpoint.
type Send struct {
	Call       CallID
	Target     routing.Target
	Request    *request.Request
	Attempt    fleet.Attempt
	Checkpoint []byte
	Timeout    time.Duration
}

// ControlAction is what an endpoint is asked to do with a running request.
type ControlAction string

// Control actions.
const (
	ControlCheckpoint ControlAction = "checkpoint"
	ControlThrottle   ControlAction = "throttle"
	ControlResume     ControlAction = "resume"
	ControlStop       ControlAction = "stop"
)

// Control asks an endpoint to act on a running request.
type Control struct {
	Target  routing.Target
	Account fleet.ClientAccountID
	Request fleet.RequestID
	Action  ControlAction
}

// Reply is the outcome for a waiting caller.
type Reply struct {
	ID      request.ReplyID
	Outcome request.Outcome
}

// Actions are the decisions of the engine; the dispatcher carries them out.
type Actions struct {
	Sends    []Send
	Controls []Control
	Replies  []Reply
	// Grants are loans to peers; Returns are borrowed slots that this entry gives back before their loans
	// expire.
	Grants  []LoanGrant
	Returns []routing.Loan
	// ReportSoon is set when peers should be told at once how much short work waits.
	ReportSoon bool
}
