package holder

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/relay"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// routes sends the orders of one service, to the endpoints itself or over relays. Each order ends with one result. An
// order that a lost relay may have sent ends as unknown; one that was not handed over takes another way.
type routes struct {
	scheduler *Scheduler
	held      *heldDuty
	direct    *links
	// done receives the results of relayed orders.
	done func(time.Time, shard.Result)
	// relays are the open connections to relays, byZone the relays for new endpoints of each zone, chosen the relay of
	// each endpoint that has one.
	relays map[fleet.EntryID]*relayLink
	byZone map[fleet.ZoneID][]fleet.EntryID
	chosen map[fleet.EndpointID]fleet.EntryID
	// avoided holds the relays that were lost, and until when they are not chosen again.
	avoided map[fleet.EntryID]avoidance
	// chosenAt is when relays were last chosen; zero when they have to be chosen anew.
	chosenAt time.Time
	// lostAt is when a relay was last lost.
	lostAt time.Time
	// dialTimeout bounds the opening of a connection to a relay.
	dialTimeout time.Duration
}

// avoidance is the pause after the loss of a relay, which doubles with each loss.
type avoidance struct {
	until time.Time
	pause time.Duration
}

const (
	// chooseInterval is the time between choices of relays.
	chooseInterval = time.Second
	// minAvoidance and maxAvoidance bound the pause after the loss of a relay. Each change of an endpoint's relay opens
	// connections, which are charged.
	minAvoidance = 5 * time.Second
	maxAvoidance = time.Minute
	// maxRelayAnswer is the time, beyond that for which an endpoint may wait, after which a relayed order without a result
	// ends as unknown. An order that the holder sends itself is answered or times out within 1 s, and the engine counts
	// on that for the leases that it does not know of.
	maxRelayAnswer = 1500 * time.Millisecond
)

func (s *Scheduler) newRoutes(h *heldDuty) *routes {
	r := &routes{scheduler: s, held: h, done: s.applyResult, dialTimeout: RelayDialTimeout, relays: map[fleet.EntryID]*relayLink{}, chosen: map[fleet.EndpointID]fleet.EntryID{}, avoided: map[fleet.EntryID]avoidance{}}
	r.direct = &links{
		ctx: h.ctx, clock: s.Clock, duties: s.Duties, newCaller: s.NewCaller, byEndpoint: map[fleet.EndpointID]*link{},
		done: func(_ *queuedOrder, result shard.Result) {
			if h.ctx.Err() == nil { // Otherwise the service has been given up.
				s.push(Event{Result: &result})
			}
		},
	}
	return r
}

// send sends an order.
func (r *routes) send(o shard.Order) { r.forward(&queuedOrder{order: o, at: r.scheduler.Clock.Now()}) }

func (r *routes) forward(q *queuedOrder) {
	if k := r.relayOf(q.order.Process.Endpoint); k != nil && k.takesOrders() && k.push(q) {
		return
	}
	r.direct.send(q)
}

// relayOf returns the relay of an endpoint, or nil. An endpoint keeps its relay as long as that may be one, because each
// change opens connections, which are charged.
func (r *routes) relayOf(id fleet.EndpointID) *relayLink {
	if len(r.byZone) == 0 {
		return nil
	}
	entry, ok := r.chosen[id]
	if !ok {
		info, known := r.scheduler.endpoints[id]
		if entry, ok = relay.Pick(id, r.byZone[info.Zone]); !known || !ok {
			return nil
		}
		r.chosen[id] = entry
	}
	return r.relays[entry]
}

// tick chooses relays and ends orders that have no result for too long.
func (r *routes) tick(now time.Time, known func(fleet.EndpointID) bool) {
	r.direct.addSenders(now)
	r.direct.closeForgotten(known)
	r.direct.closeIdle(now)
	for _, k := range r.relays {
		for number, q := range k.outstanding {
			if now.Sub(q.at) >= maxRelayAnswer+q.order.Wait {
				delete(k.outstanding, number)
				r.unknown(now, k, q)
			}
		}
	}
	for id := range r.chosen {
		if !known(id) {
			delete(r.chosen, id)
		}
	}
	if now.Sub(r.chosenAt) >= chooseInterval {
		r.choose(now)
	}
}

