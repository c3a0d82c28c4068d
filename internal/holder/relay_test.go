package holder

import (
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against orders that never end, or end twice, while relays fail in different ways: the engine waits for each.
func TestRelayedOrdersHaveOneResult(t *testing.T) {
	for _, c := range []struct {
		name string
		// before prepares the relays, between changes them after the first orders.
		before, between func(*relaySite)
		// mayBeUnknown is set where a relay may have sent orders before it was lost, mayBeDirect where the holder calls
		// endpoints itself.
		mayBeUnknown, mayBeDirect bool
	}{
		{name: "relays work"},
		{name: "no relay can be reached", before: eachRelay(func(r *fakeRelay) { r.refusesDial = true }), mayBeDirect: true},
		{name: "connections break", before: eachRelay(func(r *fakeRelay) { r.breakAfter = 2 }), mayBeUnknown: true, mayBeDirect: true},
		{name: "results are lost", before: eachRelay(func(r *fakeRelay) { r.losesReports = true }), mayBeUnknown: true, mayBeDirect: true},
		{name: "relays are killed", between: eachRelay(func(r *fakeRelay) { r.refusesDial = true; r.close() }), mayBeUnknown: true, mayBeDirect: true},
		{name: "relays restart", between: eachRelay((*fakeRelay).close), mayBeUnknown: true, mayBeDirect: true},
		{name: "relays stop as planned", between: eachRelay(func(r *fakeRelay) { r.stop() }), mayBeDirect: true},
		{name: "relays take no sessions", before: eachRelay(func(r *fakeRelay) { r.stop() }), mayBeDirect: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newRelaySite(t, clock.Real())
			if c.before != nil {
				c.before(s)
			}
			s.routes.choose(s.scheduler.Clock.Now())
			s.send(shard.OrderStart, 1)
			s.send(shard.OrderHold, 1001)
			if c.between != nil {
				s.run(func() bool { return s.answered() > relayedEndpoints/2 })
				c.between(s)
			}
			s.send(shard.OrderStop, 2001)
			s.run(func() bool { return s.answered() == 3*relayedEndpoints })
			s.send(shard.OrderStart, 3001)
			s.run(func() bool { return s.answered() == 4*relayedEndpoints })
			settled := time.Now().Add(2 * resultDelay)
			s.run(func() bool { return time.Now().After(settled) })
			s.mu.Lock()
			defer s.mu.Unlock()
			for run, list := range s.results {
				is.Equal(len(list), 1)        // one result for each order
				is.True(s.executed[run] <= 1) // no order is sent twice
				switch r := list[0]; {
				case r.Answer == shard.AnswerDone:
					is.Equal(s.executed[run], 1)
					is.True(c.mayBeDirect || s.relayed[run] == 1)
				case r.Stale: // A start that had waited for too long, on a busy machine.
					is.Equal(r.Answer, shard.AnswerUnsent)
					is.Equal(r.Order.Kind, shard.OrderStart)
					is.Equal(s.executed[run], 0)
				default:
					is.Equal(r.Answer, shard.AnswerUnknown)
					is.True(c.mayBeUnknown)
				}
			}
		})
	}
}

// Guards against messages to relays, and orders held by them, that have no bound in bytes.
func TestRelayedPayloadsAreBounded(t *testing.T) {
	const length fleet.Bytes = 256 << 10
	is := is.New(t)
	s := newRelaySite(t, clock.Real())
	s.payload = strings.Repeat("x", int(length))
	s.routes.choose(s.scheduler.Clock.Now())
	s.send(shard.OrderHold, 1)
	s.run(func() bool { return s.answered() == relayedEndpoints })
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range s.results {
		is.Equal(len(list), 1)
		is.Equal(list[0].Answer, shard.AnswerDone)
	}
	for _, r := range s.relays {
		for _, p := range r.pipes {
			is.True(p.longest < MaxRelayPayload+length)
		}
	}
}

func eachRelay(f func(*fakeRelay)) func(*relaySite) {
	return func(s *relaySite) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, r := range s.relays {
			f(r)
		}
	}
}

// close breaks all connections.
func (r *fakeRelay) close() {
	for _, p := range r.pipes {
		p.cancel()
	}
}

