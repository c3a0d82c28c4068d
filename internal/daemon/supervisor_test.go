package daemon_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/balancer"
	"github.com/mimosawharf/mimosawharf/internal/daemon"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/peer"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// heirs stands for the peers: one forwarded request waits, and one peer takes the tickets.
type heirs struct {
	waiting ring.Latest[int]
	got     *ring.Ring[[]ticket.IncarnationState]
}

func (h *heirs) Waiting() int { return h.waiting.Get() }

func (h *heirs) HandOver(list []ticket.IncarnationState, reply peer.HandOverReceiver) error {
	_ = h.got.Push(list)
	return reply.Push(peer.HandOverResult{To: "entry-b"})
}

// stopBench is a supervisor and a callers' server with one request that waits for leave.
type stopBench struct {
	ctx, closing            context.Context
	group                   *duty.Group
	clock                   *clockwork.FakeClock
	peers                   *heirs
	ask                     context.CancelFunc
	address                 string
	entered, leave, stopped *ring.Ring[bool]
	status                  ring.Latest[dispatch.Status]
	view                    ring.Latest[*fleet.View]
	readiness               ring.Latest[balancer.Readiness]
	events                  *ring.Ring[dispatch.Event]
}

func newStopBench(is *is.I) *stopBench {
	b := &stopBench{
		clock: clockwork.NewFakeClock(), peers: &heirs{got: ring.New[[]ticket.IncarnationState]("got", 1)}, events: ring.New[dispatch.Event]("dispatcher", 8),
		entered: ring.New[bool]("entered", 1), leave: ring.New[bool]("leave", 1), stopped: ring.New[bool]("stopped", 1),
	}
	b.group, b.ctx = duty.NewGroup(context.Background())
	asked, ask := context.WithCancel(b.ctx)
	closing, closeCallers := context.WithCancel(b.ctx)
	b.ask, b.closing = ask, closing
	listener, err := daemon.Listen("127.0.0.1:0")
	is.NoErr(err)
	b.address = listener.Addr().String()
	closed := ring.New[daemon.ServerClosed]("closed", 1)
	b.group.Start(b.ctx, &daemon.Server{Duty: "http", Listener: listener, Closing: closing, Closed: closed, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = b.entered.Push(true)
		_, _ = b.leave.Pop(b.ctx)
		_, _ = io.WriteString(w, "whole")
	})})
	known := fleet.NewView()
	known.Configuration.Revision = 1 // from a peer, while the store is down
	b.view.Set(known)
	b.group.Start(b.ctx, &daemon.Supervisor{
		View: &b.view, Readiness: &b.readiness, Status: &b.status, Dispatcher: b.events, Clock: b.clock, Log: zap.NewNop(),
		SettleTime: time.Second, DrainTimeout: time.Hour, StopAsked: asked, Peers: b.peers,
		CloseCallers: closeCallers, Closed: closed, Stopped: func() { _ = b.stopped.Push(true); b.group.Stop() },
	})
	return b
}

// get sends one request and pushes the body of its response.
func (b *stopBench) get(response *ring.Ring[string]) {
	r, err := http.Get("http://" + b.address)
	if err != nil {
		_ = response.Push(err.Error())
		return
	}
	body, _ := io.ReadAll(r.Body)
	_ = r.Body.Close()
	_ = response.Push(string(body))
}

// Guards against a stop that cuts requests off: work of this entry, forwarded requests, tickets and
// responses that are still written.
func TestGracefulStopFinishesEverythingFirst(t *testing.T) {
	is := is.New(t)
	b := newStopBench(is)
	b.peers.waiting.Set(1)
	b.status.Set(dispatch.Status{InFlight: 1})
	is.NoErr(b.clock.BlockUntilContext(b.ctx, 1))
	is.True(b.readiness.Get().Ready)
	response := ring.New[string]("response", 1)
	go b.get(response)
	_, err := b.entered.Pop(b.ctx)
	is.NoErr(err)
	b.ask()
	for b.readiness.Get().Ready {
		is.NoErr(b.clock.BlockUntilContext(b.ctx, 1))
	}
	is.Equal(b.events.Depth(), 0) // new work is still taken during the settle time
	step := func(d time.Duration) {
		is.NoErr(b.clock.BlockUntilContext(b.ctx, 1))
		b.clock.Advance(d)
	}
	step(time.Second)
	ev, err := b.events.Pop(b.ctx)
	is.NoErr(err)
	is.Equal(ev, dispatch.StopRequested{})
	b.status.Set(dispatch.Status{Stopping: true}) // own work is done, a forwarded request is not
	step(20 * time.Millisecond)
	is.NoErr(b.clock.BlockUntilContext(b.ctx, 1))
	is.Equal(b.events.Depth(), 0)
	b.peers.waiting.Set(0)
	step(20 * time.Millisecond)
	ev, err = b.events.Pop(b.ctx)
	is.NoErr(err)
	is.NoErr(ev.(dispatch.HandOverRequested).Reply.Push([]ticket.IncarnationState{{Incarnation: "one"}}))
	list, err := b.peers.got.Pop(b.ctx)
	is.NoErr(err)
	is.Equal(len(list), 1)
	<-b.closing.Done()
	is.Equal(b.stopped.Depth(), 0) // a response is still written
	is.NoErr(b.leave.Push(true))
	body, err := response.Pop(context.Background())
	is.NoErr(err)
	is.Equal(body, "whole")
	_, err = b.stopped.Pop(context.Background())
	is.NoErr(err)
	is.NoErr(b.group.Wait())
}
