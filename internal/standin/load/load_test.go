package load_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/standin/endpoint"
	"github.com/mimosawharf/mimosawharf/internal/standin/load"
	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1/callerv1connect"
	endpointv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/endpoint/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/endpoint/v1/endpointv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// autoAdvanceClock advances to the end of each wait at once.
type autoAdvanceClock struct {
	*clockwork.FakeClock
}

func (c autoAdvanceClock) NewTimer(d time.Duration) clock.Timer {
	t := c.FakeClock.NewTimer(d)
	c.Advance(d)
	return t
}

// entry is a stand-in entry that violates one guarantee, or none.
type entry struct {
	callerv1connect.UnimplementedCallerServiceHandler
	violation string
	endpoint  endpointv1connect.EndpointServiceClient
	// answered holds the tickets whose requests have run.
	answered sync.Map
}

func (e *entry) IssueTickets(_ context.Context, r *connect.Request[callerv1.IssueTicketsRequest]) (*connect.Response[callerv1.IssueTicketsResponse], error) {
	m := &callerv1.IssueTicketsResponse{}
	for range r.Msg.GetCount() {
		m.Tickets = append(m.Tickets, []byte(fleet.NewOperationID()))
	}
	return connect.NewResponse(m), nil
}

func (e *entry) Submit(ctx context.Context, r *connect.Request[callerv1.SubmitRequest]) (*connect.Response[callerv1.SubmitResponse], error) {
	m := r.Msg
	if e.violation == "cut" {
		panic(http.ErrAbortHandler)
	}
	runs := 1
	if len(m.GetTicket()) > 0 {
		if _, repeated := e.answered.LoadOrStore(string(m.GetTicket()), true); repeated {
			runs = 0
		} else if e.violation == "double-runs" {
			runs = 2
		}
	}
	for range runs {
		if _, err := e.endpoint.Run(context.WithoutCancel(ctx), connect.NewRequest(&endpointv1.RunRequest{
			RequestId: m.GetRequestId(), Body: m.GetBody(), BodyDigest: uint64(request.DigestOf(m.GetBody())),
		})); err != nil {
			return nil, err
		}
	}
	response := &callerv1.SubmitResponse{RequestId: m.GetRequestId()}
	body := m.GetBody()
	switch e.violation {
	case "lies":
		response.Outcome = &callerv1.SubmitResponse_NotRun{NotRun: &callerv1.NotRun{Reason: "overloaded"}}
		return connect.NewResponse(response), nil
	case "wrong-answers":
		body = body[1:]
	}
	response.Outcome = &callerv1.SubmitResponse_Answer{Answer: &callerv1.Answer{
		Status: "ok", Body: body, Length: uint64(len(body)), Digest: uint64(request.DigestOf(body)),
	}}
	return connect.NewResponse(response), nil
}

// Guards against violations of guarantees that the load does not find, and against findings for an entry
// that works correctly.
func TestRunFindsViolations(t *testing.T) {
	for _, violation := range []string{"", "lies", "double-runs", "wrong-answers", "cut"} {
		t.Run(violation, func(t *testing.T) {
			is := is.New(t)
			output, err := run(t, violation, nil)
			if violation == "" {
				is.NoErr(err)
				is.True(strings.Contains(output, "lies=0 double-runs=0 wrong-answers=0 cut=0"))
				is.True(strings.Contains(output, " answered="))
				return
			}
			var found *load.FindingsError
			is.True(errors.As(err, &found))
			is.True(strings.Contains(output, "finding "+violation))
		})
	}
}

// Guards against findings for connections that were lost because the entry was killed on purpose.
func TestRunAllowsBrokenConnectionsOfKilledEntries(t *testing.T) {
	_, err := run(t, "cut", map[fleet.EntryID]bool{"entry-a": true})
	is.New(t).NoErr(err)
}

// run sends ten minutes of load in simulated time through one entry with the given violation.
func run(t *testing.T, violation string, killed map[fleet.EntryID]bool) (string, error) {
	is := is.New(t)
	e := endpoint.New(clockwork.NewFakeClock(), 64, 0)
	group, running := duty.NewGroup(t.Context())
	group.Start(running, e)
	endpointServer := httptest.NewServer(e.Handler())
	mux := http.NewServeMux()
	mux.Handle(callerv1connect.NewCallerServiceHandler(&entry{
		violation: violation, endpoint: endpointv1connect.NewEndpointServiceClient(endpointServer.Client(), endpointServer.URL),
	}))
	mux.HandleFunc("/readyz", func(http.ResponseWriter, *http.Request) {})
	entryServer := httptest.NewServer(mux)
	t.Cleanup(func() {
		entryServer.Close()
		endpointServer.Close()
		group.Stop()
		_ = group.Wait()
	})
	address := strings.TrimPrefix(entryServer.URL, "http://")
	entries, err := load.ParseEntries(fmt.Sprintf("entry-a@%s@%s", address, address))
	is.NoErr(err)
	endpoints, err := load.ParseEndpoints(strings.TrimPrefix(endpointServer.URL, "http://"))
	is.NoErr(err)
	var output bytes.Buffer
	err = load.Run(t.Context(), load.Options{
		Entries: entries, Endpoints: endpoints, Killed: killed, Service: "rota", Duration: 10 * time.Minute, Rate: 1, Workers: 2, Seed: 1,
		Clock: autoAdvanceClock{clockwork.NewFakeClock()},
	}, &output, io.Discard)
	return output.String(), err
}

// Guards against invalid options that are accepted.
func TestRunRefusesOptions(t *testing.T) {
	good := load.Options{Duration: time.Second, Rate: 1, Workers: 1}
	for name, change := range map[string]func(*load.Options){
		"duration": func(o *load.Options) { o.Duration = 0 },
		"rate":     func(o *load.Options) { o.Rate = 0 },
		"workers":  func(o *load.Options) { o.Workers = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := good
			change(&o)
			var wrong *load.OptionError
			is.True(errors.As(load.Run(t.Context(), o, io.Discard, io.Discard), &wrong))
			is.Equal(wrong.Flag, name)
		})
	}
}
