package holder

import (
	"context"
	"strconv"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

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

// links carries the orders of one service. Each endpoint has two duties, one for renewals, which the
// endpoint keeps open, and one for all other orders, so that neither waits for the other.
type links struct {
	scheduler  *Scheduler
	held       *heldDuty
	byEndpoint map[fleet.EndpointID]*link
}

type link struct {
	address fleet.Address
	holds   *ring.Ring[shard.Order]
	orders  *ring.Ring[shard.Order]
	cancel  context.CancelFunc
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
	target := k.orders
	if o.Kind == shard.OrderHold {
		target = k.holds
	}
	if err := target.Push(o); err != nil {
		// Not sent, so certainly not carried out.
		l.scheduler.push(Event{Result: &shard.Result{Order: o, Answer: shard.AnswerUnsent, SentAt: l.scheduler.Clock.Now()}})
	}
}

func (l *links) open(o shard.Order) *link {
	ctx, cancel := context.WithCancel(l.held.ctx)
	k := &link{
		address: o.Address, cancel: cancel,
		holds: ring.New[shard.Order]("holds", 2), orders: ring.New[shard.Order]("orders", ordersPerEndpoint),
	}
	l.byEndpoint[o.Process.Endpoint] = k
	done := func(r shard.Result) { l.scheduler.push(Event{Result: &r}) }
	l.scheduler.Duties.Start(ctx, &lane{name: "hold-", endpoint: o.Process.Endpoint, inbox: k.holds, caller: l.scheduler.NewCaller(), done: done})
	l.scheduler.Duties.Start(ctx, &lane{name: "orders-", endpoint: o.Process.Endpoint, inbox: k.orders, caller: l.scheduler.NewCaller(), done: done})
	return k
}

// lane is the duty that sends orders to one endpoint, one at a time.
type lane struct {
	name     fleet.DutyName
	endpoint fleet.EndpointID
	inbox    *ring.Ring[shard.Order]
	caller   EndpointCaller
	done     func(shard.Result)
}

// Name implements duty.Duty.
func (l *lane) Name() fleet.DutyName { return l.name + fleet.DutyName(l.endpoint) }

// Run implements duty.Duty.
func (l *lane) Run(ctx context.Context) error {
	defer l.caller.Close()
	for {
		order, err := l.inbox.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		result := l.caller.Execute(ctx, order)
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
