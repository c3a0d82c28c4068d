package holder

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	// keySchedule follows the id of a job and a dot in the key of its schedule.
	keySchedule = "schedule"
	// partSeparator stands between the key of an occurrence and the number of a part.
	partSeparator = "+"
)

// progressKey returns the key of a row of the progress of jobs.
func progressKey(k shard.RowKey) rowstore.Key {
	if k.IsSchedule {
		return rowstore.Key(string(k.Job) + "." + keySchedule)
	}
	key := string(k.Job) + "." + strconv.Itoa(int(k.Occurrence))
	if k.Part > 0 {
		key += partSeparator + strconv.Itoa(k.Part)
	}
	return rowstore.Key(key)
}

// parseProgressKey parses the key of a row of the progress of jobs.
func parseProgressKey(key rowstore.Key) (shard.RowKey, bool) {
	dot := strings.LastIndexByte(string(key), '.')
	if dot < 0 {
		return shard.RowKey{}, false
	}
	k := shard.RowKey{Job: fleet.JobID(key[:dot])}
	if key[dot+1:] == keySchedule {
		k.IsSchedule = true
		return k, true
	}
	number, part, hasPart := strings.Cut(string(key[dot+1:]), partSeparator)
	occurrence, err := strconv.ParseUint(number, 10, 32)
	if k.Occurrence = fleet.Occurrence(occurrence); err != nil || !hasPart {
		return k, err == nil
	}
	k.Part, err = strconv.Atoi(part)
	return k, err == nil && k.Part > 0
}

type progressEncoder struct{}

// Encode implements shard.Encoder.
func (progressEncoder) Encode(o *job.Occurrence) ([][]byte, error) { return wire.EncodeProgress(o) }

// EncodeSchedule implements shard.Encoder.
func (progressEncoder) EncodeSchedule(id fleet.JobID, s job.Schedule) ([]byte, error) {
	return wire.EncodeSchedule(id, s)
}

// maxQueuedOrders bounds the orders that wait for one endpoint. It exceeds the tasks that an endpoint
// of the specified sizes can hold.
const maxQueuedOrders = 512

const (
	// maxStartAge bounds how long a start waits to be sent. The task of an older start may have run
	// elsewhere meanwhile, so it is planned again.
	maxStartAge = 400 * time.Millisecond
	// stallTimeout is the time without an answer after which another sender is added for an endpoint. An
	// endpoint answers in milliseconds, and an order without an answer times out after 600 ms.
	stallTimeout = 150 * time.Millisecond
	// maxSenders bounds the senders, and so the connections, for the orders of one endpoint.
	maxSenders = 4
)

// links sends orders to endpoints, at the holder of a service or at a relay. Each endpoint has a sender for renewals,
// which the endpoint keeps open, and one for all other orders, so that neither waits for the other. More senders are
// added when an order stays without an answer. They may reorder a start and its stop, which is safe: an endpoint rejects
// the start of a run for which it has received a stop, and the next process of an endpoint that of an earlier token.
type links struct {
	// ctx ends all senders.
	ctx       context.Context
	clock     clock.Clock
	duties    Starter
	newCaller func() EndpointCaller
	// done receives the result of each order, also from the senders.
	done       func(*queuedOrder, shard.Result)
	byEndpoint map[fleet.EndpointID]*link
}

type link struct {
	address fleet.Address
	holds   *ring.Ring[*queuedOrder]
	orders  *ring.Ring[*queuedOrder]
	ctx     context.Context
	cancel  context.CancelFunc
	// senders counts the senders that share the orders ring, outstanding the orders without an answer.
	// progressedAt is when an order was last answered or queued with no other outstanding, or a sender was
	// added.
	senders, outstanding int
	progressedAt         time.Time
	// usedAt is when an order was last queued.
	usedAt time.Time
}

// queuedOrder is an order and the time when it was queued. Rings hold pointers to it: a holder has a ring for each
// endpoint, most of them empty.
type queuedOrder struct {
	order shard.Order
	at    time.Time
	// number is the number of an order on the connection between a holder and a relay; 0 for an order that the holder
	// sends itself.
	number uint64
}

// send queues an order for its endpoint.
func (l *links) send(q *queuedOrder) {
	k := l.byEndpoint[q.order.Process.Endpoint]
	if k == nil || k.address != q.order.Address {
		if k != nil {
			l.abandon(k)
		}
		k = l.open(q.order)
	}
	now := l.clock.Now()
	k.usedAt = now
	target := k.orders
	if q.order.Kind == shard.OrderHold {
		target = k.holds
	} else {
		if k.outstanding == 0 {
			k.progressedAt = now
		}
		k.outstanding++
	}
	if err := target.Push(q); err != nil {
		l.reportUnsent(now, q)
	}
}

// abandon ends the senders of a link and reports the orders that wait there.
func (l *links) abandon(k *link) {
	k.cancel()
	now := l.clock.Now()
	for _, inbox := range []*ring.Ring[*queuedOrder]{k.holds, k.orders} {
		for queued, ok := inbox.TryPop(); ok; queued, ok = inbox.TryPop() {
			l.reportUnsent(now, queued)
		}
	}
}

