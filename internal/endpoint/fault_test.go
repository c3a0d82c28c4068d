package endpoint_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/endpoint"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/routing"
	standin "github.com/mimosawharf/mimosawharf/internal/standin/endpoint"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// fixture runs one worker.
type fixture struct {
	pool    *endpoint.Pool
	results *ring.Ring[dispatch.Event]
	seen    *ring.Ring[endpoint.Seen]
	group   *duty.Group
	ctx     context.Context
}

func newFixture(t *testing.T) *fixture { return newFixtureWithContext(context.Background(), t) }

func newFixtureWithContext(ctx context.Context, t *testing.T) *fixture {
	group, ctx := duty.NewGroup(ctx)
	f := &fixture{
		pool:    &endpoint.Pool{WorkItems: ring.New[endpoint.WorkItem]("calls", 8)},
		results: ring.New[dispatch.Event]("dispatcher", 8),
		seen:    ring.New[endpoint.Seen]("prober", 8),
		group:   group, ctx: ctx,
	}
	group.Start(ctx, &endpoint.Worker{
		WorkItems: f.pool.WorkItems, Results: f.results, LoadReports: f.results, Seen: f.seen, Client: endpoint.NewClient(2, nil), Scheme: "http", Clock: clock.Real(),
	})
	t.Cleanup(func() { group.Stop(); _ = group.Wait() })
	return f
}

// startEndpoint starts a stand-in whose clock does not advance.
func (f *fixture) startEndpoint(t *testing.T) (*standin.Endpoint, string) {
	e := standin.New(clockwork.NewFakeClock(), 2, 0)
	f.group.Start(f.ctx, e)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return e, server.Listener.Addr().String()
}

func (f *fixture) call(is *is.I, address string, id fleet.RequestID, timeout time.Duration) request.Result {
	is.NoErr(f.pool.Send(dispatch.Send{
		Target:  routing.Target{Endpoint: "vm-1", Address: fleet.Address(address), Pool: "desk", AssignmentEpoch: 1},
		Request: &request.Request{ID: id, Body: []byte("swap")}, Timeout: timeout,
	}))
	ev, err := f.results.Pop(f.ctx)
	is.NoErr(err)
	return ev.(dispatch.AttemptEnded).Result
}

// Guards against an attempt that counts as not run although bytes reached the endpoint, and against
// accepting an answer that is incomplete or belongs to another request.
func TestAttemptUnderFaults(t *testing.T) {
	const longTimeout = 10 * time.Second
	cases := []struct {
		fault   standin.Fault
		timeout time.Duration
		want    request.ResultKind
		reason  request.Reason
		refusal request.Refusal
		runs    int
	}{
		{standin.FaultNone, longTimeout, request.ResultAnswered, "", "", 1},
		{standin.FaultCloseBefore, longTimeout, request.ResultLost, request.ReasonConnectionLost, "", 0},
		{standin.FaultCloseDuring, longTimeout, request.ResultLost, request.ReasonConnectionLost, "", 0},
		{standin.FaultCloseAfter, longTimeout, request.ResultLost, request.ReasonConnectionLost, "", 1},
		{standin.FaultTruncated, longTimeout, request.ResultLost, request.ReasonConnectionLost, "", 1},
		{standin.FaultLate, 100 * time.Millisecond, request.ResultLost, request.ReasonTimeout, "", 1},
		{standin.FaultDuplicated, longTimeout, request.ResultAnswered, "", "", 1},
		{standin.FaultOtherRequest, longTimeout, request.ResultLost, request.ReasonIncompleteAnswer, "", 1},
		{standin.FaultEmpty, longTimeout, request.ResultLost, request.ReasonConnectionLost, "", 0},
		{standin.FaultBusy, longTimeout, request.ResultNotRun, "", request.RefusalBusy, 0},
		{standin.FaultFailFast, longTimeout, request.ResultFailed, "", "", 1},
	}
	for _, c := range cases {
		t.Run(string("fault "+c.fault), func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			e, address := f.startEndpoint(t)
			e.SetFault(standin.InjectedFault{Fault: c.fault, Delay: time.Hour})
			result := f.call(is, address, "one", c.timeout)
			is.Equal(result.Kind, c.want)
			is.Equal(result.Reason, c.reason)
			is.Equal(result.Refusal, c.refusal)
			e.SetFault(standin.InjectedFault{})
			is.Equal(f.call(is, address, "two", longTimeout).Kind, request.ResultAnswered) // the next request gets its own answer
			o, err := e.Observe(f.ctx)
			is.NoErr(err)
			is.Equal(o.Runs["one"], c.runs)
		})
	}
}

