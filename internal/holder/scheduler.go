package holder

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Starter starts a duty that runs until its context ends.
type Starter interface {
	Start(ctx context.Context, d duty.Duty)
}

// EndpointCaller sends orders to endpoints over one connection at a time. It need not be safe for
// concurrent use.
type EndpointCaller interface {
	Execute(ctx context.Context, o shard.Order) shard.Result
	Close()
}

// Times of the scheduler.
const (
	// tickInterval is how often leases, stalls and claims are checked.
	tickInterval = 100 * time.Millisecond
	// holderValidity is how long a holder continues to renew the leases of its runs while the store does
	// not answer. A new holder waits for it only at endpoints that it cannot reach itself. It covers the
	// longest outage of the store that the platform specifies.
	holderValidity = 7 * time.Second
	// claimDelay is how long an entry collects the rows of others after its start before it claims leases.
	claimDelay = 800 * time.Millisecond
	// eventsPerRound bounds the events that are handled before work is placed.
	eventsPerRound = 256
)

// Scheduler is the duty that runs the services whose leases this entry holds, and tracks who holds the
// others.
type Scheduler struct {
	// The fields are set before Run.
	Self   Identity
	Inbox  *ring.Ring[Event]
	Store  Store
	Clock  clock.Clock
	Log    *zap.Logger
	Bounds shard.Bounds
	Duties Starter
	// NewCaller returns a caller for one duty.
	NewCaller func() EndpointCaller
	// Refresh requests reads from the follower of the shared table.
	Refresh *ring.Ring[RefreshRequest]
	// Intakes receive the removals of old jobs.
	Intakes [IntakeCount]*ring.Ring[IntakeEvent]
	// Advice receives the requests for advice.
	Advice *ring.Ring[shard.AdviceRequest]
	// Maintainer starts the duty that orders maintenance; nil where the platform has no VMs to maintain.
	Maintainer func(c *Chain, taken *Taken, release *ring.Ring[struct{}]) duty.Duty
	Observer   func(s fleet.ServiceID, epoch fleet.FencingToken) shard.Observer
	// Status is published for readiness and the status page.
	Status *ring.Latest[Status]
	// Latency is how fast the store answers.
	Latency *ring.Latest[StoreLatency]

	election        *election.State
	jobs            map[fleet.JobID]*fleet.Job
	cancelled       map[fleet.JobID]bool
	endpoints       map[fleet.EndpointID]shard.EndpointInfo
	config          *Config
	held            map[fleet.DutyName]*heldDuty
	taking          map[fleet.DutyName]bool
	startedAt       time.Time
	expiryCheckedAt time.Time
	sharedReadAt    time.Time
	stopping        bool
}

// Status is what the scheduler publishes.
type Status struct {
	// Configured is set once a configuration is known.
	Configured bool
	Jobs       int
	Held       []fleet.DutyName
}

// heldDuty is a duty whose lease this entry holds.
type heldDuty struct {
	chain   *Chain
	service fleet.ServiceID
	// engine is nil for maintenance.
	engine *shard.Engine
	// previousEnd is when the leases that earlier holders granted are taken to have expired.
	previousEnd time.Time
	// loaded is set once all rows that were committed before the lease was taken are known.
	loaded   bool
	progress []*ProgressRow
	writes   *ring.Ring[Write]
	// release receives a token when the maintenance duty is to release its lease.
	release      *ring.Ring[struct{}]
	writing      bool
	batchWriting bool
	renewing     bool
	renewedAt    time.Time
	// confirmedAt is when the last renewal that took effect was sent. The next holder sees renewals only.
	confirmedAt time.Time
	releasing   bool
	links       *links
	ctx         context.Context
	cancel      context.CancelFunc
}

// Name implements duty.Duty.
func (*Scheduler) Name() fleet.DutyName { return "scheduler" }

// Run implements duty.Duty.
func (s *Scheduler) Run(ctx context.Context) error {
	s.election = election.NewState(s.Self.Entry, s.Self.Incarnation)
	s.election.Millicores = s.Self.Millicores
	s.jobs, s.cancelled = map[fleet.JobID]*fleet.Job{}, map[fleet.JobID]bool{}
	s.endpoints = map[fleet.EndpointID]shard.EndpointInfo{}
	s.held, s.taking = map[fleet.DutyName]*heldDuty{}, map[fleet.DutyName]bool{}
	s.startedAt = s.Clock.Now()
	next := s.startedAt
	for {
		timer := s.Clock.NewTimer(max(0, next.Sub(s.Clock.Now())))
		event, ok, err := s.Inbox.PopUntil(ctx, timer.Chan())
		timer.Stop()
		if err != nil {
			return trace.Wrap(err)
		}
		for n := 0; ok; n++ {
			s.handle(ctx, event)
			if n == eventsPerRound {
				break
			}
			event, ok = s.Inbox.TryPop()
		}
		if now := s.Clock.Now(); !now.Before(next) {
			s.tick(ctx, now)
			next = now.Add(tickInterval)
		}
		s.runDuties()
	}
}

