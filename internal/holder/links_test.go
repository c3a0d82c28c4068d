package holder

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// unresponsiveEndpoint is an endpoint that does not answer the orders of some runs until they are cancelled.
type unresponsiveEndpoint struct {
	clock      *clockwork.FakeClock
	unanswered map[fleet.RunNumber]bool
}

// Execute implements EndpointCaller.
func (m *unresponsiveEndpoint) Execute(ctx context.Context, o shard.Order) shard.Result {
	if m.unanswered[o.Run] {
		<-ctx.Done()
		return shard.Result{Order: o, Answer: shard.AnswerUnknown}
	}
	return shard.Result{Order: o, Answer: shard.AnswerDone, SentAt: m.clock.Now()}
}

// Close implements EndpointCaller.
func (*unresponsiveEndpoint) Close() {}

// testLinks are links whose results wait in a ring.
type testLinks struct {
	*links
	results *ring.Ring[shard.Result]
}

func newLinks(t *testing.T, unanswered ...fleet.RunNumber) (*testLinks, *clockwork.FakeClock) {
	t.Helper()
	c := clockwork.NewFakeClock()
	m := &unresponsiveEndpoint{clock: c, unanswered: map[fleet.RunNumber]bool{}}
	for _, run := range unanswered {
		m.unanswered[run] = true
	}
	group, ctx := duty.NewGroup(context.Background())
	t.Cleanup(func() { group.Stop(); _ = group.Wait() })
	results := ring.New[shard.Result]("results", 32)
	return &testLinks{&links{
		ctx: ctx, clock: c, duties: group, newCaller: func() EndpointCaller { return m }, byEndpoint: map[fleet.EndpointID]*link{},
		done: func(_ *queuedOrder, r shard.Result) { _ = results.Push(r) },
	}, results}, c
}

func (l *testLinks) order(kind shard.OrderKind, run fleet.RunNumber) { l.orderAt("a", kind, run) }

func (l *testLinks) orderAt(address fleet.Address, kind shard.OrderKind, run fleet.RunNumber) {
	l.send(&queuedOrder{order: shard.Order{Kind: kind, Process: fleet.EndpointProcess{Endpoint: "e"}, Address: address, Run: run}, at: l.clock.Now()})
}

// result returns the next result.
func (l *testLinks) result(t *testing.T) shard.Result {
	t.Helper()
	result, err := l.results.Pop(t.Context())
	is.New(t).NoErr(err)
	l.answered(l.clock.Now(), result.Order)
	return result
}

// Guards against orders that wait behind one that an endpoint does not answer (head-of-line blocking).
func TestStalledOrderDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	l, c := newLinks(t, 1)
	for run := range fleet.RunNumber(4) {
		l.order(shard.OrderStop, run)
	}
	is.Equal(l.result(t).Order.Run, fleet.RunNumber(0))
	l.addSenders(c.Now())
	is.Equal(l.byEndpoint["e"].senders, 1) // nothing is stuck yet
	c.Advance(stallTimeout)
	l.addSenders(c.Now())
	is.Equal(l.result(t).Order.Run, fleet.RunNumber(2))
	is.Equal(l.result(t).Order.Run, fleet.RunNumber(3))
	c.Advance(time.Second)
	l.addSenders(c.Now())
	is.Equal(l.byEndpoint["e"].senders, 2) // nothing waits
}

// Guards against a start that is sent long after it was planned: the task may have run elsewhere meanwhile.
func TestStaleStartIsNotSent(t *testing.T) {
	is := is.New(t)
	l, c := newLinks(t, 1)
	l.order(shard.OrderStop, 1)
	l.order(shard.OrderStart, 2)
	l.order(shard.OrderStop, 3)
	c.Advance(maxStartAge + time.Millisecond)
	l.addSenders(c.Now())
	first := l.result(t)
	is.Equal(first.Order.Run, fleet.RunNumber(2))
	is.Equal(first.Answer, shard.AnswerUnsent)
	is.Equal(l.result(t).Answer, shard.AnswerDone) // a stop is never too old
}

// Guards against a holder that counts as overloaded, and starts less, because an endpoint does not answer.
func TestStartBehindSilentEndpointIsNotStale(t *testing.T) {
	is := is.New(t)
	l, c := newLinks(t, 1)
	l.order(shard.OrderStop, 1)
	for l.byEndpoint["e"].orders.Depth() > 0 {
		runtime.Gosched() // The first sender takes the stop.
	}
	l.order(shard.OrderStart, 2)
	c.Advance(maxStartAge + time.Millisecond)
	l.addSenders(c.Now())
	silent := l.result(t)
	is.Equal(silent.Answer, shard.AnswerUnsent)
	is.True(!silent.Stale)
	answering, c := newLinks(t)
	answering.send(&queuedOrder{order: shard.Order{Kind: shard.OrderStart, Process: fleet.EndpointProcess{Endpoint: "e"}, Address: "a"}, at: c.Now().Add(-time.Second)})
	is.True(answering.result(t).Stale) // it has waited for the holder
}

// Guards against a run that waits for ever: its start was under way when the endpoint changed its address.
func TestOrdersOfEarlierAddressAreAnswered(t *testing.T) {
	is := is.New(t)
	l, _ := newLinks(t, 1)
	l.order(shard.OrderStart, 1)
	l.order(shard.OrderStart, 2)
	l.orderAt("b", shard.OrderStop, 3)
	answers := map[fleet.RunNumber]shard.Answer{}
	for range 3 {
		r := l.result(t)
		answers[r.Order.Run] = r.Answer
	}
	is.True(answers[1] == shard.AnswerUnknown || answers[1] == shard.AnswerUnsent)
	is.Equal(answers[2], shard.AnswerUnsent)
	is.Equal(answers[3], shard.AnswerDone)
}

// Guards against connections and rings that stay for each endpoint that was ever listed.
func TestLinksOfForgottenEndpointsAreClosed(t *testing.T) {
	is := is.New(t)
	l, _ := newLinks(t, 1)
	l.order(shard.OrderStop, 1)
	l.order(shard.OrderStop, 2)
	known := map[fleet.EndpointID]bool{"e": true}
	isKnown := func(id fleet.EndpointID) bool { return known[id] }
	l.closeForgotten(isKnown)
	k := l.byEndpoint["e"]
	is.True(k != nil && k.ctx.Err() == nil) // orders are outstanding
	delete(known, "e")
	l.closeForgotten(isKnown)
	is.Equal(len(l.byEndpoint), 0)
	is.True(k.ctx.Err() != nil)
	l.order(shard.OrderStop, 3)
	r := l.result(t)
	if r.Order.Run == 1 {
		// The sender had begun to send the first order when it was ended.
		is.Equal(r.Answer, shard.AnswerUnknown)
		r = l.result(t)
	}
	is.Equal(r.Order.Run, fleet.RunNumber(3)) // it is opened again when the endpoint is back
}

// Guards against connections to endpoints that are called from elsewhere.
func TestIdleLinksAreClosed(t *testing.T) {
	is := is.New(t)
	l, c := newLinks(t)
	l.order(shard.OrderStop, 1)
	is.Equal(l.result(t).Answer, shard.AnswerDone)
	l.closeIdle(c.Now())
	is.Equal(len(l.byEndpoint), 1)
	c.Advance(idleLinkTime)
	l.closeIdle(c.Now())
	is.Equal(len(l.byEndpoint), 0)
	l.order(shard.OrderStop, 2)
	is.Equal(l.result(t).Answer, shard.AnswerDone)
}