// Guards against an attempt at an unreachable endpoint that counts as possibly run.
func TestUnreachableEndpointDidNotRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	result := newFixture(t).call(is, l.Addr().String(), "one", time.Second)
	is.Equal(result.Kind, request.ResultNotRun)
	is.Equal(result.Refusal, request.RefusalUnreachable)
}

// rawServer answers the first request of each connection and closes the connection after reading the second
// one. It pushes the path of each request that it has read.
type rawServer struct {
	listener net.Listener
	seen     *ring.Ring[string]
}

// Name implements duty.Duty.
func (*rawServer) Name() fleet.DutyName { return "raw-server" }

// Run implements duty.Duty.
func (s *rawServer) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = s.listener.Close() })()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return err
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		reader := bufio.NewReader(conn)
		for i := range 2 {
			r, err := http.ReadRequest(reader)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_ = s.seen.Push(r.URL.Path)
			if i == 0 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length: 0\r\n\r\n")
			}
		}
		stop()
		_ = conn.Close()
	}
}

// Guards against net/http resending a request when a reused connection closes before the response.
func TestRequestIsSentOnce(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	f := newFixture(t)
	s := &rawServer{listener: l, seen: ring.New[string]("seen", 8)}
	f.group.Start(f.ctx, s)
	address := l.Addr().String()
	f.call(is, address, "one", 10*time.Second)
	is.Equal(f.call(is, address, "two", 10*time.Second).Kind, request.ResultLost)
	is.Equal(s.seen.Depth(), 2)

	// The same with a header that makes net/http regard the request as replayable: the client removes it.
	for _, client := range []struct {
		http *http.Client
		want int
	}{{endpoint.NewClient(2, nil), 2}, {&http.Client{Transport: &http.Transport{}}, 3}} {
		for s.seen.Depth() > 0 {
			_, _ = s.seen.TryPop()
		}
		for range 2 {
			r, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+address+"/", strings.NewReader("swap"))
			is.NoErr(err)
			r.Header.Set("Idempotency-Key", "key")
			if response, err := client.http.Do(r); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		}
		is.Equal(s.seen.Depth(), client.want)
	}
}

// Guards against endpoints that are never probed, probed too often or probed from other zones.
func TestProberProbesSilentEndpoints(t *testing.T) {
	is := is.New(t)
	fake := clockwork.NewFakeClock()
	f := newFixture(t)
	p := &endpoint.Prober{Zone: "a", Inbox: f.seen, View: &ring.Latest[*fleet.View]{}, WorkItems: ring.New[endpoint.WorkItem]("jobs", 8), Clock: fake, Interval: time.Second}
	view := fleet.NewView()
	view.VMs["vm-1"] = fleet.VM{ID: "vm-1", Zone: "a", State: fleet.VMStateServing}
	view.VMs["vm-2"] = fleet.VM{ID: "vm-2", Zone: "b", State: fleet.VMStateServing}
	p.View.Set(view)
	f.group.Start(f.ctx, p)
	is.NoErr(fake.BlockUntilContext(f.ctx, 1))
	fake.Advance(time.Second)
	item, err := p.WorkItems.Pop(f.ctx)
	is.NoErr(err)
	is.Equal(item.Probe.VM, fleet.VMID("vm-1"))
	is.Equal(p.WorkItems.Depth(), 0)
}

// Guards against a probe whose load report does not reach the dispatcher.
func TestProbeReportsTheEndpoint(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	e, address := f.startEndpoint(t)
	is.NoErr(e.SetLeaving(true))
	is.NoErr(f.pool.WorkItems.Push(endpoint.WorkItem{Probe: &routing.Target{Endpoint: "vm-1", Address: fleet.Address(address)}}))
	ev, err := f.results.Pop(f.ctx)
	is.NoErr(err)
	is.True(ev.(dispatch.EndpointReported).Load.Leaving)
}
