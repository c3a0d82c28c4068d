package shard

import (
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// StepID names one step of one occurrence of a job.
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

// Advice is the answer to a request.
type Advice struct {
	Request AdviceRequest
	// Tickets of the endpoints that may run the step. Endpoints that were asked for and are missing may not.
	Tickets map[fleet.EndpointID]Ticket
	// ValidUntil is when the tickets expire, on this entry's clock.
	ValidUntil time.Time
	// Failed is set when there was no answer; the request may be repeated.
	Failed bool
}

const (
	// advisedEndpoints bounds the endpoints of one request. The platform counts one call on 30 endpoints
	// into a job's objective.
	advisedEndpoints = 30
	// adviceRenewal is how long before their end tickets are asked for again.
	adviceRenewal = 500 * time.Millisecond
	// advicePause is the time between requests for a step after one that failed or named no endpoint.
	advicePause = 400 * time.Millisecond
	// adviceInFlight bounds the requests under way: the service takes one call at a time.
	adviceInFlight = 4
)

// stepAdvice is what is known about one step.
type stepAdvice struct {
	asked   bool
	again   time.Time
	tickets map[fleet.EndpointProcess]ticketUse
}

type ticketUse struct {
	ticket Ticket
	until  time.Time
}

// ticket returns the ticket of a worker for a step, and false when there is none.
func (e *Engine) ticket(now time.Time, id StepID, w *worker) (Ticket, bool) {
	a := e.advice[id]
	if a == nil {
		return "", false
	}
	t, ok := a.tickets[w.Process()]
	return t.ticket, ok && now.Before(t.until)
}

// askAdvice asks for the steps whose queue needs it: for those that may start, and ahead for those that
// follow.
func (e *Engine) askAdvice(now time.Time) {
	for _, key := range e.advisedKeys() {
		o := e.active[key]
		if now.Before(o.Job.Due(o.Number).Add(-adviceAhead)) {
			continue
		}
		for s := range o.Tasks {
			id := StepID{key.Job, key.Occurrence, fleet.StepIndex(s)}
			if o.Open(id.Step) == 0 || !waiting(o.Tasks[s]) {
				continue
			}
			if e.adviceAsked >= adviceInFlight {
				return
			}
			e.askStep(now, id, o.Job.Steps[s])
		}
	}
}

// adviceAhead is how long before it is due a scheduled job is asked for.
const adviceAhead = 2 * time.Second

// advisedKeys returns the active occurrences of advised queues, the most urgent first.
func (e *Engine) advisedKeys() []job.Key {
	var keys []job.Key
	for key, o := range e.active {
		if e.policy(o.Job.Queue).Advised {
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

func (e *Engine) askStep(now time.Time, id StepID, step fleet.Step) {
	a := e.advice[id]
	if a == nil {
		a = &stepAdvice{tickets: map[fleet.EndpointProcess]ticketUse{}}
		e.advice[id] = a
	}
	if a.asked || now.Before(a.again) {
		return
	}
	for _, t := range a.tickets {
		if now.Add(adviceRenewal).Before(t.until) {
			return
		}
	}
	request := AdviceRequest{Service: e.Service, Token: e.Token, Step: id}
	for _, w := range e.sorted() {
		if w.usable(now) && w.hasLabel(step.RequiredLabel) && len(request.Endpoints) < advisedEndpoints {
			request.Endpoints = append(request.Endpoints, w.Endpoint)
		}
	}
	if len(request.Endpoints) == 0 {
		return
	}
	a.asked = true
	e.adviceAsked++
	e.adviceOut = append(e.adviceOut, request)
}

// AdviceRequests returns the requests that may be sent now.
func (e *Engine) AdviceRequests() []AdviceRequest {
	out := e.adviceOut
	e.adviceOut = nil
	return out
}

// TakeAdvice takes the answer to a request.
func (e *Engine) TakeAdvice(now time.Time, answer Advice) {
	e.adviceAsked--
	a := e.advice[answer.Request.Step]
	if a == nil {
		return
	}
	a.asked = false
	if answer.Failed || len(answer.Tickets) == 0 {
		a.again = now.Add(advicePause)
	}
	for _, id := range answer.Request.Endpoints {
		w := e.workers[id]
		if t, ok := answer.Tickets[id]; ok && w != nil {
			a.tickets[w.Process()] = ticketUse{t, answer.ValidUntil}
		}
	}
}

// dropTicket forgets a ticket that an endpoint did not accept.
func (e *Engine) dropTicket(now time.Time, id fleet.TaskID, w *worker) {
	if a := e.advice[StepID{id.Job, id.Occurrence, id.Step}]; a != nil {
		delete(a.tickets, w.Process())
		a.again = now.Add(advicePause)
	}
}

// forgetAdvice drops what is known of an ended occurrence.
func (e *Engine) forgetAdvice(o *job.Occurrence) {
	for s := range o.Tasks {
		delete(e.advice, StepID{o.Job.ID, o.Number, fleet.StepIndex(s)})
	}
}
