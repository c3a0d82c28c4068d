// Package dispatch takes requests from callers to endpoints and outcomes back. The Engine decides; the
// Dispatcher is the duty that feeds it and carries its decisions out.
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

// refusalRetry is the retry hint of a refusal for lack of room.
const refusalRetry = 500 * time.Millisecond

// Engine decides what becomes of each request at this entry. It has no clock and does no input or
// output; one goroutine owns it.
type Engine struct {
	// Queues, Router and Tickets are set before use.
	Queues  *admission.Queues
	Router  *routing.Router
	Tickets *ticket.Book
	// Quotas, Estimates and Retries have working values from NewEngine.
	Quotas    *admission.Quotas
	Estimates *estimate.Estimator
	Retries   *retry.Budget
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts fleet.Attempt
	// MaxCalls bounds the attempts in flight.
	MaxCalls int
	// LongPercent is the share of the slots that long work is guaranteed, with a lag of LongLag.
	LongPercent fleet.Percent
	LongLag     time.Duration

	view *fleet.View
	// pools and waiting hold the pools that have a service and those with queued requests.
	pools map[fleet.PoolID]*poolState
	// order lists the pools by id.
	order   []fleet.PoolID
	waiting map[fleet.PoolID]*poolState
	states  *machine.Machine[request.State, request.Event]
	work    map[workKey]*request.Work
	groups  map[groupKey]map[*request.Work]bool
	tickets map[ticket.Name]*request.Work
	calls   map[CallID]*call
	running map[*request.Work]*call
	timers  *timers
	// overdue holds the ticketed requests by their deadlines.
	overdue *timers
	loads   loads
	// acknowledged is valid while isAcknowledged holds; draining lists the draining VMs of the view.
	acknowledged   fleet.TableRevision
	isAcknowledged bool
	draining       []fleet.VM
	lastCall       CallID
	stopping       bool
	leaving        []fleet.VMID
	// reported holds the pools that the last loan report named, askedPools those that a peer's did.
	reported   map[fleet.PoolID]*poolState
	askedPools map[fleet.EntryID][]*poolState
	out        Actions
}

// workKey names a request within its client account.
type workKey struct {
	account fleet.ClientAccountID
	id      fleet.RequestID
}

// groupKey names a group of requests within its client account.
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
	// set and place say where the pool keeps a long call; set is nil once a checkpoint was asked for.
	set   *callSet
	place int
}

// NewEngine returns an engine that knows no endpoints yet.
func NewEngine(queues *admission.Queues, router *routing.Router, tickets *ticket.Book, maxCalls int) *Engine {
	return &Engine{
		Queues:      queues,
		Router:      router,
		Tickets:     tickets,
		Quotas:      &admission.Quotas{},
		Estimates:   &estimate.Estimator{},
		Retries:     &retry.Budget{Percent: 10, Random: rand.New(rand.NewPCG(1, 1))},
		MaxAttempts: 3,
		MaxCalls:    maxCalls,
		LongPercent: 25,
		LongLag:     10 * time.Second,
		view:        fleet.NewView(),
		pools:       map[fleet.PoolID]*poolState{},
		waiting:     map[fleet.PoolID]*poolState{},
		states:      request.NewMachine(),
		work:        map[workKey]*request.Work{},
		groups:      map[groupKey]map[*request.Work]bool{},
		tickets:     map[ticket.Name]*request.Work{},
		calls:       map[CallID]*call{},
		running:     map[*request.Work]*call{},
		timers:      newTimers(),
		overdue:     newTimers(),
		loads:       newLoads(),
		reported:    map[fleet.PoolID]*poolState{},
		askedPools:  map[fleet.EntryID][]*poolState{},
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
	e.countVMs()
	e.Quotas.Entries = max(e.Quotas.Entries, entriesInZone)
	e.Router.Update(view, entriesInZone)
	for _, p := range e.pools {
		p.services = p.services[:0]
	}
	for id, s := range view.Configuration.Services {
		p := e.pools[s.Pool]
		if p == nil {
			p = &poolState{id: s.Pool, creditAt: now, asks: map[fleet.EntryID]standingAsk{}}
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
	if wait, late := e.isLate(now, w, account.Weight); late {
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

// isLate reports whether work cannot meet its deadline, and its expected wait. Only observed run
// times count: a declared one that is far too long would refuse its type forever.
func (e *Engine) isLate(now time.Time, w *request.Work, weight fleet.Weight) (time.Duration, bool) {
	slots, _ := e.Router.Slots(e.poolOf(w))
	left := w.Request.Deadline.Sub(now)
	if left <= 0 {
		return 0, true
	}
	if slots == 0 || !e.Estimates.IsObserved(w.Request.Service, w.Request.Type) {
		return 0, false
	}
	wait := e.Queues.WaitOf(w, weight, slots)
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

// unregister forgets a request that has ended.
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

// Tick acts on deadlines, retries, stragglers, loans and probes that are due, and forgets old tickets.
func (e *Engine) Tick(now time.Time) {
	e.Tickets.Expire(now)
	e.loseOverdue(now)
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
