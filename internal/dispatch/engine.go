// Package dispatch takes requests from callers to endpoints and outcomes back. The Engine decides; the
// Dispatcher is the duty that feeds it and carries its decisions out.
package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/admission"
	"github.com/mimosawharf/mimosawharf/internal/machine"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/routing"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// refusalRetry is the retry hint of a refusal for lack of room.
const refusalRetry = 500 * time.Millisecond

// Engine decides what becomes of each request at this entry. It has no clock and does no input or
// output; one goroutine owns it.
type Engine struct {
	// Queues, Router and Tickets are set before use.
	Queues  *admission.Queues
	Router  *routing.Router
	Tickets *ticket.Book
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts fleet.Attempt
	// MaxCalls bounds the attempts in flight.
	MaxCalls int

	view     *fleet.View
	states   *machine.Machine[request.State, request.Event]
	work     map[workKey]*request.Work
	tickets  map[ticket.Name]*request.Work
	calls    map[CallID]*call
	lastCall CallID
	stopping bool
	leaving  []fleet.VMID
	out      Actions
}

// workKey names a request within its client account.
type workKey struct {
	account fleet.ClientAccountID
	id      fleet.RequestID
}

// call is an attempt in flight.
type call struct {
	work   *request.Work
	target routing.Target
}

// NewEngine returns an engine that knows no endpoints yet.
func NewEngine(queues *admission.Queues, router *routing.Router, tickets *ticket.Book, maxCalls int) *Engine {
	return &Engine{
		Queues:      queues,
		Router:      router,
		Tickets:     tickets,
		MaxAttempts: 3,
		MaxCalls:    maxCalls,
		view:        fleet.NewView(),
		states:      request.NewMachine(),
		work:        map[workKey]*request.Work{},
		tickets:     map[ticket.Name]*request.Work{},
		calls:       map[CallID]*call{},
	}
}

// Take returns the decisions since the last call of Take.
func (e *Engine) Take() Actions {
	out := e.out
	e.out = Actions{}
	return out
}

// SetView replaces what the engine knows of the fleet.
func (e *Engine) SetView(now time.Time, view *fleet.View, entriesInZone int) {
	e.view = view
	e.forgetLeaving()
	e.Router.Update(view, entriesInZone)
	e.dispatch(now)
}

// Submit takes a request of a caller.
func (e *Engine) Submit(now time.Time, r *request.Request, reply request.ReplyID) {
	w := &request.Work{Request: r, State: request.StateReceived, Replies: []request.ReplyID{reply}}
	reason := e.classify(r)
	// The ticket is used up first, so that a refusal for any reason stays true.
	if !e.redeem(now, w, reason) {
		return
	}
	if reason != "" {
		e.refuse(w, reason, 0)
		return
	}
	e.admit(now, w)
}

// classify sets what the configuration says of the request, or returns why it cannot run.
func (e *Engine) classify(r *request.Request) request.Reason {
	service, ok := e.view.Configuration.Services[r.Service]
	if !ok {
		return request.ReasonUnknownService
	}
	rule, ok := service.RequestTypes[r.Type]
	if !ok {
		return request.ReasonUnknownType
	}
	r.Class = e.view.Configuration.Accounts[r.Account].ClassOf(r.Service, rule)
	r.Repeatable = rule.Repeatable
	r.Checkpointable = rule.Checkpointable
	return ""
}

func (e *Engine) admit(now time.Time, w *request.Work) {
	key := workKey{w.Request.Account, w.Request.ID}
	switch {
	case e.stopping:
		e.refuse(w, request.ReasonStopping, refusalRetry)
	case e.work[key] != nil:
		e.refuse(w, request.ReasonDuplicate, 0)
	case !e.Router.HasEndpoints(e.poolOf(w)):
		e.refuse(w, request.ReasonNoEndpoint, refusalRetry)
	case !e.Queues.Offer(now, w):
		e.refuse(w, request.ReasonQueueFull, refusalRetry)
	default:
		e.fire(w, request.EventQueue)
		e.work[key] = w
		e.dispatch(now)
	}
}

