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
	got     *ring.Ring[[]ticket.Shelf]
}

func (h *heirs) Waiting() int { return h.waiting.Get() }

func (h *heirs) HandOver(list []ticket.Shelf, reply peer.HandOverReceiver) error {
	_ = h.got.Push(list)
	return reply.Push(peer.HandOverResult{To: "entry-b"})
}

// Guards against a stop that cuts requests off: work of this entry, forwarded requests, tickets and
// responses that are still written.
func TestGracefulStopFinishesEverythingFirst(t *testing.T) {
	is := is.New(t)
	limit, cancelLimit := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancelLimit()
	group, ctx := duty.NewGroup(limit)
	fake := clockwork.NewFakeClock()
	peers := &heirs{got: ring.New[[]ticket.Shelf]("got", 1)}
	peers.waiting.Set(1)
	asked, ask := context.WithCancel(ctx)
	closing, closeCallers := context.WithCancel(ctx)
	listener, err := daemon.Listen("127.0.0.1:0")
	is.NoErr(err)
	entered, leave := ring.New[bool]("entered", 1), ring.New[bool]("leave", 1)
	closed := ring.New[daemon.ServerClosed]("closed", 1)
	group.Start(ctx, &daemon.Server{Duty: "http", Listener: listener, Closing: closing, Closed: closed, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = entered.Push(true)
		_, _ = leave.Pop(ctx)
		_, _ = io.WriteString(w, "whole")
	})})
	var view ring.Latest[*fleet.View]
	known := fleet.NewView()
	known.Configuration.Revision = 1 // from a peer, while the store is down
	view.Set(known)
	var status ring.Latest[dispatch.Status]
	status.Set(dispatch.Status{InFlight: 1})
	var readiness ring.Latest[balancer.Readiness]
	events := ring.New[dispatch.Event]("dispatcher", 8)
	stopped := ring.New[bool]("stopped", 1)
	group.Start(ctx, &daemon.Supervisor{
		View: &view, Readiness: &readiness, Status: &status, Dispatcher: events, Clock: fake, Log: zap.NewNop(),
		SettleTime: time.Second, DrainTimeout: time.Hour, StopAsked: asked, Peers: peers,
		CloseCallers: closeCallers, Closed: closed, Stopped: func() { _ = stopped.Push(true); group.Stop() },
	})
	is.NoErr(fake.BlockUntilContext(ctx, 1))
	is.True(readiness.Get().Ready)
	response := ring.New[string]("response", 1)
	go func() {
		r, err := http.Get("http://" + listener.Addr().String())
		if err != nil {
			_ = response.Push(err.Error())
			return
		}
		body, _ := io.ReadAll(r.Body)
		_ = r.Body.Close()
		_ = response.Push(string(body))
	}()
	_, err = entered.Pop(ctx)
	is.NoErr(err)
	ask()
	for readiness.Get().Ready {
		is.NoErr(fake.BlockUntilContext(ctx, 1))
	}
	is.Equal(events.Depth(), 0) // new work is still taken during the settle time
	step := func(d time.Duration) {
		is.NoErr(fake.BlockUntilContext(ctx, 1))
		fake.Advance(d)
	}
	step(time.Second)
	ev, err := events.Pop(ctx)
	is.NoErr(err)
	is.Equal(ev, dispatch.StopRequested{})
	status.Set(dispatch.Status{Stopping: true}) // own work is done, a forwarded request is not
	step(20 * time.Millisecond)
	is.NoErr(fake.BlockUntilContext(ctx, 1))
	is.Equal(events.Depth(), 0)
	peers.waiting.Set(0)
	step(20 * time.Millisecond)
	ev, err = events.Pop(ctx)
	is.NoErr(err)
	is.NoErr(ev.(dispatch.HandOverWanted).Reply.Push([]ticket.Shelf{{Incarnation: "one"}}))
	list, err := peers.got.Pop(ctx)
	is.NoErr(err)
	is.Equal(len(list), 1)
	<-closing.Done()
	is.Equal(stopped.Depth(), 0) // a response is still written
	is.NoErr(leave.Push(true))
	body, err := response.Pop(limit)
	is.NoErr(err)
	is.Equal(body, "whole")
	_, err = stopped.Pop(limit)
	is.NoErr(err)
	is.NoErr(group.Wait())
}