func (s *Scheduler) handle(ctx context.Context, e Event) {
	now := s.Clock.Now()
	switch {
	case e.Shared != nil:
		s.applyShared(now, e.Shared)
	case e.Endpoints != nil:
		s.applyEndpoints(now, e.Endpoints)
	case e.Config != nil:
		s.applyConfig(e.Config)
	case e.Result != nil:
		if h := s.held[ServiceDuty(e.Result.Order.Service)]; h != nil && h.engine != nil && h.chain.Epoch == e.Result.Order.Epoch {
			h.links.answered(now, e.Result.Order)
			h.engine.Apply(now, *e.Result)
			if h.engine.Fenced() {
				s.drop(h, "an endpoint has seen a newer holder")
			}
		}
	case e.Advice != nil:
		if h := s.held[ServiceDuty(e.Advice.Request.Service)]; h != nil && h.engine != nil && h.chain.Epoch == e.Advice.Request.Token {
			h.engine.ApplyAdvice(now, *e.Advice)
		}
	case e.Written != nil:
		s.applyWritten(now, e.Written)
	case e.Taken != nil:
		s.applyTaken(ctx, now, e.Taken)
	case e.Loaded != nil:
		s.applyLoaded(now, e.Loaded)
	case e.Query != nil:
		e.Query.Reply(s.answer(now, e.Query))
	case e.Stop:
		s.stopping = true
	}
}

func (s *Scheduler) applyShared(now time.Time, c *SharedChange) {
	if s.sharedReadAt.IsZero() || now.Sub(s.sharedReadAt) < election.LeaseTimeout/2 {
		s.sharedReadAt = now
	} else {
		// While the table could not be read, missing renewals say nothing about other entries.
		s.election.ExcludeOutage(now.Sub(s.sharedReadAt))
		s.sharedReadAt = now
	}
	for _, l := range c.Leases {
		s.election.SetLease(now, l)
	}
	for _, n := range c.Nodes {
		s.election.SetNode(now, n)
	}
	for _, id := range c.RemovedNodes {
		delete(s.election.Nodes, id)
	}
	for _, j := range c.Jobs {
		s.accept(j)
	}
	for _, id := range c.Cancelled {
		s.cancel(now, id)
	}
	for _, id := range c.RemovedJobs {
		if j := s.jobs[id]; j != nil {
			if h := s.held[ServiceDuty(j.Service)]; h != nil && h.engine != nil && h.loaded {
				h.engine.Forget(id)
			}
		}
		delete(s.jobs, id)
		delete(s.cancelled, id)
	}
}

func (s *Scheduler) accept(j *fleet.Job) {
	if s.jobs[j.ID] != nil {
		return
	}
	s.jobs[j.ID] = j
	if h := s.held[ServiceDuty(j.Service)]; h != nil && h.engine != nil && h.loaded {
		h.engine.Accept(j)
		if s.cancelled[j.ID] {
			h.engine.Cancel(s.Clock.Now(), j.ID)
		}
	}
}

func (s *Scheduler) cancel(now time.Time, id fleet.JobID) {
	s.cancelled[id] = true
	if j := s.jobs[id]; j != nil {
		if h := s.held[ServiceDuty(j.Service)]; h != nil && h.engine != nil && h.loaded {
			h.engine.Cancel(now, id)
		}
	}
}

func (s *Scheduler) applyEndpoints(now time.Time, l *EndpointList) {
	before := s.endpoints
	if l.All {
		s.endpoints = map[fleet.EndpointID]shard.EndpointInfo{}
	}
	for _, endpoint := range l.Endpoints {
		old, known := before[endpoint.Endpoint]
		endpoint.Restarted = known && (old.Restarted || old.StartMillis != endpoint.StartMillis)
		s.endpoints[endpoint.Endpoint] = endpoint
	}
	for _, id := range l.Removed {
		delete(s.endpoints, id)
	}
	for _, h := range s.held {
		s.updateEndpoints(now, h)
	}
}

func (s *Scheduler) updateEndpoints(now time.Time, h *heldDuty) {
	if h.engine == nil {
		return
	}
	var list []shard.EndpointInfo
	for _, endpoint := range s.endpoints {
		if endpoint.Service == h.service {
			list = append(list, endpoint)
		}
	}
	h.engine.SetEndpoints(now, list)
}

func (s *Scheduler) applyConfig(c *Config) {
	if s.config != nil && c.Version <= s.config.Version {
		return
	}
	s.config = c
	for _, h := range s.held {
		s.updatePolicies(h)
	}
	s.Log.Info("scheduler: configuration in force", zap.Uint64("config-version", c.Version), zap.Int("queues", len(c.Queues)))
}

func (s *Scheduler) updatePolicies(h *heldDuty) {
	if h.engine == nil || s.config == nil {
		return
	}
	var policies []job.Policy
	for _, q := range s.config.Queues {
		if q.Service == h.service {
			policies = append(policies, q.Policy)
		}
	}
	h.engine.SetPolicies(policies)
}

// tick does the periodic work of all held duties.
func (s *Scheduler) tick(ctx context.Context, now time.Time) {
	for _, h := range s.sorted() {
		if h.engine != nil && now.Sub(h.confirmedAt) > holderValidity {
			s.drop(h, "no renewal took effect for too long")
			continue
		}
		if h.engine != nil && h.loaded {
			h.engine.Tick(now)
			h.links.addSenders(now)
			h.links.closeForgotten(h.engine.Knows)
		}
		if s.stopping {
			s.release(h)
		}
	}
	if now.Sub(s.expiryCheckedAt) >= expiryInterval {
		s.expiryCheckedAt = now
		s.expire(now)
	}
	s.claim(ctx, now)
	s.publish()
}

func (s *Scheduler) publish() {
	status := Status{Configured: s.config != nil, Jobs: len(s.jobs)}
	for _, h := range s.sorted() {
		status.Held = append(status.Held, h.chain.Duty)
	}
	s.Status.Set(status)
}

func (s *Scheduler) sorted() []*heldDuty {
	list := make([]*heldDuty, 0, len(s.held))
	for _, h := range s.held {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b *heldDuty) int {
		if a.chain.Duty < b.chain.Duty {
			return -1
		}
		return 1
	})
	return list
}
