package dispatch

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/routing"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// CallID names one attempt at an endpoint, unique within the dispatcher.
type CallID uint64

// Event is an input of the dispatcher.
type Event interface{ isEvent() }

// Submitted is a request of a caller. Exactly one outcome is pushed on Reply.
type Submitted struct {
	Request *request.Request
	Reply   OutcomeReceiver
}

// Called is the result of an attempt.
type Called struct {
	Call   CallID
	Result request.Result
}

// TicketsWanted asks for tickets of an account.
type TicketsWanted struct {
	Account fleet.ClientAccountID
	Count   int
	Reply   *ring.Ring[[][]byte]
}

// Cancelled cancels requests of an account by id or by group.
type Cancelled struct {
	Account fleet.ClientAccountID
	IDs     []fleet.RequestID
	Group   fleet.RequestGroup
	// Reply is nil when nobody waits.
	Reply *ring.Ring[CancelCount]
}

// CancelCount tells what a cancellation found.
type CancelCount struct {
	Dequeued int
	Stopping int
}

// ViewChanged says that a new view of the fleet was published.
type ViewChanged struct{}

// EndpointReported is an endpoint's own statement about itself outside an attempt.
type EndpointReported struct {
	Endpoint fleet.EndpointID
	Load     request.Load
}

// CallerLeft says that the caller of a request no longer waits.
type CallerLeft struct {
	Account fleet.ClientAccountID
	ID      fleet.RequestID
}

// EntriesChanged names the live entries of each zone, this one included. A zone without a live entry is
// left out.
type EntriesChanged struct {
	Live map[fleet.ZoneID][]fleet.EntryID
}

// LoanReportWanted asks for what to report to peers about slots.
type LoanReportWanted struct {
	Reply LoanReportReceiver
}

// LoanReportReceiver takes what this entry tells its peers about slots.
type LoanReportReceiver interface {
	Push(LoanReport) error
}

// StopRequested makes the dispatcher refuse new work; what is in flight finishes.
type StopRequested struct{}

func (Submitted) isEvent()        {}
func (Called) isEvent()           {}
func (TicketsWanted) isEvent()    {}
func (Cancelled) isEvent()        {}
func (ViewChanged) isEvent()      {}
func (EndpointReported) isEvent() {}
func (CallerLeft) isEvent()       {}
func (EntriesChanged) isEvent()   {}
func (LoanReportWanted) isEvent() {}
func (StopRequested) isEvent()    {}

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

// Reply gives an outcome to a caller who waits.
type Reply struct {
	ID      request.ReplyID
	Outcome request.Outcome
}

// Actions are what the engine decided; the dispatcher carries them out.
type Actions struct {
	Sends    []Send
	Controls []Control
	Replies  []Reply
	// Lent are loans to peers; Returns are loans that this entry gives back before they end.
	Lent    []Lent
	Returns []routing.Loan
	// ReportSoon says that peers should learn at once how much short work waits.
	ReportSoon bool
}
