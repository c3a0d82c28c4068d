// Package caller serves the RPC interface for the callers of client accounts.
package caller

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1/callerv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Inbox receives events for the dispatcher. Push returns *ring.FullError if it is full.
type Inbox interface {
	Push(dispatch.Event) error
}

// Handler serves the caller service. It only authenticates and decodes requests, passes them to the
// dispatcher or a peer, and waits for the reply.
type Handler struct {
	// The fields are set before the first request.
	Inbox          Inbox
	View           *ring.Latest[*fleet.View]
	Clock          clock.Clock
	DefaultTimeout time.Duration
	MaxBody        fleet.Bytes
	TicketLifetime time.Duration
	// MaxWaiting bounds the requests of one account that wait at this entry, and likewise its connections.
	MaxWaiting int
	// Observer and Log may be nil.
	Observer Observer
	Log      *zap.Logger
	// Peers is nil for an entry without peers.
	Peers Peers

	// waiting counts requests, connections counts connections.
	waiting, connections counters
}

// Peers sends requests and cancellations to other entries. Forward returns false for a request that this
// entry handles itself; otherwise the reply receives the outcome.
type Peers interface {
	Forward(*request.Request, dispatch.OutcomeReceiver) bool
	Cancel(dispatch.CancellationRequested) error
}

// refusalRetryAfter is the retry-after hint for a request that was not accepted.
const refusalRetryAfter = time.Second

// New returns the path and the HTTP handler of the caller service.
func (h *Handler) New(options ...connect.HandlerOption) (string, http.Handler) {
	return callerv1connect.NewCallerServiceHandler(h, append(options, connect.WithReadMaxBytes(int(h.MaxMessage())), connect.WithCompressMinBytes(compressMinBytes))...)
}

// MaxMessage returns the maximum size of a message. A body is a third larger in JSON, and the fields around
// it need some room of their own.
func (h *Handler) MaxMessage() fleet.Bytes { return 2*h.MaxBody + envelopeBytes }

// compressMinBytes is the size from which responses are compressed. Compressing a smaller one would take longer
// than the rest of its processing in the entry.
const compressMinBytes = 32 << 10

// envelopeBytes bounds a message without its body.
const envelopeBytes = 16 << 10

// Submit implements the caller service.
func (h *Handler) Submit(ctx context.Context, r *connect.Request[callerv1.SubmitRequest]) (*connect.Response[callerv1.SubmitResponse], error) {
	account, err := h.authenticate(r.Header())
	if err == nil {
		err = h.check(r.Msg)
	}
	if err != nil {
		countRefusal(h.Observer, err)
		return nil, err
	}
	req := h.request(account, r.Msg)
	outcome, err := h.run(ctx, req)
	if err != nil {
		return nil, connect.NewError(connect.CodeCanceled, trace.Wrap(err))
	}
	if h.Observer != nil {
		h.Observer.Ended(outcome.Kind, outcome.Reason)
	}
	h.logEnd(req, outcome)
	return connect.NewResponse(wire.SubmitResponse(req.ID, outcome)), nil
}

// run submits a request and waits for its outcome. It returns the error of the context if the caller
// disconnects first.
func (h *Handler) run(ctx context.Context, req *request.Request) (request.Outcome, error) {
	waiting := h.waiting.of(req.Account)
	defer waiting.Add(-1)
	if waiting.Add(1) > int64(h.MaxWaiting) {
		return notAccepted(req, request.ReasonQuota), nil
	}
	h.logStart(req)
	outcome, err := h.outcome(ctx, req)
	if err != nil && len(req.Ticket) == 0 {
		// A ticketed request continues, and its outcome is recorded for the ticket.
		_ = h.Inbox.Push(dispatch.CallerLeft{Account: req.Account, ID: req.ID})
	}
	return outcome, trace.Wrap(err)
}

// handOverRetryInterval is the delay before a ticket that is being handed over is presented again. A
// hand-over takes as long as its bytes need at the rate limit between peers, a few seconds at most.
const handOverRetryInterval = 100 * time.Millisecond

