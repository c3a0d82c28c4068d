package shard

import (
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// StepID identifies one step of one occurrence of a job.
type StepID struct {
	Job        fleet.JobID
	Occurrence fleet.Occurrence
	Step       fleet.StepIndex
}

// AdviceRequest asks which endpoints may run a step.
type AdviceRequest struct {
	Service   fleet.ServiceID
	Token     fleet.FencingToken
	Step      StepID
	Endpoints []fleet.EndpointID
}

// Advice is the response to an AdviceRequest.
type Advice struct {
	Request AdviceRequest
	// Tickets holds a ticket for each endpoint that may run the step. A requested endpoint that is missing may
	// not run it.
	Tickets map[fleet.EndpointID]Ticket
	// ValidUntil is when the tickets expire, on this entry's clock.
	ValidUntil time.Time
	// Failed is set when there was no response; the request may be repeated.
	Failed bool
	// Incomplete is set when a part of the response could not be read, so that a missing endpoint says nothing.
	Incomplete bool
}

const (
	// maxAdviceEndpoints is the limit of endpoints in one request. A job's latency objective includes the time
	// of one call for 30 endpoints.
	maxAdviceEndpoints = 30
	// ticketRenewBefore is how long before their expiry tickets are requested again.
	ticketRenewBefore = 500 * time.Millisecond
	// adviceBackoff is the pause before the next request for a step after a request that failed, after a rejected
	// ticket, or while there is no endpoint to ask about.
	adviceBackoff = 400 * time.Millisecond
	// maxAdvicePending is the limit of requests in flight: the advice service handles one call at a time.
	maxAdvicePending = 4
)

// stepAdvice holds the tickets of one step and the state of its requests.
type stepAdvice struct {
	pending bool
	retryAt time.Time
	tickets map[fleet.EndpointProcess]heldTicket
	// denied holds the processes that may not run the step, which does not change.
	denied map[fleet.EndpointProcess]bool
}

type heldTicket struct {
	ticket    Ticket
	expiresAt time.Time
}

// ticket returns the ticket of a worker for a step, and false when there is no valid one.
func (e *Engine) ticket(now time.Time, id StepID, w *worker) (Ticket, bool) {
	a := e.advice[id]
	if a == nil {
		return "", false
	}
	t, ok := a.tickets[w.Process()]
	return t.ticket, ok && now.Before(t.expiresAt)
}

// requestAdvice requests tickets for the waiting steps that need them, also for steps that still wait for
// earlier ones.
func (e *Engine) requestAdvice(now time.Time) {
	for _, key := range e.ticketedKeys() {
		o := e.active[key]
		if now.Before(o.Job.Due(o.Number).Add(-adviceLead)) {
			continue
		}
		for s := range o.Tasks {
			id := StepID{key.Job, key.Occurrence, fleet.StepIndex(s)}
			if o.Remaining(id.Step) == 0 || !waiting(o.Tasks[s]) {
				continue
			}
			if e.advicePending >= maxAdvicePending {
				return
			}
			e.requestStepAdvice(now, id, o.Job.Steps[s])
		}
	}
}

// adviceLead is how long before a scheduled job is due its tickets are requested.
const adviceLead = 2 * time.Second

// ticketedKeys returns the active occurrences in queues that need tickets, the earliest due first.
func (e *Engine) ticketedKeys() []job.Key {
	var keys []job.Key
	needed := e.ticketed
	for _, p := range e.policies {
		needed = needed || p.NeedsTickets
	}
	if !needed {
		return nil
	}
	for key, o := range e.active {
		if e.policy(o.Job).NeedsTickets {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b job.Key) int {
		x, y := e.active[a], e.active[b]
		if c := x.Job.Due(x.Number).Compare(y.Job.Due(y.Number)); c != 0 {
			return c
		}
		return compareKeys(a, b)
	})
	return keys
}

func (e *Engine) requestStepAdvice(now time.Time, id StepID, step fleet.Step) {
	a := e.advice[id]
	if a == nil {
		a = &stepAdvice{tickets: map[fleet.EndpointProcess]heldTicket{}, denied: map[fleet.EndpointProcess]bool{}}
		e.advice[id] = a
	}
	if a.pending || now.Before(a.retryAt) {
		return
	}
	request := AdviceRequest{Service: e.Service, Token: e.Epoch, Step: id}
	for _, w := range e.sorted() {
		if !w.usable(now) || !w.hasLabel(step.RequiredLabel) {
			continue
		}
		switch {
		case now.Add(ticketRenewBefore).Before(a.tickets[w.Process()].expiresAt):
			if step.CountedDemand().Fits(w.free()) {
				return // The step can go on there.
			}
		case !a.denied[w.Process()] && len(request.Endpoints) < maxAdviceEndpoints:
			request.Endpoints = append(request.Endpoints, w.Endpoint)
		}
	}
	if len(request.Endpoints) == 0 {
		a.retryAt = now.Add(adviceBackoff) // Each search goes through all endpoints.
		return
	}
	a.pending = true
	e.advicePending++
	e.adviceRequests = append(e.adviceRequests, request)
}

// AdviceRequests returns the requests to be sent, each once.
func (e *Engine) AdviceRequests() []AdviceRequest {
	out := e.adviceRequests
	e.adviceRequests = nil
	return out
}

// ApplyAdvice processes the response to a request.
func (e *Engine) ApplyAdvice(now time.Time, answer Advice) {
	e.advicePending--
	a := e.advice[answer.Request.Step]
	if a == nil {
		return
	}
	a.pending = false
	if answer.Failed || answer.Incomplete {
		a.retryAt = now.Add(adviceBackoff)
	}
	for _, id := range answer.Request.Endpoints {
		w := e.workers[id]
		if w == nil {
			continue
		}
		if t, ok := answer.Tickets[id]; ok {
			a.tickets[w.Process()] = heldTicket{t, answer.ValidUntil}
		} else if !answer.Failed && !answer.Incomplete {
			a.denied[w.Process()] = true
		}
	}
}

// dropTicket removes a ticket that an endpoint rejected.
func (e *Engine) dropTicket(now time.Time, id fleet.TaskID, w *worker) {
	if a := e.advice[StepID{id.Job, id.Occurrence, id.Step}]; a != nil {
		delete(a.tickets, w.Process())
		a.retryAt = now.Add(adviceBackoff)
	}
}

// deleteAdvice removes the tickets of an ended occurrence.
func (e *Engine) deleteAdvice(o *job.Occurrence) {
	for s := range o.Tasks {
		delete(e.advice, StepID{o.Job.ID, o.Number, fleet.StepIndex(s)})
	}
}
