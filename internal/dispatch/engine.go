// Package dispatch schedules the requests of callers on endpoints and returns their outcomes. The Engine
// makes the decisions; the Dispatcher is the duty that feeds it with events and carries its decisions
// out.
package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/admission"
	"github.com/mimosawharf/mimosawharf/internal/estimate"
	"github.com/mimosawharf/mimosawharf/internal/machine"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/retry"
	"github.com/mimosawharf/mimosawharf/internal/routing"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// refusalRetry is the minimum retry-after hint of refusals for which a later request may succeed.
const refusalRetry = 500 * time.Millisecond

// Engine makes the scheduling decisions for the requests at this entry. It has no clock and performs no
// I/O; one goroutine owns it.
type Engine struct {
	// Queues, Router and Tickets are set before use.
	Queues  *admission.Queues
	Router  *routing.Router
	Tickets *ticket.Book
	// NewEngine sets Quotas, Estimates and Retries to working defaults.
	Quotas    *admission.Quotas
	Estimates *estimate.Estimator
	Retries   *retry.Budget
	// MaxAttempts bounds the number of attempts of one request.
	MaxAttempts fleet.Attempt
	// MaxCalls bounds the number of attempts in flight.
	MaxCalls int
	// LongPercent is the share of the slots that is guaranteed to long work, with a lag of LongLag.
	LongPercent fleet.Percent
	LongLag     time.Duration

	view *fleet.View
	// pools holds the pools that have or had a service, waiting those with queued requests.
	pools map[fleet.PoolID]*poolState
	// order lists the ids of the pools in ascending order.
	order   []fleet.PoolID
	waiting map[fleet.PoolID]*poolState
	states  *machine.Machine[request.State, request.Event]
	work    map[workKey]*request.Work
	groups  map[groupKey]map[*request.Work]bool
	tickets map[ticket.ID]*request.Work
	calls   map[CallID]*call
	running map[*request.Work]*call
	timers  *timers
	// ticketDeadlines holds the deadlines of the ticketed requests in flight.
	ticketDeadlines *timers
	loads           loads
	// acknowledged is the cached result of AcknowledgedRevision, valid while acknowledgedValid is set.
	// draining lists the draining VMs of the view.
	acknowledged      fleet.TableRevision
	acknowledgedValid bool
	draining          []fleet.VM
	lastCall          CallID
	stopping          bool
	leaving           []fleet.VMID
	// reported holds the pools with waiting short work in the last loan report, requestedPools those for
	// which the last report of a peer requested slots.
	reported       map[fleet.PoolID]*poolState
	requestedPools map[fleet.EntryID][]*poolState
	out            Actions
}

// workKey identifies a request within its client account.
type workKey struct {
	account fleet.ClientAccountID
	id      fleet.RequestID
}

// groupKey identifies a group of requests within its client account.
type groupKey struct {
	account fleet.ClientAccountID
	group   fleet.RequestGroup
}

// call is an attempt in flight.
type call struct {
	work    *request.Work
	target  routing.Target
	attempt routing.Attempt
	started time.Time
	urgent  bool
	// set and index locate a long call in the sets of its pool; set is nil once a checkpoint was
	// requested.
	set   *callSet
	index int
}

// NewEngine returns an engine with an empty view of the fleet.
func NewEngine(queues *admission.Queues, router *routing.Router, tickets *ticket.Book, maxCalls int) *Engine {
	return &Engine{
		Queues:          queues,
		Router:          router,
		Tickets:         tickets,
		Quotas:          &admission.Quotas{},
		Estimates:       &estimate.Estimator{},
		Retries:         &retry.Budget{Percent: 10, Random: rand.New(rand.NewPCG(1, 1))},
		MaxAttempts:     3,
		MaxCalls:        maxCalls,
		LongPercent:     25,
		LongLag:         10 * time.Second,
		view:            fleet.NewView(),
		pools:           map[fleet.PoolID]*poolState{},
		waiting:         map[fleet.PoolID]*poolState{},
		states:          request.NewMachine(),
		work:            map[workKey]*request.Work{},
		groups:          map[groupKey]map[*request.Work]bool{},
		tickets:         map[ticket.ID]*request.Work{},
		calls:           map[CallID]*call{},
		running:         map[*request.Work]*call{},
		timers:          newTimers(),
		ticketDeadlines: newTimers(),
		loads:           newLoads(),
		reported:        map[fleet.PoolID]*poolState{},
		requestedPools:  map[fleet.EntryID][]*poolState{},
	}
}

// Take returns the decisions made since the last call of Take.
func (e *Engine) Take() Actions {
	out := e.out
	e.out = Actions{}
	return out
}

// SetView replaces the engine's view of the fleet.
func (e *Engine) SetView(now time.Time, view *fleet.View, entriesInZone int) {
	e.view = view
	e.forgetLeaving()
	e.countVMs()
	e.Quotas.Entries = max(e.Quotas.Entries, entriesInZone)
	e.Router.Update(view, entriesInZone)
	for _, p := range e.pools {
		p.services = p.services[:0]
	}
	for id, s := range view.Configuration.Services {
		p := e.pools[s.Pool]
		if p == nil {
			p = &poolState{id: s.Pool, creditAt: now, loanRequests: map[fleet.EntryID]loanRequest{}}
			e.pools[s.Pool] = p
		}
		p.services = append(p.services, id)
	}
	e.order = slices.Sorted(maps.Keys(e.pools))
	for _, p := range e.pools {
		slices.Sort(p.services)
		if e.waitingIn(p, fleet.Classes()...) > 0 {
			e.waiting[p.id] = p
		}
	}
	e.dispatchWaiting(now)
}

