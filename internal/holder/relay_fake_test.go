package holder

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

var errClosed = errors.New("connection closed")

// pipe is a connection between a holder and a relay in memory.
type pipe struct {
	batches *ring.Ring[RelayBatch]
	reports *ring.Ring[RelayReport]
	ctx     context.Context
	cancel  context.CancelFunc
	// breakAfter closes the connection after so many batches with orders, before the next one is delivered; 0 for never.
	breakAfter int
	// losesReports drops the results.
	losesReports bool
	// longest is the size of the most payload in one batch.
	longest fleet.Bytes
}

func newPipe(ctx context.Context) *pipe {
	p := &pipe{batches: ring.New[RelayBatch]("batches", 1<<14), reports: ring.New[RelayReport]("reports", 1<<14)}
	p.ctx, p.cancel = context.WithCancel(ctx)
	return p
}

// holderPipe is the holder's side.
type holderPipe struct{ *pipe }

// Send implements RelayConn.
func (p holderPipe) Send(b RelayBatch) error {
	var payload fleet.Bytes
	for _, o := range b.Orders {
		payload += o.Order.PayloadBytes()
	}
	p.longest = max(p.longest, payload)
	if len(b.Orders) > 0 && p.breakAfter > 0 {
		if p.breakAfter--; p.breakAfter == 0 {
			p.cancel()
		}
	}
	if p.ctx.Err() != nil {
		return errClosed
	}
	return p.batches.Push(b)
}

// Receive implements RelayConn.
func (p holderPipe) Receive() (RelayReport, error) { return p.reports.Pop(p.ctx) }

// Close implements RelayConn.
func (p holderPipe) Close() { p.cancel() }

// relayPipe is the relay's side.
type relayPipe struct{ *pipe }

// Send implements RelayedConn.
func (p relayPipe) Send(r RelayReport) error {
	switch {
	case p.ctx.Err() != nil:
		return errClosed
	case p.losesReports:
		return nil
	}
	return p.reports.Push(r)
}

// Receive implements RelayedConn.
func (p relayPipe) Receive() (RelayBatch, error) { return p.batches.Pop(p.ctx) }

// Close implements RelayedConn.
func (p relayPipe) Close() { p.cancel() }

// fakeRelay is an entry that relays.
type fakeRelay struct {
	host *RelayHost
	stop context.CancelFunc
	// refusesDial makes it unreachable. The other fields are those of the next pipe.
	refusesDial  bool
	breakAfter   int
	losesReports bool
	pipes        []*pipe
}

// relaySite is a service of a holder with endpoints and relays, without an engine.
type relaySite struct {
	t         *testing.T
	ctx       context.Context
	scheduler *Scheduler
	routes    *routes
	relays    map[fleet.EntryID]*fakeRelay
	mu        sync.Mutex
	// executed counts how often each run was started, by the number of the run; relayed those by a relay.
	executed, relayed map[fleet.RunNumber]int
	// unanswered are the runs whose orders endpoints do not answer.
	unanswered map[fleet.RunNumber]bool
	// payload is that of the orders.
	payload string
	results map[fleet.RunNumber][]shard.Result
}

const relayedEndpoints = 120

func newRelaySite(t *testing.T, c clock.Clock) *relaySite {
	t.Helper()
	group, ctx := duty.NewGroup(context.Background())
	t.Cleanup(func() { group.Stop(); _ = group.Wait() })
	site := &relaySite{
		t: t, ctx: ctx, relays: map[fleet.EntryID]*fakeRelay{}, executed: map[fleet.RunNumber]int{}, relayed: map[fleet.RunNumber]int{},
		unanswered: map[fleet.RunNumber]bool{}, results: map[fleet.RunNumber][]shard.Result{},
	}
	s := &Scheduler{
		Self: Identity{Entry: "holder", Zone: "z"}, Inbox: ring.NewWithReserve[Event]("events", 1<<12, 1<<14), Clock: c, Log: zap.NewNop(), Duties: group,
		NewCaller: func() EndpointCaller { return &siteCaller{site: site} }, Relays: site,
		queued: map[fleet.ServiceID]bool{"s": true}, endpoints: map[fleet.EndpointID]shard.EndpointInfo{}, election: election.NewState("holder", "life"),
	}
	for n := range relayedEndpoints {
		id := fleet.EndpointID(fmt.Sprintf("e-%03d", n))
		s.endpoints[id] = shard.EndpointInfo{Endpoint: id, Service: "s", Zone: "z", Address: fleet.Address(id)}
	}
	for n := range 4 {
		id := fleet.EntryID(fmt.Sprintf("relay-%d", n))
		s.election.SetNode(c.Now(), election.Node{Entry: id, Zone: "z", Address: fleet.Address(id)})
		r := &fakeRelay{}
		stopping, stop := context.WithCancel(ctx)
		r.host, r.stop = &RelayHost{
			Inbox: ring.New[RelayRequest]("sessions", RelayRequests), NewCaller: func() EndpointCaller { return &siteCaller{site: site, isRelay: true} },
			Duties: group, Clock: c, Log: zap.NewNop(), Stopping: stopping,
		}, stop
		group.Start(ctx, r.host)
		site.relays[id] = r
	}
	h := &heldDuty{service: "s", chain: &Chain{Duty: ServiceDuty("s"), Epoch: 1}}
	h.ctx, h.cancel = context.WithCancel(ctx)
	site.scheduler, site.routes = s, s.newRoutes(h)
	site.routes.done = func(_ time.Time, r shard.Result) { site.record(r) }
	site.routes.dialTimeout = time.Minute // so that a busy machine changes nothing
	h.links = site.routes
	return site
}

