package peer_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/admission"
	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/routing"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// sendRecorder records attempts, which never end.
type sendRecorder struct{ got *ring.Ring[dispatch.Send] }

func (s sendRecorder) Send(attempt dispatch.Send) error { return s.got.Push(attempt) }
func (sendRecorder) Control(dispatch.Control) error     { return nil }

// startDispatcher runs the dispatcher of a node.
func startDispatcher(t *testing.T, n *node, id fleet.EntryID) *ring.Ring[dispatch.Send] {
	d := &dispatch.Dispatcher{
		Engine: dispatch.NewEngine(&admission.Queues{Capacity: 64, MaxBytes: 1 << 20}, &routing.Router{
			Zone: "a", Entry: id, EjectPercent: 30, LoanDuration: 500 * time.Millisecond,
		}, &ticket.Book{Issuer: id, Incarnation: "1"}, 64),
		Inbox: n.events, Sender: sendRecorder{ring.New[dispatch.Send]("sends", 64)}, Clock: clock.Real(), Log: zap.NewNop(), View: &n.view,
		EntriesInZone: 1, Status: &n.status, Peers: n.forwarder,
	}
	group, ctx := duty.NewGroup(context.Background())
	group.Start(ctx, d)
	t.Cleanup(func() { group.Stop(); _ = group.Wait() })
	is.New(t).NoErr(n.events.Push(dispatch.ViewChanged{}))
	return d.Sender.(sendRecorder).got
}

// Guards against an entry that queues short work while slots of its peers are free.
func TestSlotsAreBorrowedOverLinks(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	authority := newAuthority(is)
	a, b := newNode(t, "a", authority.source(is, "a"), nil), newNode(t, "b", authority.source(is, "b"), nil)
	v := viewOf(map[fleet.EntryID]*node{"a": a, "b": b}, 1)
	for i := range 2 {
		id := fleet.VMID(fmt.Sprintf("vm-%d", i))
		v.VMs[id] = fleet.VM{ID: id, Zone: "a", Slots: 8, Pool: "desk", State: fleet.VMStateServing}
	}
	v.Configuration.Services["shifts"] = fleet.Service{ID: "shifts", Pool: "desk", RequestTypes: map[fleet.RequestType]fleet.RequestTypeRule{
		"list": {Name: "list", Class: fleet.ClassNormal, Repeatable: true},
	}}
	a.view.Set(v)
	b.view.Set(v)
	got := startDispatcher(t, a, "a")
	startDispatcher(t, b, "b")
	reply := ring.New[request.Outcome]("replies", 32)
	for i := range 16 {
		is.NoErr(a.events.Push(dispatch.Submitted{Reply: reply, Request: &request.Request{
			ID: fleet.RequestID(fmt.Sprint(i)), Service: "shifts", Type: "list", Deadline: clock.Real().Now().Add(time.Minute),
		}}))
	}
	perEndpoint := map[fleet.EndpointID]int{}
	for range 16 {
		attempt, err := got.Pop(ctx)
		is.NoErr(err)
		perEndpoint[attempt.Target.Endpoint]++
	}
	is.Equal(perEndpoint, map[fleet.EndpointID]int{"vm-0": 8, "vm-1": 8})
}