// Submit handles a new request of a caller.
func (e *Engine) Submit(now time.Time, r *request.Request, reply request.ReplyID) {
	w := &request.Work{Request: r, State: request.StateReceived, Replies: []request.ReplyID{reply}}
	reason := e.classify(r)
	// The ticket is redeemed first, so that a refusal for any reason is final.
	if !e.redeem(now, w, reason) {
		return
	}
	if reason != "" {
		e.refuse(w, reason, 0)
		return
	}
	e.admit(now, w)
}

// classify sets the fields of a request that the configuration determines, or returns why the request
// cannot run.
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
	account := e.view.Configuration.Accounts[w.Request.Account]
	w.Expected = e.Estimates.Expected(w.Request.Service, e.ruleOf(w))
	switch {
	case e.stopping:
		e.refuse(w, request.ReasonStopping, refusalRetry)
		return
	case e.work[keyOf(w)] != nil:
		e.refuse(w, request.ReasonDuplicate, 0)
		return
	case !e.Router.HasEndpoints(e.poolOf(w)):
		e.refuse(w, request.ReasonNoEndpoint, refusalRetry)
		return
	}
	if wait, late := e.missesDeadline(now, w, account.Weight); late {
		e.refuse(w, request.ReasonDeadline, max(wait, refusalRetry))
		return
	}
	if wait, ok := e.Quotas.Take(now, w.Request.Account, account.Quota); !ok {
		e.refuse(w, request.ReasonQuota, wait)
		return
	}
	e.register(w)
	e.fire(w, request.EventQueue)
	e.timers.set(w, w.Request.Deadline)
	for _, out := range e.Queues.Offer(now, w, account.Weight) {
		e.endQueued(out, request.ReasonQueueFull)
	}
	e.dispatchPool(now, e.pools[e.poolOf(w)])
}

// missesDeadline returns the expected wait of work and whether it would miss its deadline. Only observed
// run times are used: a declared one that is far too long would get its request type refused forever.
func (e *Engine) missesDeadline(now time.Time, w *request.Work, weight fleet.Weight) (time.Duration, bool) {
	slots, _ := e.Router.Slots(e.poolOf(w))
	left := w.Request.Deadline.Sub(now)
	if left <= 0 {
		return 0, true
	}
	if slots == 0 || !e.Estimates.IsObserved(w.Request.Service, w.Request.Type) {
		return 0, false
	}
	wait := e.Queues.ExpectedWait(w, weight, slots)
	return wait, wait+w.Expected > left
}

func (e *Engine) register(w *request.Work) {
	e.work[keyOf(w)] = w
	if w.Request.Group == "" {
		return
	}
	key := groupKey{w.Request.Account, w.Request.Group}
	if e.groups[key] == nil {
		e.groups[key] = map[*request.Work]bool{}
	}
	e.groups[key][w] = true
}

// unregister removes a request that has ended.
func (e *Engine) unregister(w *request.Work) {
	e.timers.remove(w)
	if e.work[keyOf(w)] != w {
		return
	}
	delete(e.work, keyOf(w))
	e.Quotas.Done(w.Request.Account)
	key := groupKey{w.Request.Account, w.Request.Group}
	delete(e.groups[key], w)
	if len(e.groups[key]) == 0 {
		delete(e.groups, key)
	}
}

func (e *Engine) send(now time.Time, w *request.Work, target routing.Target, attempt routing.Attempt) {
	e.fire(w, request.EventSend)
	e.lastCall++
	w.Attempts++
	w.Tried = append(w.Tried, target.Endpoint)
	e.loads.started(now, w)
	if w.FirstStart.IsZero() {
		w.FirstStart = now
		e.Retries.First()
	}
	c := &call{work: w, target: target, attempt: attempt, started: now, urgent: w.Request.Class == fleet.ClassUrgent}
	e.calls[e.lastCall], e.running[w] = c, c
	if attempt.Long {
		e.timers.remove(w)
		e.pools[target.Pool].addLong(c)
	} else {
		e.timers.set(w, now.Add(e.Estimates.StragglerBound(w.Request.Service, e.ruleOf(w))))
	}
	e.Router.Started(target.Endpoint, attempt)
	e.out.Sends = append(e.out.Sends, Send{
		Call:       e.lastCall,
		Target:     target,
		Request:    w.Request,
		Attempt:    w.Attempts,
		Checkpoint: w.Checkpoint,
		Timeout:    callTimeout(now, w),
	})
}

// Tick handles the deadlines, retries, stragglers, loans and probes that are due, and drops expired
// tickets.
func (e *Engine) Tick(now time.Time) {
	e.Tickets.Expire(now)
	e.timeOutTicketed(now)
	e.Router.Tick(now)
	for w := e.timers.due(now); w != nil; w = e.timers.due(now) {
		switch {
		case w.State == request.StateRunning:
			e.reclassify(now, w)
		case !now.Before(w.Request.Deadline):
			e.Queues.Remove(w)
			e.endQueued(w, request.ReasonDeadline)
		default:
			e.Queues.Requeue(now, w, e.weightOf(w))
			e.timers.set(w, w.Request.Deadline)
			e.dispatchPool(now, e.pools[e.poolOf(w)])
		}
	}
	e.dispatchWaiting(now)
}