// Dial implements RelayDialer.
func (s *relaySite) Dial(_ context.Context, address fleet.Address, session RelaySession) (RelayConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.relays[fleet.EntryID(address)]
	if r.refusesDial {
		return nil, errClosed
	}
	p := newPipe(s.ctx)
	p.breakAfter, p.losesReports = r.breakAfter, r.losesReports
	r.pipes = append(r.pipes, p)
	if err := r.host.Inbox.Push(RelayRequest{Session: session, Conn: relayPipe{p}}); err != nil {
		return nil, err
	}
	return holderPipe{p}, nil
}

// siteCaller calls the endpoints of a site.
type siteCaller struct {
	site    *relaySite
	isRelay bool
}

// Execute implements EndpointCaller.
func (c *siteCaller) Execute(ctx context.Context, o shard.Order) shard.Result {
	s := c.site
	s.mu.Lock()
	s.executed[o.Run]++
	if c.isRelay {
		s.relayed[o.Run]++
	}
	isUnanswered := s.unanswered[o.Run]
	s.mu.Unlock()
	if isUnanswered {
		<-ctx.Done()
		return shard.Result{Order: o, Answer: shard.AnswerUnknown}
	}
	return shard.Result{Order: o, Answer: shard.AnswerDone, SentAt: s.scheduler.Clock.Now(), Clock: time.Second}
}

// Close implements EndpointCaller.
func (*siteCaller) Close() {}

func (s *relaySite) record(r shard.Result) {
	s.results[r.Order.Run] = append(s.results[r.Order.Run], r)
}

// send sends one order to each endpoint, with runs numbered from first.
func (s *relaySite) send(kind shard.OrderKind, first int) {
	for n := range relayedEndpoints {
		id := fleet.EndpointID(fmt.Sprintf("e-%03d", n))
		s.routes.send(shard.Order{Kind: kind, Service: "s", Epoch: 1, Process: fleet.EndpointProcess{Endpoint: id}, Address: fleet.Address(id), Run: fleet.RunNumber(first + n), Payload: s.payload})
	}
}

// run handles events as the scheduler does until a condition holds.
func (s *relaySite) run(until func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	next := s.scheduler.Clock.Now()
	for !until() {
		if time.Now().After(deadline) {
			s.t.Fatal("condition was not met within 20 s")
		}
		if now := s.scheduler.Clock.Now(); !now.Before(next) {
			s.routes.tick(now, func(fleet.EndpointID) bool { return true })
			next = now.Add(tickInterval)
		}
		ctx, cancel := context.WithTimeout(s.ctx, 10*time.Millisecond)
		e, err := s.scheduler.Inbox.Pop(ctx)
		cancel()
		if err != nil {
			continue
		}
		now := s.scheduler.Clock.Now()
		if e.Relay != nil {
			e.Relay.routes.apply(now, e.Relay)
		} else {
			s.routes.direct.answered(now, e.Result.Order)
			s.record(*e.Result)
		}
	}
}

// answered counts the orders that have a result.
func (s *relaySite) answered() int { return len(s.results) }

// count returns how many results have an answer.
func (s *relaySite) count(a shard.Answer) int {
	n := 0
	for _, list := range s.results {
		for _, r := range list {
			if r.Answer == a {
				n++
			}
		}
	}
	return n
}

func (s *relaySite) connected() bool {
	open := 0
	for _, k := range s.routes.relays {
		if k.connected {
			open++
		}
	}
	return open == 3 // 120 endpoints, at most 48 each
}

// recordingCaller records the orders that it is given.
type recordingCaller struct{ orders *ring.Ring[shard.Order] }

// Execute implements EndpointCaller.
func (c *recordingCaller) Execute(_ context.Context, o shard.Order) shard.Result {
	_ = c.orders.Push(o)
	return shard.Result{Order: o, Answer: shard.AnswerDone}
}

// Close implements EndpointCaller.
func (*recordingCaller) Close() {}
