// Package platform is a stand-in for the platform, used by tests and by the demo. It keeps a transactional
// table, an object store and a lagging list of VMs in memory, and injects faults on request.
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

// inboxCapacity bounds the calls that wait for the stand-in's only goroutine.
const inboxCapacity = 4096

// Platform serves a store to many clients. Its duty owns the store; the RPC handlers push their calls to
// its inbox.
type Platform struct {
	clock clock.Clock
	inbox *ring.Ring[func()]
	store *Store
}

// New returns a stand-in without VMs.
func New(c clock.Clock, listLag, rebootTime time.Duration) *Platform {
	return &Platform{
		clock: c,
		inbox: ring.New[func()]("standin-platform", inboxCapacity),
		store: NewStore(c, listLag, rebootTime),
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

// Handler returns the HTTP handler of the platform's services and of the control of its faults.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewTableServiceHandler(p))
	mux.Handle(platformv1connect.NewObjectServiceHandler(p))
	mux.Handle(platformv1connect.NewVMServiceHandler(p))
	mux.Handle(platformv1connect.NewFaultServiceHandler(control{platform: p}))
	return mux
}

// Change calls a function on the store in the duty's goroutine.
func (p *Platform) Change(ctx context.Context, change func(*Store)) error {
	_, err := do(ctx, p, func() (bool, error) { change(p.store); return true, nil })
	return trace.Wrap(err)
}

// PutVM adds or replaces a VM.
func (p *Platform) PutVM(ctx context.Context, vm *platformv1.VM) error {
	return p.Change(ctx, func(s *Store) { s.PutVM(vm) })
}

// RemoveVM removes a VM from the list.
func (p *Platform) RemoveVM(ctx context.Context, id fleet.VMID) error {
	return p.Change(ctx, func(s *Store) { s.RemoveVM(id) })
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(ctx context.Context, f Faults) error {
	return p.Change(ctx, func(s *Store) { s.Faults = f })
}

// Commit implements the table service.
func (p *Platform) Commit(ctx context.Context, r *connect.Request[platformv1.CommitRequest]) (*connect.Response[platformv1.CommitResponse], error) {
	return serve(ctx, p, r, p.store.Commit)
}

// Read implements the table service.
func (p *Platform) Read(ctx context.Context, r *connect.Request[platformv1.ReadRequest]) (*connect.Response[platformv1.ReadResponse], error) {
	return serve(ctx, p, r, p.store.Read)
}

// Changes implements the table service.
func (p *Platform) Changes(ctx context.Context, r *connect.Request[platformv1.ChangesRequest]) (*connect.Response[platformv1.ChangesResponse], error) {
	return serve(ctx, p, r, p.store.Changes)
}

// PutObject implements the object store.
func (p *Platform) PutObject(ctx context.Context, r *connect.Request[platformv1.PutObjectRequest]) (*connect.Response[platformv1.PutObjectResponse], error) {
	return serve(ctx, p, r, p.store.PutObject)
}

// GetObject implements the object store.
func (p *Platform) GetObject(ctx context.Context, r *connect.Request[platformv1.GetObjectRequest]) (*connect.Response[platformv1.GetObjectResponse], error) {
	return serve(ctx, p, r, p.store.GetObject)
}

// ListVMs implements the VM service.
func (p *Platform) ListVMs(ctx context.Context, r *connect.Request[platformv1.ListVMsRequest]) (*connect.Response[platformv1.ListVMsResponse], error) {
	return serve(ctx, p, r, p.store.ListVMs)
}

// ActOnVM implements the VM service.
func (p *Platform) ActOnVM(ctx context.Context, r *connect.Request[platformv1.ActOnVMRequest]) (*connect.Response[platformv1.ActOnVMResponse], error) {
	return serve(ctx, p, r, p.store.ActOnVM)
}

// serve runs an RPC on the duty. Faults.Slow delays the answer after the effect.
func serve[Q, A any](ctx context.Context, p *Platform, r *connect.Request[Q], call func(context.Context, *connect.Request[Q]) (*connect.Response[A], error)) (*connect.Response[A], error) {
	slow := time.Duration(0)
	response, err := do(ctx, p, func() (*connect.Response[A], error) {
		slow = p.store.Faults.Slow
		return call(ctx, r)
	})
	if err == nil && slow > 0 {
		err = clock.Wait(ctx, p.clock, slow)
	}
	if err != nil {
		return nil, err
	}
	return response, nil
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