// dispatch sends queued work to endpoints while there is room.
func (e *Engine) dispatch(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(e.view.Configuration.Services)) {
		for _, class := range fleet.Classes() {
			e.dispatchQueue(now, id, class)
		}
	}
}

func (e *Engine) dispatchQueue(now time.Time, service fleet.ServiceID, class fleet.Class) {
	for len(e.calls) < e.MaxCalls {
		w := e.Queues.Peek(service, class)
		if w == nil {
			return
		}
		target, ok := e.Router.Pick(e.poolOf(w), w.Tried)
		if !ok {
			return
		}
		e.Queues.Pop(service, class)
		e.send(now, w, target)
	}
}

func (e *Engine) send(now time.Time, w *request.Work, target routing.Target) {
	e.fire(w, request.EventSend)
	e.lastCall++
	w.Attempts++
	w.Tried = append(w.Tried, target.Endpoint)
	if w.FirstStart.IsZero() {
		w.FirstStart = now
	}
	e.calls[e.lastCall] = &call{work: w, target: target}
	e.Router.Started(target.Endpoint)
	e.out.Sends = append(e.out.Sends, Send{
		Call:       e.lastCall,
		Target:     target,
		Request:    w.Request,
		Attempt:    w.Attempts,
		Checkpoint: w.Checkpoint,
		Timeout:    callTimeout(now, w),
	})
}

// Tick takes work whose deadline has passed off the queues and forgets old tickets.
func (e *Engine) Tick(now time.Time) {
	e.Tickets.Expire(now)
	e.loseOverdue(now)
	late := e.Queues.Remove(func(w *request.Work) bool { return !now.Before(w.Request.Deadline) })
	for _, w := range late {
		e.end(w, request.EventRefuse, request.NotRun(request.ReasonDeadline, refusalRetry))
	}
	e.dispatch(now)
}

// Stop makes the engine refuse new work.
func (e *Engine) Stop() { e.stopping = true }

// InFlight returns how many requests are queued or running.
func (e *Engine) InFlight() int { return len(e.work) }

// AcknowledgedRevision returns the highest table revision that this entry has applied while it has
// nothing in flight on any VM whose drain had begun by then.
func (e *Engine) AcknowledgedRevision() fleet.TableRevision {
	revision := e.view.Revision
	for _, c := range e.calls {
		vm, ok := e.view.VMs[c.target.VM]
		if ok && vm.State == fleet.VMStateDraining && fleet.TableRevision(vm.RowVersion) <= revision {
			revision = fleet.TableRevision(vm.RowVersion) - 1
		}
	}
	return revision
}

func (e *Engine) poolOf(w *request.Work) fleet.PoolID {
	return e.view.Configuration.Services[w.Request.Service].Pool
}

// refuse ends work that was never queued.
func (e *Engine) refuse(w *request.Work, reason request.Reason, retryAfter time.Duration) {
	e.end(w, request.EventRefuse, request.NotRun(reason, retryAfter))
}

// end gives work its one outcome.
func (e *Engine) end(w *request.Work, event request.Event, o request.Outcome) {
	e.fire(w, event)
	key := workKey{w.Request.Account, w.Request.ID}
	if e.work[key] == w {
		delete(e.work, key)
	}
	e.reply(w.Replies, e.endTicket(w, o))
}

func (e *Engine) reply(ids []request.ReplyID, o request.Outcome) {
	for _, id := range ids {
		e.out.Replies = append(e.out.Replies, Reply{ID: id, Outcome: o})
	}
}

// fire applies an event to the state of the work. The engine asks only for allowed events.
func (e *Engine) fire(w *request.Work, event request.Event) {
	state, err := e.states.Next(w.State, event)
	if err != nil {
		panic(err.Error())
	}
	w.State = state
}
