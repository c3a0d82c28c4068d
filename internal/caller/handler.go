// Package caller speaks to the callers of client accounts.
package caller

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1/callerv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Headers that carry the credential of a client account.
const (
	HeaderAccount = "Mimosawharf-Account"
	HeaderSecret  = "Authorization"
	secretScheme  = "Bearer "
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
}

// New returns the path and the HTTP handler of the caller service.
func (h *Handler) New() (string, http.Handler) {
	// The message around the body needs some room of its own.
	return callerv1connect.NewCallerServiceHandler(h, connect.WithReadMaxBytes(2*int(h.MaxBody)+envelopeBytes))
}

// envelopeBytes bounds a message without its body.
const envelopeBytes = 16 << 10

// CredentialError reports an unknown account or a wrong secret. Nothing ran.
type CredentialError struct{}

// Error implements error.
func (*CredentialError) Error() string { return "unknown client account or wrong secret; not run" }

// Submit implements the caller service.
func (h *Handler) Submit(ctx context.Context, r *connect.Request[callerv1.SubmitRequest]) (*connect.Response[callerv1.SubmitResponse], error) {
	account, err := h.authenticate(r.Header())
	if err != nil {
		return nil, err
	}
	if err := r.Msg.Check(); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	req := h.request(account, r.Msg)
	reply := ring.New[request.Outcome]("caller-reply", 1)
	if h.Inbox.Push(dispatch.Submitted{Request: req, Reply: reply}) != nil {
		return connect.NewResponse(wire.SubmitResponse(req.ID, request.NotRun(request.ReasonOverloaded, time.Second))), nil
	}
	outcome, err := reply.Pop(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeCanceled, trace.Wrap(err))
	}
	return connect.NewResponse(wire.SubmitResponse(req.ID, outcome)), nil
}

func (h *Handler) request(account fleet.ClientAccountID, m *callerv1.SubmitRequest) *request.Request {
	now := h.Clock.Now()
	timeout := wire.FromDuration(m.GetTimeout())
	if timeout <= 0 {
		timeout = h.DefaultTimeout
	}
	id := fleet.RequestID(m.GetRequestId())
	if id == "" {
		id = fleet.RequestID(uuid.NewString())
	}
	return &request.Request{
		ID:       id,
		Account:  account,
		Service:  fleet.ServiceID(m.GetService()),
		Type:     fleet.RequestType(m.GetRequestType()),
		Group:    fleet.RequestGroup(m.GetGroup()),
		Ticket:   m.GetTicket(),
		Body:     m.GetBody(),
		Received: now,
		Deadline: now.Add(timeout),
	}
}

// IssueTickets implements the caller service.
func (h *Handler) IssueTickets(ctx context.Context, r *connect.Request[callerv1.IssueTicketsRequest]) (*connect.Response[callerv1.IssueTicketsResponse], error) {
	account, err := h.authenticate(r.Header())
	if err != nil {
		return nil, err
	}
	if err := r.Msg.Check(); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	reply := ring.New[[][]byte]("caller-tickets", 1)
	if err := h.Inbox.Push(dispatch.TicketsWanted{Account: account, Count: int(r.Msg.GetCount()), Reply: reply}); err != nil {
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
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	event := dispatch.Cancelled{
		Account: account,
		Group:   fleet.RequestGroup(r.Msg.GetGroup()),
		Reply:   ring.New[dispatch.CancelCount]("caller-cancel", 1),
	}
	for _, id := range r.Msg.GetRequestIds() {
		event.IDs = append(event.IDs, fleet.RequestID(id))
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

// authenticate returns the account whose secret the headers carry.
func (h *Handler) authenticate(header http.Header) (fleet.ClientAccountID, error) {
	id := fleet.ClientAccountID(header.Get(HeaderAccount))
	secret := strings.TrimPrefix(header.Get(HeaderSecret), secretScheme)
	hash := sha256.Sum256([]byte(secret))
	view := h.View.Get()
	if view == nil {
		return "", connect.NewError(connect.CodeUnavailable, trace.Wrap(&CredentialError{}))
	}
	account, ok := view.Configuration.Accounts[id]
	if !ok || subtle.ConstantTimeCompare(hash[:], account.CredentialHash) != 1 {
		return "", connect.NewError(connect.CodeUnauthenticated, trace.Wrap(&CredentialError{}))
	}
	return id, nil
}