// outcome returns the outcome of a request. A ticket that its issuer is handing over is presented again,
// so that a planned stop does not cause unknown outcomes. The request still runs at most once.
func (h *Handler) outcome(ctx context.Context, r *request.Request) (request.Outcome, error) {
	for {
		reply := ring.New[request.Outcome]("caller-reply", 1)
		if !h.forward(r, reply) && h.Inbox.Push(dispatch.Submitted{Request: r, Reply: reply}) != nil {
			return notAccepted(r, request.ReasonOverloaded), nil
		}
		o, err := reply.Pop(ctx)
		if err != nil || o.Reason != request.ReasonHandingOver || !h.Clock.Now().Add(handOverRetryInterval).Before(r.Deadline) {
			return o, trace.Wrap(err)
		}
		if err := clock.Wait(ctx, h.Clock, handOverRetryInterval); err != nil {
			return o, trace.Wrap(err)
		}
	}
}

// forward forwards a request whose ticket another entry redeems. It returns false for any other request.
func (h *Handler) forward(r *request.Request, reply dispatch.OutcomeReceiver) bool {
	return len(r.Ticket) > 0 && h.Peers != nil && h.Peers.Forward(r, reply)
}

// notAccepted is the outcome of a request that did not reach the dispatcher. It is unknown for a ticketed
// request: its ticket is not consumed, so that another copy of the request may have run or may still run.
func notAccepted(r *request.Request, reason request.Reason) request.Outcome {
	if len(r.Ticket) > 0 {
		return request.Unknown(reason)
	}
	return request.NotRun(reason, refusalRetryAfter)
}

func (h *Handler) request(account fleet.ClientAccountID, m *callerv1.SubmitRequest) *request.Request {
	r := wire.FromSubmitRequest(h.Clock.Now(), account, m, h.DefaultTimeout)
	if r.ID == "" {
		r.ID = fleet.RequestID(uuid.NewString())
	}
	return r
}

// IssueTickets implements the caller service.
func (h *Handler) IssueTickets(ctx context.Context, r *connect.Request[callerv1.IssueTicketsRequest]) (*connect.Response[callerv1.IssueTicketsResponse], error) {
	account, err := h.authenticate(r.Header())
	if err != nil {
		return nil, err
	}
	if err := r.Msg.Check(); err != nil {
		return nil, refusal(connect.CodeInvalidArgument, request.ReasonMalformed, err)
	}
	reply := ring.New[[][]byte]("caller-tickets", 1)
	if err := h.Inbox.Push(dispatch.TicketsRequested{Account: account, Count: int(r.Msg.GetCount()), Reply: reply}); err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	tickets, err := reply.Pop(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeCanceled, trace.Wrap(err))
	}
	return connect.NewResponse(&callerv1.IssueTicketsResponse{Tickets: tickets, ValidFor: wire.Duration(h.TicketLifetime)}), nil
}

// Cancel implements the caller service.
func (h *Handler) Cancel(ctx context.Context, r *connect.Request[callerv1.CancelRequest]) (*connect.Response[callerv1.CancelResponse], error) {
	account, err := h.authenticate(r.Header())
	if err != nil {
		return nil, err
	}
	if err := r.Msg.Check(); err != nil {
		return nil, refusal(connect.CodeInvalidArgument, request.ReasonMalformed, err)
	}
	event := wire.FromCancelRequest(account, r.Msg)
	event.Reply = ring.New[dispatch.CancelCount]("caller-cancel", 1)
	if h.Peers != nil {
		// The caller does not know which entry holds the request.
		if err := h.Peers.Cancel(event); err != nil {
			return nil, connect.NewError(connect.CodeResourceExhausted, err)
		}
	}
	if err := h.Inbox.Push(event); err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	count, err := event.Reply.Pop(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeCanceled, trace.Wrap(err))
	}
	return connect.NewResponse(&callerv1.CancelResponse{Dequeued: uint32(count.Dequeued), Stopping: uint32(count.Stopping)}), nil
}
