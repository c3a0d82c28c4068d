// Package caller speaks to the callers of client accounts.
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

// Inbox takes events for the dispatcher. Push returns *ring.FullError when there is no room.
type Inbox interface {
	Push(dispatch.Event) error
}

// Handler serves the caller service. It only decodes, puts an event on the dispatcher's ring and
// waits for its own answer.
type Handler struct {
	// The fields are set before the first request.
	Inbox          Inbox
	View           *ring.Latest[*fleet.View]
	Clock          clock.Clock
	DefaultTimeout time.Duration
	MaxBody        fleet.Bytes
	TicketLifetime time.Duration
	// MaxWaiting bounds the requests of one account that wait at this entry, and its connections.
	MaxWaiting int
	// Observer and Log may be nil.
	Observer Observer
	Log      *zap.Logger
	// Peers is nil for an entry without peers.
	Peers Peers

	// waiting counts requests, connections counts connections.
	waiting, connections counters
}

// Peers passes on what concerns other entries. Forward returns false for a request that this entry
// takes itself, and gives the reply its outcome otherwise.
type Peers interface {
	Forward(*request.Request, dispatch.OutcomeReceiver) bool
	Cancel(dispatch.CancelRequested) error
}

// refusalRetry is the retry hint of a request that the dispatcher did not take.
const refusalRetry = time.Second

// New returns the path and the HTTP handler of the caller service.
func (h *Handler) New(options ...connect.HandlerOption) (string, http.Handler) {
	return callerv1connect.NewCallerServiceHandler(h, append(options, connect.WithReadMaxBytes(int(h.MaxMessage())), connect.WithCompressMinBytes(compressMinBytes))...)
}

// MaxMessage returns the size up to which a message is read. A body in JSON takes a third more bytes,
// and the message around it needs some room of its own.
func (h *Handler) MaxMessage() fleet.Bytes { return 2*h.MaxBody + envelopeBytes }

// compressMinBytes is the size from which answers are compressed. For smaller ones, compression takes
// longer than the rest of the way through the entry.
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

// run passes a request on and waits for its outcome. It returns the error of the context when the
// caller leaves first.
func (h *Handler) run(ctx context.Context, req *request.Request) (request.Outcome, error) {
	waiting := h.waiting.of(req.Account)
	defer waiting.Add(-1)
	if waiting.Add(1) > int64(h.MaxWaiting) {
		return notTaken(req, request.ReasonQuota), nil
	}
	h.logStart(req)
	outcome, err := h.outcome(ctx, req)
	if err != nil && len(req.Ticket) == 0 {
		// A ticketed request goes on, and its outcome is kept for the ticket.
		_ = h.Inbox.Push(dispatch.CallerLeft{Account: req.Account, ID: req.ID})
	}
	return outcome, trace.Wrap(err)
}

// handOverPause is the wait until a ticket that is being handed over is presented again. A hand-over takes
// as long as its bytes need at the rate between peers, which is some seconds at most.
const handOverPause = 100 * time.Millisecond

// outcome returns the outcome of a request. A ticket that its issuer is handing over is presented again,
// so that a planned stop leaves no caller without a certain outcome; it runs at most once all the same.
func (h *Handler) outcome(ctx context.Context, r *request.Request) (request.Outcome, error) {
	for {
		reply := ring.New[request.Outcome]("caller-reply", 1)
		if !h.forward(r, reply) && h.Inbox.Push(dispatch.Submitted{Request: r, Reply: reply}) != nil {
			return notTaken(r, request.ReasonOverloaded), nil
		}
		o, err := reply.Pop(ctx)
		if err != nil || o.Reason != request.ReasonHandingOver || !h.Clock.Now().Add(handOverPause).Before(r.Deadline) {
			return o, trace.Wrap(err)
		}
		if err := clock.Wait(ctx, h.Clock, handOverPause); err != nil {
			return o, trace.Wrap(err)
		}
	}
}

// forward passes a request whose ticket another entry redeems to that entry.
func (h *Handler) forward(r *request.Request, reply dispatch.OutcomeReceiver) bool {
	return len(r.Ticket) > 0 && h.Peers != nil && h.Peers.Forward(r, reply)
}

// notTaken is the outcome of a request that did not get as far as the dispatcher. Its ticket is not
// used up, so that another copy of a ticketed request may have run or may still run.
func notTaken(r *request.Request, reason request.Reason) request.Outcome {
	if len(r.Ticket) > 0 {
		return request.Unknown(reason)
	}
	return request.NotRun(reason, refusalRetry)
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