func (r *routes) open(now time.Time, entry fleet.EntryID) {
	s := r.scheduler
	k := &relayLink{
		entry: entry, address: s.election.Nodes[entry].Address, openedAt: now,
		inbox: ring.New[*queuedOrder]("relay-orders", relayBacklog), outstanding: map[uint64]*queuedOrder{},
		// Orders wait for the first connection. One to an entry that was lost before, or in place of one that was lost a
		// moment ago, is opened in the background.
		queues: r.avoided[entry].pause == 0 && (r.lostAt.IsZero() || now.Sub(r.lostAt) > minAvoidance),
	}
	k.ctx, k.cancel = context.WithCancel(r.held.ctx)
	r.relays[entry] = k
	s.Duties.Start(k.ctx, &relaySender{
		link: k, session: RelaySession{Service: r.held.service, Epoch: r.held.chain.Epoch, Holder: s.Self.Entry}, dialer: s.Relays, dialTimeout: r.dialTimeout, duties: s.Duties,
		clock: s.Clock, orders: s.counter("relay_orders"), batches: s.counter("relay_batches"),
		report: func(e RelayEvent) {
			e.routes, e.link = r, k
			if k.ctx.Err() == nil {
				s.push(Event{Relay: &e})
			}
		},
	})
}

func (r *routes) close(k *relayLink, reason string) {
	k.cancel()
	delete(r.relays, k.entry)
	r.logClosed(k, reason)
}

func (r *routes) logClosed(k *relayLink, reason string) {
	r.log("relay: link closed", k, zap.String("reason", reason), zap.Uint64("orders", k.last), zap.Int("unknown", k.unknown))
}

// lose gives up a relay. Orders that it may have sent end as unknown, the others take another way.
func (r *routes) lose(now time.Time, k *relayLink, reason string) {
	if r.relays[k.entry] != k {
		return // It was given up before.
	}
	k.cancel()
	delete(r.relays, k.entry)
	a := r.avoided[k.entry]
	if now.Sub(k.openedAt) >= maxAvoidance {
		a.pause = 0
	}
	a.pause = min(max(minAvoidance, 2*a.pause), maxAvoidance)
	a.until = now.Add(a.pause)
	r.avoided[k.entry], r.lostAt = a, now
	r.choose(now)
	for q, ok := k.inbox.TryPop(); ok; q, ok = k.inbox.TryPop() {
		delete(k.outstanding, q.number)
		r.forward(q)
	}
	for _, q := range k.outstanding {
		r.unknown(now, k, q)
	}
	r.logClosed(k, reason)
}

// unknown ends an order that a relay may have sent.
func (r *routes) unknown(now time.Time, k *relayLink, q *queuedOrder) {
	k.unknown++
	r.scheduler.counter("relay_unknown").Inc(1)
	r.done(now, shard.Result{Order: q.order, Answer: shard.AnswerUnknown, SentAt: q.at})
}

// apply handles what the duties of a relay's connection report.
func (r *routes) apply(now time.Time, e *RelayEvent) {
	k := e.link
	if r.held.ctx.Err() != nil || r.relays[k.entry] != k {
		return
	}
	if e.Connected {
		k.connected = true
		r.log("relay: link opened", k, zap.Duration("after", now.Sub(k.openedAt)))
	}
	if e.Report.Stopping && !k.leaving {
		k.leaving = true
		r.log("relay: relay stops", k)
		r.choose(now)
	}
	for _, result := range e.Report.Results {
		r.applyResult(now, k, result)
	}
	if e.Err != nil {
		r.lose(now, k, e.Err.Error())
	}
}

// applyResult completes the order that a result belongs to. A result of an order that is not outstanding is ignored.
func (r *routes) applyResult(now time.Time, k *relayLink, result RelayResult) {
	q := k.outstanding[result.Number]
	if q == nil {
		return
	}
	delete(k.outstanding, result.Number)
	if result.Refused {
		r.refused(now, k, q)
		return
	}
	done := result.Result
	// What the answer says about the endpoint holds from the time at which the holder queued the order.
	done.Order, done.SentAt = q.order, q.at
	r.done(now, done)
}

// refused sends an order that a relay did not take another way.
func (r *routes) refused(now time.Time, k *relayLink, q *queuedOrder) {
	if !k.leaving {
		k.leaving = true
		r.log("relay: orders refused", k)
		r.choose(now)
	}
	q.number = 0
	r.forward(q)
}

func (r *routes) log(message string, k *relayLink, fields ...zap.Field) {
	r.scheduler.Log.Info(message, append([]zap.Field{
		zap.String("service", string(r.held.service)), zap.Uint64("epoch", uint64(r.held.chain.Epoch)), zap.String("relay", string(k.entry)),
	}, fields...)...)
}
