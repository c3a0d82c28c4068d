package holder

import (
	"context"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// keyWave starts the key of a maintenance wave's row.
const keyWave = "wave-"

// progressKey returns the key of the row of an occurrence.
func progressKey(k job.Key) rowstore.Key {
	return rowstore.Key(string(k.Job) + "." + strconv.Itoa(int(k.Occurrence)))
}

type progressEncoder struct{}

// Encode implements shard.Encoder.
func (progressEncoder) Encode(o *job.Occurrence) ([]byte, error) { return wire.EncodeProgress(o) }

// ordersPerEndpoint bounds the orders that wait for one endpoint. It exceeds the tasks that an endpoint
// of the described sizes can hold.
const ordersPerEndpoint = 512

const (
	// startPatience bounds how long a start waits to be sent. A start that is older may be for a task that
	// has run elsewhere meanwhile, so it is planned anew.
	startPatience = 400 * time.Millisecond
	// stuckAfter is the time without an answer after which one more duty sends the orders that wait for an
	// endpoint. An endpoint answers in milliseconds, and an order without an answer ends after 600.
	stuckAfter = 150 * time.Millisecond
	// mostLanes bounds the duties, and so the connections, for the orders of one endpoint.
	mostLanes = 4
)

// links carries the orders of one service. Each endpoint has a duty for renewals, which the endpoint keeps
// open, and one for all other orders, so that neither waits for the other. Further duties are added when an
// order stays without an answer. They may reorder a start and its stop: an endpoint rejects the start of a
// run that it was told to stop.
type links struct {
	scheduler  *Scheduler
	held       *heldDuty
	byEndpoint map[fleet.EndpointID]*link
}

type link struct {
	address fleet.Address
	holds   *ring.Ring[queuedOrder]
	orders  *ring.Ring[queuedOrder]
	ctx     context.Context
	cancel  context.CancelFunc
	// lanes counts the duties for orders, outstanding the orders without an answer. MovedAt is when an
	// order was answered last, or handed over while there was no other.
	lanes, outstanding int
	movedAt            time.Time
}

// queuedOrder is an order that was handed over at a time.
type queuedOrder struct {
	order shard.Order
	at    time.Time
}

// send hands an order to the duty of its endpoint.
func (l *links) send(o shard.Order) {
	k := l.byEndpoint[o.Process.Endpoint]
	if k == nil || k.address != o.Address {
		if k != nil {
			k.cancel()
		}
		k = l.open(o)
	}
	now := l.scheduler.Clock.Now()
	target := k.orders
	if o.Kind == shard.OrderHold {
		target = k.holds
	} else {
		if k.outstanding == 0 {
			k.movedAt = now
		}
		k.outstanding++
	}
	if err := target.Push(queuedOrder{o, now}); err != nil {
		// Not sent, so certainly not carried out.
		l.scheduler.push(Event{Result: &shard.Result{Order: o, Answer: shard.AnswerUnsent, SentAt: now}})
	}
}

// answered notes that an order has ended.
func (l *links) answered(now time.Time, o shard.Order) {
	if k := l.byEndpoint[o.Process.Endpoint]; k != nil && k.address == o.Address && o.Kind != shard.OrderHold {
		k.outstanding = max(0, k.outstanding-1)
		k.movedAt = now
	}
}

// widen adds a duty where orders wait behind one that is not answered.
func (l *links) widen(now time.Time) {
	for id, k := range l.byEndpoint {
		if k.outstanding > k.lanes && k.lanes < mostLanes && now.Sub(k.movedAt) >= stuckAfter {
			k.movedAt = now
			l.start(k, id)
		}
	}
}

// start adds a duty for the orders of an endpoint.
func (l *links) start(k *link, id fleet.EndpointID) {
	k.lanes++
	name := fleet.DutyName("orders-" + strconv.Itoa(k.lanes) + "-")
	l.scheduler.Duties.Start(k.ctx, l.lane(name, id, k.orders))
}

func (l *links) lane(name fleet.DutyName, id fleet.EndpointID, inbox *ring.Ring[queuedOrder]) *lane {
	return &lane{
		name: name, endpoint: id, inbox: inbox, caller: l.scheduler.NewCaller(), clock: l.scheduler.Clock,
		done: func(r shard.Result) { l.scheduler.push(Event{Result: &r}) },
	}
}

func (l *links) open(o shard.Order) *link {
	ctx, cancel := context.WithCancel(l.held.ctx)
	k := &link{
		address: o.Address, ctx: ctx, cancel: cancel,
		holds: ring.New[queuedOrder]("holds", 2), orders: ring.New[queuedOrder]("orders", ordersPerEndpoint),
	}
	l.byEndpoint[o.Process.Endpoint] = k
	l.scheduler.Duties.Start(ctx, l.lane("hold-", o.Process.Endpoint, k.holds))
	l.start(k, o.Process.Endpoint)
	return k
}

// lane is the duty that sends orders to one endpoint, one at a time.
type lane struct {
	name     fleet.DutyName
	endpoint fleet.EndpointID
	inbox    *ring.Ring[queuedOrder]
	caller   EndpointCaller
	clock    clock.Clock
	done     func(shard.Result)
}

// Name implements duty.Duty.
func (l *lane) Name() fleet.DutyName { return l.name + fleet.DutyName(l.endpoint) }

// Run implements duty.Duty.
func (l *lane) Run(ctx context.Context) error {
	defer l.caller.Close()
	for {
		queued, err := l.inbox.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		result := shard.Result{Order: queued.order, Answer: shard.AnswerUnsent, SentAt: l.clock.Now()}
		if queued.order.Kind != shard.OrderStart || result.SentAt.Sub(queued.at) <= startPatience {
			result = l.caller.Execute(ctx, queued.order)
		}
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
		l.done(result)
	}
}

// decodeJob decodes the row of an accepted job.
func decodeJob(row rowstore.Row) (*fleet.Job, error) {
	m := &jobv1.Job{}
	if err := proto.Unmarshal(row.Value, m); err != nil {
		return nil, trace.Wrap(err)
	}
	return wire.FromJob(m), nil
}
