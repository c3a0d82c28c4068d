package holder

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/allowance"
	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/internal/follow"
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

// RoundObserver receives the time that a round of the scheduler took, without the wait for events, and how many events
// were waiting at its end.
type RoundObserver interface {
	RoundEnded(took time.Duration, waiting int)
}

// Times of the scheduler.
const (
	// tickInterval is how often leases, stalls and claims are checked.
	tickInterval = 100 * time.Millisecond
	// holderValidity is how long a holder grants leases to endpoints after its last renewal of the service's lease
	// that took effect. A new holder waits for it, and for the leases, at endpoints that it cannot reach: 6.3 s in all.
	// A lasting task has to run again within 9 s, of which up to 2 s pass before a holder has noticed and stored that
	// an endpoint is silent, and within 7 s of the loss of the last holder, of which 0.4 s pass until the next one has
	// seen its last renewal.
	holderValidity = 2 * time.Second
	// holderPatience is how long a holder that cannot renew keeps what it knows of the service. It grants nothing
	// meanwhile and goes on when a renewal takes effect.
	holderPatience = 7 * time.Second
	// boundsInterval is the shortest time between renewals that are sent because the bounds of leases have changed.
	boundsInterval = 200 * time.Millisecond
	// claimDelay is how long an entry collects the rows of others after its start before it claims leases.
	claimDelay = 800 * time.Millisecond
	// eventsPerRound bounds the events that are handled before work is placed.
	eventsPerRound = 256
	// maxReadDelay is how late a read of leases and entries may be.
	maxReadDelay = 600 * time.Millisecond
	// candidateInterval is the time between reads of leases and entries at a candidate, which has to notice a
	// lost holder within LeaseTimeout. Each read is charged.
	candidateInterval = 400 * time.Millisecond
	// otherInterval is the same at other entries, which only need the addresses of holders.
	otherInterval = 1200 * time.Millisecond
)

// MembersInterval returns the time between reads of leases and entries.
func MembersInterval(s Status) time.Duration {
	if s.Candidate || len(s.Held) > 0 {
		return candidateInterval
	}
	return otherInterval
}

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
	// Relays opens connections to other entries that pass orders on; nil where the holder calls all endpoints.
	Relays RelayDialer
	// Scope counts relayed orders; it may be nil.
	Scope tally.Scope
	// NewRegistry returns a duty that sends the endpoints, all of them first, until its context ends.
	NewRegistry func() duty.Duty
	// Intakes receive the removals of old jobs.
	Intakes [IntakeCount]*ring.Ring[IntakeEvent]
	// Advice receives the requests for advice.
	Advice *ring.Ring[shard.AdviceRequest]
	// Maintainer starts the duty that orders maintenance; nil where the platform has no VMs to maintain.
	Maintainer func(c *Chain, taken *Taken, release *ring.Ring[struct{}]) duty.Duty
	Observer   func(s fleet.ServiceID, epoch fleet.FencingToken) shard.Observer
	// Rounds observes the rounds of the scheduler.
	Rounds RoundObserver
	// Memory is what the process may use; 0 when unknown.
	Memory fleet.Bytes
	// Status is published for readiness and the status page.
	Status *ring.Latest[Status]
	// Latency is how fast the store answers.
	Latency *ring.Latest[follow.Latency]

	election *election.State
	// queued holds the services that a configuration has sent a queue to. They may have jobs.
	queued map[fleet.ServiceID]bool
	// recorded holds the services that stored rows name. They may have jobs. The map is replaced, not changed, as it is
	// published.
	recorded map[fleet.ServiceID]bool
	// endpoints is nil while the registry has not been read.
	endpoints map[fleet.EndpointID]shard.EndpointInfo
	// endpointsKnown is up to when endpoints has what was stored.
	endpointsKnown time.Time
	// stopRegistry ends the duty that sends the endpoints. It is nil while no service is held.
	stopRegistry    context.CancelFunc
	config          *Config
	held            map[fleet.DutyName]*heldDuty
	taking          map[fleet.DutyName]bool
	startedAt       time.Time
	expiryCheckedAt time.Time
	membersReadAt   time.Time
	// wakeAt is when a placement or a batch that was held back is due; zero when none was.
	wakeAt time.Time
	limits limits
	// unseen is what this entry has stored for services since their leases were last seen to be renewed. memoryDue is set
	// while the services that take no further jobs are to be published.
	unseen    map[fleet.ServiceID]fleet.Bytes
	memoryDue bool
	stopping  bool
	ctx       context.Context
}

