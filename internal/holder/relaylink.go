package holder

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// relayLink is a holder's connection to a relay. The scheduler owns it; its duties share the inbox only.
type relayLink struct {
	entry    fleet.EntryID
	address  fleet.Address
	openedAt time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	// inbox holds the orders that were not handed over yet.
	inbox *ring.Ring[*queuedOrder]
	// outstanding are the orders without a result by their number.
	outstanding map[uint64]*queuedOrder
	last        uint64
	// unknown counts the orders that ended without a result.
	unknown int
	// queues is set while orders wait for the connection; otherwise they take another way until it is open.
	queues bool
	// connected is set once the relay has taken the session, leaving once it takes no further orders.
	connected, leaving bool
}

// takesOrders reports whether an order may be pushed.
func (k *relayLink) takesOrders() bool { return !k.leaving && (k.connected || k.queues) }

// push queues an order for the relay. It returns false when the ring is full.
func (k *relayLink) push(q *queuedOrder) bool {
	k.last++
	q.number = k.last
	k.outstanding[q.number] = q
	if k.inbox.Push(q) == nil {
		return true
	}
	delete(k.outstanding, q.number)
	q.number = 0
	return false
}

// RelayEvent is what the duties of a connection to a relay report to the scheduler.
type RelayEvent struct {
	routes *routes
	link   *relayLink
	// Connected is set once the relay has taken the session.
	Connected bool
	Report    RelayReport
	// Err is set when the connection has ended.
	Err error
}

// relaySender is the duty that opens the connection to a relay and sends it orders.
type relaySender struct {
	link    *relayLink
	session RelaySession
	dialer  RelayDialer
	// dialTimeout bounds the opening of the connection.
	dialTimeout time.Duration
	duties      Starter
	clock       clock.Clock
	// orders and batches count what was sent.
	orders, batches tally.Counter
	report          func(RelayEvent)
}

// Name implements duty.Duty.
func (s *relaySender) Name() fleet.DutyName {
	return fleet.DutyName("relay-sender-" + string(s.session.Service) + "-" + string(s.link.entry))
}

// Run implements duty.Duty.
func (s *relaySender) Run(ctx context.Context) error {
	s.report(RelayEvent{Err: s.send(ctx)})
	<-ctx.Done() // The scheduler ends the link.
	return trace.Wrap(ctx.Err())
}

func (s *relaySender) send(ctx context.Context) error {
	dialContext, cancel := context.WithTimeout(ctx, s.dialTimeout)
	defer cancel()
	conn, err := s.dialer.Dial(dialContext, s.link.address, s.session)
	if err != nil {
		return trace.Wrap(err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	// The first report shows that the relay has begun the session; before, no order is handed over.
	interrupt := context.AfterFunc(dialContext, conn.Close)
	first, err := conn.Receive()
	interrupt()
	if err != nil {
		return trace.Wrap(err)
	}
	s.report(RelayEvent{Connected: true, Report: first})
	s.duties.Start(ctx, &relayReceiver{sender: s, conn: conn})
	openedAt := s.clock.Now()
	for {
		timer := s.clock.NewTimer(relayBeat)
		queued, ok, err := s.link.inbox.PopUntil(ctx, timer.Chan())
		timer.Stop()
		if err != nil {
			return trace.Wrap(err)
		}
		now := s.clock.Now()
		batch := RelayBatch{SentAfter: now.Sub(openedAt)}
		var payload fleet.Bytes
		for ok {
			batch.Orders = append(batch.Orders, RelayOrder{Number: queued.number, Age: now.Sub(queued.at), Order: queued.order})
			if payload += queued.order.PayloadBytes(); len(batch.Orders) == maxRelayBatch || payload >= MaxRelayPayload {
				break
			}
			queued, ok = s.link.inbox.TryPop()
		}
		if err := conn.Send(batch); err != nil {
			return trace.Wrap(err)
		}
		s.orders.Inc(int64(len(batch.Orders)))
		s.batches.Inc(1)
	}
}

// relayReceiver is the duty that receives the results of a relay.
type relayReceiver struct {
	sender *relaySender
	conn   RelayConn
}

// Name implements duty.Duty.
func (r *relayReceiver) Name() fleet.DutyName {
	return fleet.DutyName("relay-receiver-" + string(r.sender.session.Service) + "-" + string(r.sender.link.entry))
}

// Run implements duty.Duty.
func (r *relayReceiver) Run(ctx context.Context) error {
	for {
		report, err := r.conn.Receive()
		if err != nil {
			r.sender.report(RelayEvent{Err: err})
			<-ctx.Done() // The scheduler ends the link.
			return trace.Wrap(ctx.Err())
		}
		if len(report.Results) > 0 || report.Stopping {
			r.sender.report(RelayEvent{Report: report})
		}
	}
}

// counter returns a counter of the entry.
func (s *Scheduler) counter(name string) tally.Counter {
	if s.Scope == nil {
		return tally.NoopScope.Counter(name)
	}
	return s.Scope.Counter(name)
}

// applyResult applies the result of an order to the service that it belongs to.
func (s *Scheduler) applyResult(now time.Time, r shard.Result) {
	h := s.held[ServiceDuty(r.Order.Service)]
	if h == nil || h.engine == nil || h.chain.Epoch != r.Order.Epoch {
		return
	}
	h.engine.Apply(now, r)
	if h.engine.Fenced() {
		s.drop(h, "an endpoint has seen a newer holder")
	}
}