// reportUnsent reports an order that was not sent, so certainly not executed.
func (l *links) reportUnsent(now time.Time, q *queuedOrder) {
	l.done(q, shard.Result{Order: q.order, Answer: shard.AnswerUnsent, SentAt: now})
}

// answered records that an order has ended.
func (l *links) answered(now time.Time, o shard.Order) {
	if k := l.byEndpoint[o.Process.Endpoint]; k != nil && k.address == o.Address && o.Kind != shard.OrderHold {
		k.outstanding = max(0, k.outstanding-1)
		k.progressedAt = now
	}
}

// addSenders adds a sender for each endpoint where orders wait behind one that is not answered.
func (l *links) addSenders(now time.Time) {
	for id, k := range l.byEndpoint {
		if k.outstanding > k.senders && k.senders < maxSenders && now.Sub(k.progressedAt) >= stallTimeout {
			k.progressedAt = now
			l.startSender(k, id)
		}
	}
}

// closeForgotten ends the senders of endpoints that are not known any more.
func (l *links) closeForgotten(known func(fleet.EndpointID) bool) {
	for id, k := range l.byEndpoint {
		if !known(id) {
			k.cancel()
			delete(l.byEndpoint, id)
		}
	}
}

// idleLinkTime is the time without an order after which the senders of an endpoint are ended. It exceeds the time between
// two renewals and the longest call, so the endpoint is called from elsewhere.
const idleLinkTime = 10 * time.Second

// closeIdle ends the senders of endpoints that get no orders any more.
func (l *links) closeIdle(now time.Time) {
	for id, k := range l.byEndpoint {
		if now.Sub(k.usedAt) >= idleLinkTime {
			l.abandon(k)
			delete(l.byEndpoint, id)
		}
	}
}

// startSender adds a sender for the orders of an endpoint.
func (l *links) startSender(k *link, id fleet.EndpointID) {
	k.senders++
	name := fleet.DutyName("orders-" + strconv.Itoa(k.senders) + "-")
	s := l.newSender(name, id, k.orders)
	s.unanswered = k.senders > 1
	l.duties.Start(k.ctx, s)
}

func (l *links) newSender(name fleet.DutyName, id fleet.EndpointID, inbox *ring.Ring[*queuedOrder]) *sender {
	return &sender{name: name, endpoint: id, inbox: inbox, caller: l.newCaller(), clock: l.clock, done: l.done}
}

func (l *links) open(o shard.Order) *link {
	ctx, cancel := context.WithCancel(l.ctx)
	k := &link{
		address: o.Address, ctx: ctx, cancel: cancel,
		holds: ring.New[*queuedOrder]("holds", 2), orders: ring.New[*queuedOrder]("orders", maxQueuedOrders),
	}
	l.byEndpoint[o.Process.Endpoint] = k
	l.duties.Start(ctx, l.newSender("hold-", o.Process.Endpoint, k.holds))
	l.startSender(k, o.Process.Endpoint)
	return k
}

// sender is the duty that sends orders to one endpoint, one at a time.
type sender struct {
	name     fleet.DutyName
	endpoint fleet.EndpointID
	inbox    *ring.Ring[*queuedOrder]
	caller   EndpointCaller
	clock    clock.Clock
	done     func(*queuedOrder, shard.Result)
	// listedAt is when the endpoint last sent its lists to this sender.
	listedAt time.Time
	// unanswered is set while the endpoint has not answered the last order, or that of the sender before.
	unanswered bool
}

// Name implements duty.Duty.
func (s *sender) Name() fleet.DutyName { return s.name + fleet.DutyName(s.endpoint) }

// Run implements duty.Duty.
func (s *sender) Run(ctx context.Context) error {
	defer s.caller.Close()
	for {
		queued, err := s.inbox.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		result := shard.Result{Order: queued.order, Answer: shard.AnswerUnsent, SentAt: s.clock.Now()}
		if queued.order.Kind == shard.OrderStart && result.SentAt.Sub(queued.at) > maxStartAge {
			// Behind an order without an answer it has waited for the endpoint, not for the holder.
			result.Stale = !s.unanswered
		} else {
			result = s.caller.Execute(ctx, s.withoutLateAck(queued))
			result.Order = queued.order
			s.unanswered = result.Answer == shard.AnswerUnknown || result.Answer == shard.AnswerUnsent
		}
		if queued.order.Kind == shard.OrderHold && result.Answer == shard.AnswerDone {
			s.listedAt = s.clock.Now()
		}
		s.done(queued, result)
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
	}
}

// maxAckGap is the longest time since a list after which a relay passes an acknowledgement of ends on: a process that has
// started since would forget its own ends by those numbers. The engine allows 300 ms at the holder.
const maxAckGap = 400 * time.Millisecond

// withoutLateAck returns the order to send. A relayed renewal that was held up acknowledges nothing.
func (s *sender) withoutLateAck(q *queuedOrder) shard.Order {
	o := q.order
	if q.number > 0 && o.Acknowledged > 0 && s.clock.Now().Sub(s.listedAt) > maxAckGap {
		o.Acknowledged, o.Wait = 0, 0
	}
	return o
}
