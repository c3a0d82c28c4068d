package caller_test

import (
	"context"
	"crypto/sha256"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/caller"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1/callerv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/client"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// fakePeers is another entry that redeems the ticket "foreign".
type fakePeers struct {
	cancelled *ring.Ring[dispatch.CancellationRequested]
}

func (fakePeers) Forward(r *request.Request, reply dispatch.OutcomeReceiver) bool {
	if string(r.Ticket) != "foreign" {
		return false
	}
	_ = reply.Push(request.Answered(request.AnswerStatusOK, []byte("from the issuer")))
	return true
}

func (p fakePeers) Cancel(c dispatch.CancellationRequested) error { return p.cancelled.Push(c) }

// handler returns a handler with one account.
func handler(inbox *ring.Ring[dispatch.Event], maxWaiting int) (*caller.Handler, fakePeers) {
	view := fleet.NewView()
	hash := sha256.Sum256([]byte("secret"))
	view.Configuration.Accounts["newsroom"] = fleet.ClientAccount{ID: "newsroom", CredentialHash: hash[:]}
	p := fakePeers{cancelled: ring.New[dispatch.CancellationRequested]("cancelled", 1)}
	h := &caller.Handler{
		Inbox: inbox, View: &ring.Latest[*fleet.View]{}, Clock: clockwork.NewFakeClock(), DefaultTimeout: time.Second,
		MaxBody: 100, MaxWaiting: maxWaiting, Peers: p,
	}
	h.View.Set(view)
	return h, p
}

func start(t *testing.T, inbox *ring.Ring[dispatch.Event], maxWaiting int, secret string) (callerv1connect.CallerServiceClient, fakePeers) {
	h, p := handler(inbox, maxWaiting)
	mux := http.NewServeMux()
	mux.Handle(h.New())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return client.NewCaller(server.URL, client.CallerOptions{Account: "newsroom", Secret: secret}), p
}

// Guards against a refusal with the outcome not-run although another copy of the ticketed request may run,
// and against refusals without the detail that says not-run.
func TestRequestsNotAcceptedByDispatcher(t *testing.T) {
	swap := func(ticket string, body int) *callerv1.SubmitRequest {
		return &callerv1.SubmitRequest{Service: "shifts", RequestType: "swap", Ticket: []byte(ticket), Body: make([]byte, body)}
	}
	cases := []struct {
		name       string
		maxWaiting int
		secret     string
		request    *callerv1.SubmitRequest
		want       string
		code       connect.Code
	}{
		{"ring full", 9, "secret", swap("", 1), "not-run overloaded", 0},
		{"ring full, with a ticket", 9, "secret", swap("own", 1), "unknown overloaded", 0},
		{"account waits too often", 0, "secret", swap("", 1), "not-run quota", 0},
		{"account waits too often, with a ticket", 0, "secret", swap("own", 1), "unknown quota", 0},
		{"ticket of another issuer", 9, "secret", swap("foreign", 1), "answer", 0},
		{"body too large", 9, "secret", swap("", 101), "refused body-too-large", connect.CodeInvalidArgument},
		{"malformed", 9, "secret", &callerv1.SubmitRequest{}, "refused malformed", connect.CodeInvalidArgument},
		{"wrong secret", 9, "guess", swap("", 1), "refused not-permitted", connect.CodeUnauthenticated},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			inbox := ring.New[dispatch.Event]("dispatcher", 1)
			is.NoErr(inbox.Push(dispatch.ViewChanged{}))
			api, _ := start(t, inbox, c.maxWaiting, c.secret)
			response, err := api.Submit(context.Background(), connect.NewRequest(c.request))
			is.Equal(describe(response, err), c.want)
			if c.code != 0 {
				is.Equal(connect.CodeOf(err), c.code)
			}
		})
	}
}

func describe(response *connect.Response[callerv1.SubmitResponse], err error) string {
	if problem, ok := err.(*connect.Error); ok {
		for _, d := range problem.Details() {
			if v, err := d.Value(); err == nil {
				return "refused " + v.(*callerv1.Refusal).GetReason()
			}
		}
		return "error without detail"
	}
	switch o := response.Msg.GetOutcome().(type) {
	case *callerv1.SubmitResponse_NotRun:
		return "not-run " + o.NotRun.GetReason()
	case *callerv1.SubmitResponse_Unknown:
		return "unknown " + o.Unknown.GetReason()
	}
	return "answer"
}

// Guards against queued work whose caller has disconnected, and against a cancellation that does not reach
// other entries.
func TestCallerDisconnectsAndCancels(t *testing.T) {
	is := is.New(t)
	inbox := ring.New[dispatch.Event]("dispatcher", 8)
	api, p := start(t, inbox, 9, "secret")
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = inbox.Pop(context.Background()) // the request
		cancel()
	}()
	_, err := api.Submit(ctx, connect.NewRequest(&callerv1.SubmitRequest{Service: "shifts", RequestType: "plan", RequestId: "plan-1"}))
	is.Equal(connect.CodeOf(err), connect.CodeCanceled)
	ev, err := inbox.Pop(context.Background())
	is.NoErr(err)
	is.Equal(ev, dispatch.CallerLeft{Account: "newsroom", ID: "plan-1"})
	go func() {
		ev, _ := inbox.Pop(context.Background())
		_ = ev.(dispatch.CancellationRequested).Reply.Push(dispatch.CancelCount{Dequeued: 1})
	}()
	_, err = api.Cancel(context.Background(), connect.NewRequest(&callerv1.CancelRequest{Group: "night"}))
	is.NoErr(err)
	is.Equal(p.cancelled.Depth(), 1)
}

// Guards against an unknown outcome at a planned stop: while the issuer hands over its tickets, the
// ticket is presented again until another entry redeems it.
func TestTicketIsPresentedAgainDuringHandOver(t *testing.T) {
	is := is.New(t)
	inbox := ring.New[dispatch.Event]("dispatcher", 1)
	fake := clockwork.NewFakeClock()
	h := &caller.Handler{Inbox: inbox, View: &ring.Latest[*fleet.View]{}, Clock: fake, DefaultTimeout: time.Minute, MaxBody: 100, MaxWaiting: 1}
	view := fleet.NewView()
	hash := sha256.Sum256([]byte("secret"))
	view.Configuration.Accounts["newsroom"] = fleet.ClientAccount{ID: "newsroom", CredentialHash: hash[:]}
	h.View.Set(view)
	mux := http.NewServeMux()
	mux.Handle(h.New())
	server := httptest.NewServer(mux)
	defer server.Close()
	go func() {
		for _, o := range []request.Outcome{request.Unknown(request.ReasonHandingOver), request.Answered(request.AnswerStatusOK, nil)} {
			ev, _ := inbox.Pop(context.Background())
			_ = ev.(dispatch.Submitted).Reply.Push(o)
			if o.Kind == request.OutcomeUnknown {
				_ = fake.BlockUntilContext(context.Background(), 1)
				fake.Advance(time.Second)
			}
		}
	}()
	api := client.NewCaller(server.URL, client.CallerOptions{Account: "newsroom", Secret: "secret"})
	response, err := api.Submit(context.Background(), connect.NewRequest(&callerv1.SubmitRequest{Service: "shifts", RequestType: "swap", Ticket: []byte("own")}))
	is.Equal(describe(response, err), "answer")
}
