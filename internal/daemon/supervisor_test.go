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

// fakePeers stands in for the peers: forwarded requests wait, and one peer takes over the tickets.
type fakePeers struct {
	waiting  ring.Latest[int]
	received *ring.Ring[[]ticket.IncarnationState]
}

func (p *fakePeers) Waiting() int { return p.waiting.Get() }

func (p *fakePeers) HandOver(list []ticket.IncarnationState, reply peer.HandOverReceiver) error {
	_ = p.received.Push(list)
	return reply.Push(peer.HandOverResult{To: "entry-b"})
}

// stopSetup is a supervisor and a callers' server whose requests wait for an item of release.
type stopSetup struct {
	ctx, closing              context.Context
	group                     *duty.Group
	clock                     *clockwork.FakeClock
	peers                     *fakePeers
	requestStop               context.CancelFunc
	address                   string
	entered, release, stopped *ring.Ring[bool]
	status                    ring.Latest[dispatch.Status]
	view                      ring.Latest[*fleet.View]
	readiness                 ring.Latest[balancer.Readiness]
	events                    *ring.Ring[dispatch.Event]
}

func newStopSetup(is *is.I) *stopSetup {
	s := &stopSetup{
		clock: clockwork.NewFakeClock(), peers: &fakePeers{received: ring.New[[]ticket.IncarnationState]("got", 1)}, events: ring.New[dispatch.Event]("dispatcher", 8),
		entered: ring.New[bool]("entered", 1), release: ring.New[bool]("leave", 1), stopped: ring.New[bool]("stopped", 1),
	}
	s.group, s.ctx = duty.NewGroup(context.Background())
	stopRequested, requestStop := context.WithCancel(s.ctx)
	closing, closeCallers := context.WithCancel(s.ctx)
	s.requestStop, s.closing = requestStop, closing
	listener, err := daemon.Listen("127.0.0.1:0")
	is.NoErr(err)
	s.address = listener.Addr().String()
	closed := ring.New[daemon.ServerClosed]("closed", 1)
	s.group.Start(s.ctx, &daemon.Server{Duty: "http", Listener: listener, Closing: closing, Closed: closed, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = s.entered.Push(true)
		_, _ = s.release.Pop(s.ctx)
		_, _ = io.WriteString(w, "whole")
	})})
	view := fleet.NewView()
	view.Configuration.Revision = 1 // from a peer, while the store is down
	s.view.Set(view)
	s.group.Start(s.ctx, &daemon.Supervisor{
		View: &s.view, Readiness: &s.readiness, Status: &s.status, Dispatcher: s.events, Clock: s.clock, Log: zap.NewNop(),
		SettleTime: time.Second, DrainTimeout: time.Hour, StopRequested: stopRequested, Peers: s.peers,
		CloseCallers: closeCallers, Closed: closed, Stopped: func() { _ = s.stopped.Push(true); s.group.Stop() },
	})
	return s
}

// get sends one request and pushes the body of its response.
func (s *stopSetup) get(response *ring.Ring[string]) {
	r, err := http.Get("http://" + s.address)
	if err != nil {
		_ = response.Push(err.Error())
		return
	}
	body, _ := io.ReadAll(r.Body)
	_ = r.Body.Close()
	_ = response.Push(string(body))
}

// Guards against a graceful stop that loses requests of this entry, forwarded requests, tickets or
// responses that are still being written.
func TestGracefulStopFinishesOpenWork(t *testing.T) {
	is := is.New(t)
	s := newStopSetup(is)
	s.peers.waiting.Set(1)
	s.status.Set(dispatch.Status{InFlight: 1})
	is.NoErr(s.clock.BlockUntilContext(s.ctx, 1))
	is.True(s.readiness.Get().Ready)
	response := ring.New[string]("response", 1)
	go s.get(response)
	_, err := s.entered.Pop(s.ctx)
	is.NoErr(err)
	s.requestStop()
	for s.readiness.Get().Ready {
		is.NoErr(s.clock.BlockUntilContext(s.ctx, 1))
	}
	is.Equal(s.events.Depth(), 0) // new work is still accepted during the settle time
	advance := func(d time.Duration) {
		is.NoErr(s.clock.BlockUntilContext(s.ctx, 1))
		s.clock.Advance(d)
	}
	advance(time.Second)
	ev, err := s.events.Pop(s.ctx)
	is.NoErr(err)
	is.Equal(ev, dispatch.StopRequested{})
	s.status.Set(dispatch.Status{Stopping: true}) // own work is done, a forwarded request is not
	advance(20 * time.Millisecond)
	is.NoErr(s.clock.BlockUntilContext(s.ctx, 1))
	is.Equal(s.events.Depth(), 0)
	s.peers.waiting.Set(0)
	advance(20 * time.Millisecond)
	ev, err = s.events.Pop(s.ctx)
	is.NoErr(err)
	is.NoErr(ev.(dispatch.HandOverRequested).Reply.Push([]ticket.IncarnationState{{Incarnation: "one"}}))
	list, err := s.peers.received.Pop(s.ctx)
	is.NoErr(err)
	is.Equal(len(list), 1)
	<-s.closing.Done()
	is.Equal(s.stopped.Depth(), 0) // a response is still being written
	is.NoErr(s.release.Push(true))
	body, err := response.Pop(context.Background())
	is.NoErr(err)
	is.Equal(body, "whole")
	_, err = s.stopped.Pop(context.Background())
	is.NoErr(err)
	is.NoErr(s.group.Wait())
}