// Guards against an outage of a whole service after one relay was lost, and against endpoints that stay without a relay.
func TestEndpointsOfLostRelayMoveToAnother(t *testing.T) {
	is := is.New(t)
	s := newRelaySite(t, clock.Real())
	s.routes.choose(s.scheduler.Clock.Now())
	s.run(s.connected)
	var lost fleet.EntryID
	for id := range s.routes.relays {
		lost = id
	}
	s.mu.Lock()
	s.relays[lost].close()
	s.mu.Unlock()
	s.run(func() bool { return s.routes.relays[lost] == nil && s.connected() })
	s.send(shard.OrderStart, 1)
	s.run(func() bool { return s.answered() == relayedEndpoints })
	is.Equal(s.count(shard.AnswerDone), relayedEndpoints)
	is.Equal(len(s.relayed), relayedEndpoints)
	for _, entry := range s.routes.chosen {
		is.True(entry != lost)
	}
}

// Guards against endpoints that keep a relay of another zone, from a time when the entries of their own were not known.
func TestRelayOfOwnZoneReplacesOther(t *testing.T) {
	is := is.New(t)
	s := newRelaySite(t, clock.Real())
	for id, info := range s.scheduler.endpoints {
		info.Zone = "other"
		s.scheduler.endpoints[id] = info
	}
	s.routes.choose(s.scheduler.Clock.Now())
	s.send(shard.OrderStart, 1)
	s.run(func() bool { return s.answered() == relayedEndpoints })
	node := s.scheduler.election.Nodes["relay-0"]
	node.Zone = "other"
	s.scheduler.election.SetNode(s.scheduler.Clock.Now(), node)
	s.routes.choose(s.scheduler.Clock.Now())
	s.send(shard.OrderStart, 1001)
	s.run(func() bool { return s.answered() == 2*relayedEndpoints })
	is.Equal(s.count(shard.AnswerDone), 2*relayedEndpoints)
	for _, entry := range s.routes.chosen {
		is.Equal(entry, fleet.EntryID("relay-0"))
	}
}

// Guards against an order that a relay never answers: the renewals of its endpoint would end.
func TestRelayedOrderWithoutResultEnds(t *testing.T) {
	is := is.New(t)
	c := clockwork.NewFakeClock()
	s := newRelaySite(t, c)
	s.unanswered[1] = true
	s.routes.choose(c.Now())
	s.run(s.connected)
	s.send(shard.OrderStart, 1)
	s.run(func() bool {
		c.Advance(resultDelay)
		return s.answered() == relayedEndpoints-1
	})
	for range 4 {
		c.Advance(maxRelayAnswer / 4)
		s.run(func() bool { return true })
	}
	s.run(func() bool { c.Advance(resultDelay); return s.answered() == relayedEndpoints })
	is.Equal(s.results[1][0].Answer, shard.AnswerUnknown)
	is.Equal(s.count(shard.AnswerUnknown), 1)
}

// Guards against lists that seem to have been requested later than they were: runs that started in between would be
// given up.
func TestRelayedResultIsAsOldAsItsOrder(t *testing.T) {
	is := is.New(t)
	s := newRelaySite(t, clock.Real())
	s.routes.choose(s.scheduler.Clock.Now())
	s.send(shard.OrderHold, 1)
	queuedBy := s.scheduler.Clock.Now()
	s.run(func() bool { return s.answered() == relayedEndpoints })
	for _, list := range s.results {
		is.True(!list[0].SentAt.After(queuedBy))
	}
}

// newSession returns a relay's session whose endpoints answer at once.
func newSession(t *testing.T, c clock.Clock) (*relaySite, *pipe) {
	t.Helper()
	s := newRelaySite(t, c)
	p := newPipe(s.ctx)
	if err := s.relays["relay-0"].host.Inbox.Push(RelayRequest{Session: RelaySession{Service: "s"}, Conn: relayPipe{p}}); err != nil {
		t.Fatal(err)
	}
	return s, p
}

func relayed(kind shard.OrderKind, number uint64, age time.Duration) RelayOrder {
	return RelayOrder{Number: number, Age: age, Order: shard.Order{
		Kind: kind, Process: fleet.EndpointProcess{Endpoint: fleet.EndpointID(rune('a' + number))}, Address: "a", Run: fleet.RunNumber(number),
	}}
}

// collect returns the results by number once all have come.
func collect(t *testing.T, p *pipe, c *clockwork.FakeClock, count int) map[uint64]RelayResult {
	t.Helper()
	results := map[uint64]RelayResult{}
	for deadline := time.Now().Add(10 * time.Second); len(results) < count; {
		if time.Now().After(deadline) {
			t.Fatal("results are missing")
		}
		c.Advance(resultDelay)
		time.Sleep(time.Millisecond)
		for r, ok := p.reports.TryPop(); ok; r, ok = p.reports.TryPop() {
			for _, result := range r.Results {
				results[result.Number] = result
			}
		}
	}
	return results
}

