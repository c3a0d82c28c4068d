package holder

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// relaySession is the duty of a relay for one connection: it sends the orders of a batch to their endpoints and returns
// their results. It ends with the connection, and what it has not sent by then is not sent.
type relaySession struct {
	session   RelaySession
	conn      RelayedConn
	duties    Starter
	newCaller func() EndpointCaller
	clock     clock.Clock
	log       *zap.Logger
	// stopping ends when the entry stops as planned.
	stopping context.Context
	cancel   context.CancelFunc

	inbox  *ring.Ring[relayEvent]
	outbox *ring.Ring[RelayReport]
	links  *links
	// outstanding counts the orders without a result, payload sums what they carry, and taken counts all orders.
	outstanding, taken int
	payload            fleet.Bytes
	// offset is the difference between the time of arrival and of sending of the fastest batch, each since the start
	// on its side's clock, seen at offsetAt. What exceeds it is the time that a batch was held up on its way.
	offset    time.Duration
	offsetAt  time.Time
	startedAt time.Time
	// announced is set once the holder was told that the entry stops.
	announced bool
}

// relayEvent is a batch of the holder or the result of an order.
type relayEvent struct {
	batch  *RelayBatch
	at     time.Time
	queued *queuedOrder
	result shard.Result
}

func (s *relaySession) duty(name string) fleet.DutyName {
	return fleet.DutyName(name) + fleet.DutyName(s.session.Service)
}

// Name implements duty.Duty.
func (s *relaySession) Name() fleet.DutyName { return s.duty("relay-") }

// Run implements duty.Duty.
func (s *relaySession) Run(ctx context.Context) error {
	s.inbox = ring.NewWithReserve[relayEvent]("relay", relayBacklog, maxRelayOrders)
	s.outbox = ring.New[RelayReport]("relay-results", relayBacklog+maxRelayOrders)
	s.links = &links{
		ctx: ctx, clock: s.clock, duties: s.duties, newCaller: s.newCaller, byEndpoint: map[fleet.EndpointID]*link{},
		done: func(q *queuedOrder, r shard.Result) {
			// The reserve has room for each outstanding order.
			_ = s.inbox.PushReserved(relayEvent{queued: q, result: r})
		},
	}
	s.startedAt = s.clock.Now()
	s.log.Info("relay: session begun", s.fields()...)
	defer s.conn.Close()
	stop := context.AfterFunc(ctx, s.conn.Close)
	defer stop()
	s.duties.Start(ctx, &relayReader{session: s})
	s.duties.Start(ctx, &relayWriter{session: s})
	next := s.startedAt.Add(tickInterval)
	for {
		timer := s.clock.NewTimer(max(0, next.Sub(s.clock.Now())))
		event, ok, err := s.inbox.PopUntil(ctx, timer.Chan())
		timer.Stop()
		if err != nil {
			s.log.Info("relay: session ended", append(s.fields(), zap.Int("orders", s.taken), zap.Int("outstanding", s.outstanding))...)
			return trace.Wrap(err)
		}
		if ok {
			s.handle(event)
		}
		if now := s.clock.Now(); !now.Before(next) {
			s.links.addSenders(now)
			s.links.closeIdle(now)
			s.announceStop()
			next = now.Add(tickInterval)
		}
	}
}

func (s *relaySession) fields() []zap.Field {
	return []zap.Field{
		zap.String("service", string(s.session.Service)), zap.Uint64("epoch", uint64(s.session.Epoch)), zap.String("holder", string(s.session.Holder)),
	}
}

func (s *relaySession) announceStop() {
	if s.stopping.Err() != nil && !s.announced {
		s.announced = true
		s.report(RelayReport{Stopping: true})
	}
}

func (s *relaySession) handle(e relayEvent) {
	if e.batch == nil {
		s.outstanding--
		s.payload -= e.queued.order.PayloadBytes()
		s.links.answered(s.clock.Now(), e.queued.order)
		s.report(RelayReport{Results: []RelayResult{{Number: e.queued.number, Result: e.result}}})
		return
	}
	s.announceStop()
	heldUp := s.heldUp(e)
	for _, o := range e.batch.Orders {
		if s.announced || s.outstanding >= maxRelayOrders || s.payload >= MaxRelayPayload {
			s.report(RelayReport{Results: []RelayResult{{Number: o.Number, Refused: true, Result: shard.Result{Answer: shard.AnswerUnsent}}}})
			continue
		}
		s.outstanding++
		s.payload += o.Order.PayloadBytes()
		s.taken++
		s.links.send(&queuedOrder{order: o.Order, at: e.at.Add(-o.Age - heldUp), number: o.Number})
	}
}

// heldUp returns how long a batch was held up on its way, beyond the fastest one. The clocks of the two sides may drift
// apart by maxDriftPercent.
func (s *relaySession) heldUp(e relayEvent) time.Duration {
	difference := e.at.Sub(s.startedAt) - e.batch.SentAfter
	if s.offsetAt.IsZero() {
		s.offset, s.offsetAt = difference, e.at
	}
	s.offset = min(difference, s.offset+e.at.Sub(s.offsetAt)*maxDriftPercent/100)
	s.offsetAt = e.at
	return difference - s.offset
}

// maxDriftPercent bounds the drift of the clocks of two entries.
const maxDriftPercent = 3

// report passes a report to the writer. A holder that reads so slowly that the ring is full is given up.
func (s *relaySession) report(r RelayReport) {
	if s.outbox.Push(r) != nil {
		s.cancel()
	}
}

// relayReader is the duty that receives the batches of one connection.
type relayReader struct{ session *relaySession }

// Name implements duty.Duty.
func (r *relayReader) Name() fleet.DutyName { return r.session.duty("relay-reader-") }

// Run implements duty.Duty.
func (r *relayReader) Run(ctx context.Context) error {
	s := r.session
	for {
		batch, err := s.conn.Receive()
		if err == nil {
			err = s.inbox.Push(relayEvent{batch: &batch, at: s.clock.Now()})
		}
		if err != nil {
			if ctx.Err() == nil {
				s.log.Warn("relay: connection to the holder lost", append(s.fields(), zap.Error(trace.Unwrap(err)))...)
			}
			s.cancel()
			return trace.Wrap(ctx.Err())
		}
	}
}

// relayWriter is the duty that sends the results of one connection.
type relayWriter struct{ session *relaySession }

// Name implements duty.Duty.
func (w *relayWriter) Name() fleet.DutyName { return w.session.duty("relay-writer-") }

// Run implements duty.Duty.
func (w *relayWriter) Run(ctx context.Context) error {
	s := w.session
	if err := s.conn.Send(RelayReport{}); err != nil { // The holder waits for it.
		s.cancel()
		return trace.Wrap(ctx.Err())
	}
	for {
		timer := s.clock.NewTimer(relayBeat)
		next, ok, err := s.outbox.PopUntil(ctx, timer.Chan())
		timer.Stop()
		if err != nil {
			return trace.Wrap(err)
		}
		if ok && !next.Stopping {
			if err := clock.Wait(ctx, s.clock, resultDelay); err != nil {
				return trace.Wrap(err)
			}
		}
		for len(next.Results) < maxRelayBatch {
			more, ok := s.outbox.TryPop()
			if !ok {
				break
			}
			next.Results, next.Stopping = append(next.Results, more.Results...), next.Stopping || more.Stopping
		}
		if err := s.conn.Send(next); err != nil {
			s.cancel()
			return trace.Wrap(ctx.Err())
		}
	}
}