// Name implements duty.Duty.
func (*Scheduler) Name() fleet.DutyName { return "scheduler" }

// Run implements duty.Duty.
func (s *Scheduler) Run(ctx context.Context) error {
	s.election = election.NewState(s.Self.Entry, s.Self.Incarnation)
	s.election.Millicores = s.Self.Millicores
	s.queued, s.recorded = map[fleet.ServiceID]bool{}, map[fleet.ServiceID]bool{}
	s.held, s.taking = map[fleet.DutyName]*heldDuty{}, map[fleet.DutyName]bool{}
	s.limits.book = allowance.NewBook()
	s.limits.book.MaxLedger, s.limits.book.MaxWrites, s.limits.book.MaxWritten = maxLedger, maxLedgerWrites, maxLedgerBytes
	s.unseen = map[fleet.ServiceID]fleet.Bytes{}
	s.ctx, s.startedAt = ctx, s.Clock.Now()
	next := s.startedAt
	for {
		wake := next
		if !s.wakeAt.IsZero() && s.wakeAt.Before(wake) {
			wake = s.wakeAt
		}
		timer := s.Clock.NewTimer(max(0, wake.Sub(s.Clock.Now())))
		event, ok, err := s.Inbox.PopUntil(ctx, timer.Chan())
		timer.Stop()
		if err != nil {
			return trace.Wrap(err)
		}
		began := s.Clock.Now()
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
		s.observeMemory()
		s.runDuties()
		s.Rounds.RoundEnded(s.Clock.Now().Sub(began), s.Inbox.Depth())
	}
}

func (s *Scheduler) handle(ctx context.Context, e Event) {
	now := s.Clock.Now()
	switch {
	case e.Members != nil:
		s.applyMembers(now, e.Members)
	case e.Recorded != nil:
		for _, service := range e.Recorded {
			s.record(service)
		}
	case e.Jobs != nil:
		s.applyJobs(now, e.Jobs)
	case e.Known != nil:
		s.applyKnown(e.Known)
	case e.Progress != nil:
		s.applyProgress(now, e.Progress)
	case e.Endpoints != nil:
		s.applyEndpoints(now, e.Endpoints)
	case e.Config != nil:
		s.applyConfig(e.Config)
	case e.Result != nil:
		if h := s.held[ServiceDuty(e.Result.Order.Service)]; h != nil && h.engine != nil && h.chain.Epoch == e.Result.Order.Epoch {
			h.links.direct.answered(now, e.Result.Order)
			s.applyResult(now, *e.Result)
		}
	case e.Relay != nil:
		e.Relay.routes.apply(now, e.Relay)
	case e.Advice != nil:
		if h := s.held[ServiceDuty(e.Advice.Request.Service)]; h != nil && h.engine != nil && h.chain.Epoch == e.Advice.Request.Token {
			h.engine.ApplyAdvice(now, *e.Advice)
		}
	case e.Written != nil:
		s.applyWritten(now, e.Written)
	case e.Ledger != nil:
		s.applyLedger(e.Ledger)
	case e.Taken != nil:
		s.applyTaken(ctx, now, e.Taken)
	case e.Query != nil:
		e.Query.Reply(s.answer(now, e.Query))
	case e.Stop:
		s.stopping = true
	}
}

// tick does the periodic work of all held duties.
func (s *Scheduler) tick(ctx context.Context, now time.Time) {
	for _, h := range s.sorted() {
		if h.engine != nil && now.Sub(h.confirmedAt) > holderPatience {
			s.drop(h, "no renewal took effect for too long")
			continue
		}
		if h.engine != nil {
			h.boundsDue = h.engine.BoundsDue(now)
			s.observePermission(now, h)
			s.observeKnowledge(now, h)
		}
		switch {
		case h.engine == nil:
		case h.loaded:
			h.engine.Tick(now)
			h.links.tick(now, h.engine.Knows)
		case s.endpoints != nil:
			h.engine.Renew(now)
			h.links.tick(now, h.engine.Knows)
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