// Guards against a start that a relay sends long after it was planned, because it waited at the holder, on its way or at
// the relay.
func TestStaleStartIsNotRelayed(t *testing.T) {
	is := is.New(t)
	c := clockwork.NewFakeClock()
	s, p := newSession(t, c)
	is.NoErr(p.batches.Push(RelayBatch{SentAfter: 0, Orders: []RelayOrder{
		relayed(shard.OrderStart, 1, 0), relayed(shard.OrderStart, 2, maxStartAge+time.Millisecond), relayed(shard.OrderStop, 3, time.Second),
	}}))
	results := collect(t, p, c, 3)
	is.Equal(results[1].Result.Answer, shard.AnswerDone)
	is.True(results[2].Result.Stale && results[2].Result.Answer == shard.AnswerUnsent)
	is.Equal(results[3].Result.Answer, shard.AnswerDone)
	c.Advance(time.Second)
	time.Sleep(50 * time.Millisecond)
	// It was sent a few milliseconds after the first one and has been on its way for a second.
	is.NoErr(p.batches.Push(RelayBatch{SentAfter: 50 * time.Millisecond, Orders: []RelayOrder{relayed(shard.OrderStart, 4, 0), relayed(shard.OrderStop, 5, 0)}}))
	results = collect(t, p, c, 2)
	is.True(results[4].Result.Stale && results[4].Result.Answer == shard.AnswerUnsent)
	is.Equal(results[5].Result.Answer, shard.AnswerDone)
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(s.executed[2]+s.executed[4], 0)
}

// Guards against orders that a relay still sends for a holder that has given up its lease or is gone.
func TestSessionEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	s, p := newSession(t, clock.Real())
	s.unanswered[1] = true
	is.NoErr(p.batches.Push(RelayBatch{Orders: []RelayOrder{relayed(shard.OrderStop, 1, 0), relayed(shard.OrderStop, 1, 0), relayed(shard.OrderStop, 1, 0)}}))
	executed := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.executed[1]
	}
	for executed() == 0 {
		time.Sleep(time.Millisecond)
	}
	p.cancel()
	time.Sleep(100 * time.Millisecond)
	is.Equal(executed(), 1) // the orders behind it are dropped
}

// Guards against more sessions than a relay has memory for.
func TestRelayRefusesTooManySessions(t *testing.T) {
	is := is.New(t)
	s, first := newSession(t, clock.Real())
	var last *pipe
	for range maxRelaySessions {
		last = newPipe(s.ctx)
		for s.relays["relay-0"].host.Inbox.Push(RelayRequest{Conn: relayPipe{last}}) != nil {
			time.Sleep(time.Millisecond)
		}
	}
	<-last.ctx.Done()
	is.NoErr(first.ctx.Err())
}

// Guards against ends that a process forgets although it has not listed them: a renewal that was held up on its way may
// reach the next process of an endpoint.
func TestLateRelayedRenewalAcknowledgesNothing(t *testing.T) {
	is := is.New(t)
	c := clockwork.NewFakeClock()
	caller := &recordingCaller{orders: ring.New[shard.Order]("orders", 8)}
	inbox := ring.New[*queuedOrder]("holds", 8)
	group, ctx := duty.NewGroup(t.Context())
	defer func() { group.Stop(); _ = group.Wait() }()
	done := ring.New[shard.Result]("results", 8)
	group.Start(ctx, &sender{inbox: inbox, caller: caller, clock: c, done: func(_ *queuedOrder, r shard.Result) { _ = done.Push(r) }})
	for _, step := range []struct {
		number uint64
		after  time.Duration
		want   fleet.EndCursor
	}{
		{1, 0, 0}, // no list yet
		{2, maxAckGap, 7},
		{3, maxAckGap + time.Millisecond, 0},
		{0, maxAckGap + time.Millisecond, 7}, // the holder itself sends it
	} {
		c.Advance(step.after)
		is.NoErr(inbox.Push(&queuedOrder{order: shard.Order{Kind: shard.OrderHold, Acknowledged: 7, Wait: time.Second}, at: c.Now(), number: step.number}))
		o, err := caller.orders.Pop(t.Context())
		is.NoErr(err)
		is.Equal(o.Acknowledged, step.want)
		r, err := done.Pop(t.Context())
		is.NoErr(err)
		is.Equal(r.Order.Acknowledged, fleet.EndCursor(7))
	}
}
