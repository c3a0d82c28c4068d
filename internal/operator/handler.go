// Package operator implements the operator service, which consoles, scripts and phones call.
package operator

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/budget"
	"github.com/mimosawharf/mimosawharf/internal/configuration"
	"github.com/mimosawharf/mimosawharf/internal/operation"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1/operatorv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// HeaderOperator is the header that names the operator. The client sets it if the daemon runs without TLS;
// otherwise the name comes from the client's certificate.
const HeaderOperator = "Mimosawharf-Operator"

// Inbox accepts operations. Push returns *ring.FullError if there is no room.
type Inbox interface {
	Push(operation.Operation) error
}

// Handler serves the operator service. It decides nothing: it answers from the view, or pushes an
// operation to the executor's ring and waits for the result.
type Handler struct {
	operatorv1connect.UnimplementedOperatorServiceHandler

	// The fields are set before the first request.
	Inbox Inbox
	View  *ring.Latest[*fleet.View]
	Clock Clock
	// Loads may be nil; the status then shows no load.
	Loads  Loads
	Bounds operation.StatusBounds
}

// MaxMessageBytes is the largest message of an operator in bytes; a whole configuration fits.
const MaxMessageBytes = 16 << 20

// Route returns the path and the HTTP handler of the operator service.
func (h *Handler) Route(options ...connect.HandlerOption) (string, http.Handler) {
	return operatorv1connect.NewOperatorServiceHandler(h, append(options, connect.WithReadMaxBytes(MaxMessageBytes))...)
}

// ListVMs implements the operator service.
func (h *Handler) ListVMs(_ context.Context, r *connect.Request[operatorv1.ListVMsRequest]) (*connect.Response[operatorv1.ListVMsResponse], error) {
	if err := r.Msg.Check(); err != nil {
		return nil, toConnect(err)
	}
	response := &operatorv1.ListVMsResponse{}
	for _, vm := range wire.SortedVMs(h.view()) {
		if p := r.Msg.GetPool(); p != "" && p != string(vm.Pool) {
			continue
		}
		if z := r.Msg.GetZone(); z != "" && z != string(vm.Zone) {
			continue
		}
		response.Vms = append(response.Vms, wire.VM(vm))
	}
	return connect.NewResponse(response), nil
}

// ChangeVM implements the operator service.
func (h *Handler) ChangeVM(ctx context.Context, r *connect.Request[operatorv1.ChangeVMRequest]) (*connect.Response[operatorv1.ChangeVMResponse], error) {
	if err := r.Msg.Check(); err != nil {
		return nil, toConnect(err)
	}
	o := operation.ChangeVM{
		Identity: identity(r.Header(), r.Msg.GetOperation()),
		VM:       fleet.VMID(r.Msg.GetVm()),
		Command:  operation.VMCommand(r.Msg.GetAction()),
		Pool:     fleet.PoolID(r.Msg.GetPool()),
		Version:  fleet.Version(r.Msg.GetVersion()),
		Reply:    ring.New[operation.Result[fleet.VM]]("operator-vm", 1),
	}
	vm, err := run(ctx, h.Inbox, o, o.Reply)
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&operatorv1.ChangeVMResponse{Vm: wire.VM(vm)}), nil
}

func (h *Handler) view() *fleet.View {
	if v := h.View.Get(); v != nil {
		return v
	}
	return fleet.NewView()
}

func run[T any](ctx context.Context, inbox Inbox, o operation.Operation, reply *ring.Ring[operation.Result[T]]) (T, error) {
	var zero T
	if err := inbox.Push(o); err != nil {
		return zero, trace.Wrap(err)
	}
	result, err := reply.Pop(ctx)
	if err != nil {
		return zero, trace.Wrap(err)
	}
	return result.Value, result.Err
}

func identity(header http.Header, m *operatorv1.Operation) operation.Identity {
	id := fleet.OperationID(m.GetId())
	if id == "" {
		id = fleet.NewOperationID()
	}
	return operation.Identity{ID: id, Actor: fleet.OperatorName(header.Get(HeaderOperator)), Reason: m.GetReason()}
}

// toConnect returns a Connect error with the code that clients act on.
func toConnect(err error) error {
	var (
		full        *ring.FullError
		invalid     *configuration.InvalidError
		exceeded    *budget.ExceededError
		notFound    *operation.NotFoundError
		state       *operation.InvalidStateError
		revision    *operation.RevisionError
		used        *platform.OperationReusedError
		conflict    *platform.ConflictError
		unavailable *platform.UnavailableError
		undecoded   *wire.DecodeError
		rate        *platform.RateExceededError
		stale       *budget.StaleListError
		lagging     *operation.LaggingError
		unconfirmed *operation.UnconfirmedError
	)
	code := connect.CodeInvalidArgument
	switch {
	case errors.As(err, &full), errors.As(err, &rate):
		code = connect.CodeResourceExhausted
	case errors.As(err, &notFound):
		code = connect.CodeNotFound
	case errors.As(err, &exceeded), errors.As(err, &state), errors.As(err, &revision):
		code = connect.CodeFailedPrecondition
	case errors.As(err, &used):
		code = connect.CodeAlreadyExists
	case errors.As(err, &conflict):
		code = connect.CodeAborted
	case errors.As(err, &unavailable), errors.As(err, &stale), errors.As(err, &unconfirmed), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		// The operation may still be in progress when the wait for its result ends.
		code = connect.CodeUnavailable
	case errors.As(err, &lagging):
		code = connect.CodeAborted
	case errors.As(err, &undecoded):
		code = connect.CodeInternal
	case errors.As(err, &invalid):
		code = connect.CodeInvalidArgument
	}
	return connect.NewError(code, trace.Unwrap(err))
}
