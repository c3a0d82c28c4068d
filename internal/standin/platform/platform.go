// Package platform is a small stand-in for the platform, used by tests and by the demo. It keeps a
// transactional table, an object store and a lagging list of VMs in memory.
package platform

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	platformv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/platform/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/platform/v1/platformv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// inboxCapacity bounds the calls that wait for the stand-in's one goroutine.
const inboxCapacity = 4096

// Platform is the stand-in. Its duty owns all state; the RPC handlers put their calls on its ring.
type Platform struct {
	// Clock is set before Run.
	Clock clock.Clock
	// ListLag is how far the list of VMs lags behind.
	ListLag time.Duration
	// RebootTime is how long an action on a VM takes.
	RebootTime time.Duration

	inbox *ring.Ring[func()]

	table   *table
	objects map[string][]byte
	vms     *vms
	faults  Faults
}

// Faults make the stand-in misbehave. The zero value is a healthy platform.
type Faults struct {
	// Down refuses every call.
	Down bool
	// LoseAnswers drops the answers of that many commits after their effect.
	LoseAnswers int
}

// DownError is the refusal of a platform that is down.
type DownError struct{}

// Error implements error.
func (*DownError) Error() string { return "stand-in platform is down" }

// New returns a stand-in without VMs.
func New(c clock.Clock, listLag, rebootTime time.Duration) *Platform {
	return &Platform{
		Clock:      c,
		ListLag:    listLag,
		RebootTime: rebootTime,
		inbox:      ring.New[func()]("standin-platform", inboxCapacity),
		table:      newTable("history-1"),
		objects:    map[string][]byte{},
		vms:        newVMs(listLag, rebootTime),
	}
}

// Name implements duty.Duty.
func (p *Platform) Name() fleet.DutyName { return "standin-platform" }

// Run implements duty.Duty. It executes one call at a time.
func (p *Platform) Run(ctx context.Context) error {
	for {
		call, err := p.inbox.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		call()
	}
}

// Handler returns the HTTP handler of the platform's services.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewTableServiceHandler(p))
	mux.Handle(platformv1connect.NewObjectServiceHandler(p))
	mux.Handle(platformv1connect.NewVMServiceHandler(p))
	return mux
}

// PutVM adds or replaces a VM.
func (p *Platform) PutVM(ctx context.Context, vm *platformv1.VM) error {
	_, err := do(ctx, p, func() (bool, error) { p.vms.put(p.Clock.Now(), vm); return true, nil })
	return trace.Wrap(err)
}

// RemoveVM takes a VM off the list.
func (p *Platform) RemoveVM(ctx context.Context, id fleet.VMID) error {
	_, err := do(ctx, p, func() (bool, error) { p.vms.remove(p.Clock.Now(), id); return true, nil })
	return trace.Wrap(err)
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(ctx context.Context, f Faults) error {
	_, err := do(ctx, p, func() (bool, error) { p.faults = f; return true, nil })
	return trace.Wrap(err)
}

// Commit implements the table service.
func (p *Platform) Commit(ctx context.Context, r *connect.Request[platformv1.CommitRequest]) (*connect.Response[platformv1.CommitResponse], error) {
	return serve(ctx, p, func() (*platformv1.CommitResponse, error) {
		response := p.table.commit(r.Msg)
		if p.faults.LoseAnswers > 0 {
			p.faults.LoseAnswers--
			return nil, &DownError{}
		}
		return response, nil
	})
}

// Read implements the table service.
func (p *Platform) Read(ctx context.Context, r *connect.Request[platformv1.ReadRequest]) (*connect.Response[platformv1.ReadResponse], error) {
	return serve(ctx, p, func() (*platformv1.ReadResponse, error) { return p.table.read(r.Msg), nil })
}

// Changes implements the table service.
func (p *Platform) Changes(ctx context.Context, r *connect.Request[platformv1.ChangesRequest]) (*connect.Response[platformv1.ChangesResponse], error) {
	return serve(ctx, p, func() (*platformv1.ChangesResponse, error) { return p.table.changes(r.Msg), nil })
}

// PutObject implements the object store.
func (p *Platform) PutObject(ctx context.Context, r *connect.Request[platformv1.PutObjectRequest]) (*connect.Response[platformv1.PutObjectResponse], error) {
	return serve(ctx, p, func() (*platformv1.PutObjectResponse, error) {
		p.objects[r.Msg.GetName()] = r.Msg.GetData()
		return &platformv1.PutObjectResponse{}, nil
	})
}

// GetObject implements the object store.
func (p *Platform) GetObject(ctx context.Context, r *connect.Request[platformv1.GetObjectRequest]) (*connect.Response[platformv1.GetObjectResponse], error) {
	return serve(ctx, p, func() (*platformv1.GetObjectResponse, error) {
		data, ok := p.objects[r.Msg.GetName()]
		return &platformv1.GetObjectResponse{Data: data, Found: ok}, nil
	})
}

// ListVMs implements the VM service.
func (p *Platform) ListVMs(ctx context.Context, r *connect.Request[platformv1.ListVMsRequest]) (*connect.Response[platformv1.ListVMsResponse], error) {
	return serve(ctx, p, func() (*platformv1.ListVMsResponse, error) {
		return p.vms.list(p.Clock.Now(), r.Msg.GetZones()), nil
	})
}

// ActOnVM implements the VM service.
func (p *Platform) ActOnVM(ctx context.Context, r *connect.Request[platformv1.ActOnVMRequest]) (*connect.Response[platformv1.ActOnVMResponse], error) {
	return serve(ctx, p, func() (*platformv1.ActOnVMResponse, error) { return p.vms.act(p.Clock.Now(), r.Msg), nil })
}

// serve runs a call of an RPC on the duty, unless the platform is down.
func serve[T any](ctx context.Context, p *Platform, call func() (*T, error)) (*connect.Response[T], error) {
	m, err := do(ctx, p, func() (*T, error) {
		if p.faults.Down {
			return nil, &DownError{}
		}
		return call()
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(m), nil
}

type outcome[T any] struct {
	value T
	err   error
}

// do runs a call on the duty and waits for its result.
func do[T any](ctx context.Context, p *Platform, call func() (T, error)) (T, error) {
	reply := ring.New[outcome[T]]("standin-platform-reply", 1)
	err := p.inbox.Push(func() {
		value, err := call()
		// The reply ring has room for the one result.
		_ = reply.Push(outcome[T]{value: value, err: err})
	})
	if err != nil {
		var zero T
		return zero, trace.Wrap(err)
	}
	o, err := reply.Pop(ctx)
	if err != nil {
		return o.value, trace.Wrap(err)
	}
	return o.value, o.err
}
