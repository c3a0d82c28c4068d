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

// bench runs one call duty.
type bench struct {
	pool    *endpoint.Pool
	results *ring.Ring[dispatch.Event]
	heard   *ring.Ring[endpoint.Heard]
	group   *duty.Group
	ctx     context.Context
}

func newBench(t *testing.T) *bench {
	group, ctx := duty.NewGroup(context.Background())
	b := &bench{
		pool:    &endpoint.Pool{Jobs: ring.New[endpoint.Job]("calls", 8)},
		results: ring.New[dispatch.Event]("dispatcher", 8),
		heard:   ring.New[endpoint.Heard]("prober", 8),
		group:   group, ctx: ctx,
	}
	group.Start(ctx, &endpoint.Call{
		Jobs: b.pool.Jobs, Results: b.results, Statements: b.results, Heard: b.heard, Client: endpoint.NewClient(2, nil), Scheme: "http", Clock: clock.Real(),
	})
	t.Cleanup(func() { group.Stop(); _ = group.Wait() })
	return b
}

// startEndpoint starts a stand-in whose clock stands still.
func (b *bench) startEndpoint(t *testing.T) (*standin.Endpoint, string) {
	e := standin.New(clockwork.NewFakeClock(), 2, 0)
	b.group.Start(b.ctx, e)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return e, server.Listener.Addr().String()
}

func (b *bench) call(is *is.I, address string, id fleet.RequestID, timeout time.Duration) request.Result {
	is.NoErr(b.pool.Send(dispatch.Send{
		Target:  routing.Target{Endpoint: "vm-1", Address: fleet.Address(address), Pool: "desk", AssignmentEpoch: 1},
		Request: &request.Request{ID: id, Body: []byte("swap")}, Timeout: timeout,
	}))
	ev, err := b.results.Pop(b.ctx)
	is.NoErr(err)
	return ev.(dispatch.AttemptEnded).Result
}

// Guards against an attempt that is taken for not run although bytes reached the endpoint, and against
// an answer that is not whole or not for the request.
func TestAttemptUnderFaults(t *testing.T) {
	const long = 10 * time.Second
	cases := []struct {
		fault   standin.Fault
		timeout time.Duration
		want    request.ResultKind
		reason  request.Reason
		refusal request.Refusal
		runs    int
	}{
		{standin.FaultNone, long, request.ResultAnswered, "", "", 1},
		{standin.FaultCloseBefore, long, request.ResultLost, request.ReasonConnectionLost, "", 0},
		{standin.FaultCloseDuring, long, request.ResultLost, request.ReasonConnectionLost, "", 0},
		{standin.FaultCloseAfter, long, request.ResultLost, request.ReasonConnectionLost, "", 1},
		{standin.FaultTruncated, long, request.ResultLost, request.ReasonConnectionLost, "", 1},
		{standin.FaultLate, 100 * time.Millisecond, request.ResultLost, request.ReasonTimeout, "", 1},
		{standin.FaultDuplicated, long, request.ResultAnswered, "", "", 1},
		{standin.FaultOtherRequest, long, request.ResultLost, request.ReasonIncompleteAnswer, "", 1},
		{standin.FaultEmpty, long, request.ResultLost, request.ReasonConnectionLost, "", 0},
		{standin.FaultBusy, long, request.ResultNotRun, "", request.RefusalBusy, 0},
		{standin.FaultFailFast, long, request.ResultFailed, "", "", 1},
	}
	for _, c := range cases {
		t.Run(string("fault "+c.fault), func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			e, address := b.startEndpoint(t)
			e.SetFault(standin.InjectedFault{Fault: c.fault, Delay: time.Hour})
			result := b.call(is, address, "one", c.timeout)
			is.Equal(result.Kind, c.want)
			is.Equal(result.Reason, c.reason)
			is.Equal(result.Refusal, c.refusal)
			e.SetFault(standin.InjectedFault{})
			is.Equal(b.call(is, address, "two", long).Kind, request.ResultAnswered) // the next request gets its own answer
			o, err := e.Observe(b.ctx)
			is.NoErr(err)
			is.Equal(o.Runs["one"], c.runs)
		})
	}
}

// Guards against an endpoint that is not reachable being taken for one that may have run the request.
func TestUnreachableEndpointDidNotRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	result := newBench(t).call(is, l.Addr().String(), "one", time.Second)
	is.Equal(result.Kind, request.ResultNotRun)
	is.Equal(result.Refusal, request.RefusalUnreachable)
}

// rawServer answers the first request of each connection and closes it within the second one. It pushes
// the path of each request that it saw.
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

// Guards against net/http sending a request again when a reused connection closes after it.
func TestRequestIsSentOnce(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	b := newBench(t)
	s := &rawServer{listener: l, seen: ring.New[string]("seen", 8)}
	b.group.Start(b.ctx, s)
	address := l.Addr().String()
	b.call(is, address, "one", 10*time.Second)
	is.Equal(b.call(is, address, "two", 10*time.Second).Kind, request.ResultLost)
	is.Equal(s.seen.Depth(), 2)

	// The same with a header that makes net/http take the request for replayable: the client removes it.
	for _, client := range []struct {
		http *http.Client
		want int
	}{{endpoint.NewClient(2, nil), 2}, {&http.Client{Transport: &http.Transport{}}, 3}} {
		for s.seen.Depth() > 0 {
			_, _ = s.seen.TryPop()
		}
		for range 2 {
			r, err := http.NewRequestWithContext(b.ctx, http.MethodPost, "http://"+address+"/", strings.NewReader("swap"))
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

// Guards against endpoints that are never asked, asked all the time or asked about by other zones.
func TestProberAsksSilentEndpoints(t *testing.T) {
	is := is.New(t)
	fake := clockwork.NewFakeClock()
	b := newBench(t)
	p := &endpoint.Prober{Zone: "a", Inbox: b.heard, View: &ring.Latest[*fleet.View]{}, Jobs: ring.New[endpoint.Job]("jobs", 8), Clock: fake, Interval: time.Second}
	view := fleet.NewView()
	view.VMs["vm-1"] = fleet.VM{ID: "vm-1", Zone: "a", State: fleet.VMStateServing}
	view.VMs["vm-2"] = fleet.VM{ID: "vm-2", Zone: "b", State: fleet.VMStateServing}
	p.View.Set(view)
	b.group.Start(b.ctx, p)
	is.NoErr(fake.BlockUntilContext(b.ctx, 1))
	fake.Advance(time.Second)
	job, err := p.Jobs.Pop(b.ctx)
	is.NoErr(err)
	is.Equal(job.Probe.VM, fleet.VMID("vm-1"))
	is.Equal(p.Jobs.Depth(), 0)
}

// Guards against a probe whose statement does not reach the dispatcher.
func TestProbeReportsTheEndpoint(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	e, address := b.startEndpoint(t)
	is.NoErr(e.SetLeaving(true))
	is.NoErr(b.pool.Jobs.Push(endpoint.Job{Probe: &routing.Target{Endpoint: "vm-1", Address: fleet.Address(address)}}))
	ev, err := b.results.Pop(b.ctx)
	is.NoErr(err)
	is.True(ev.(dispatch.EndpointReported).Load.Leaving)
}
