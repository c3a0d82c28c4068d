// Package endpoint calls endpoints: it executes the attempts and controls of the dispatcher, and probes.
package endpoint

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/routing"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	endpointv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/endpoint/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/endpoint/v1/endpointv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Results receives the results of attempts. Its reserve has room for one result of each attempt in flight,
// so that pushing a result never fails.
type Results interface {
	PushReserved(dispatch.Event) error
}

// LoadReports receives the load reports of endpoints that come outside attempts.
type LoadReports interface {
	Push(dispatch.Event) error
}

// SeenReceiver is notified when an endpoint has reported its load.
type SeenReceiver interface {
	Push(Seen) error
}

// WorkItem is an attempt, a control or a probe.
type WorkItem struct {
	Send    *dispatch.Send
	Control *dispatch.Control
	Probe   *routing.Target
}

// Pool queues work items for a fixed number of workers. It implements dispatch.Sender.
type Pool struct {
	// WorkItems is shared by the workers.
	WorkItems *ring.Ring[WorkItem]
}

// Send implements dispatch.Sender.
func (p *Pool) Send(s dispatch.Send) error { return trace.Wrap(p.WorkItems.Push(WorkItem{Send: &s})) }

// Control implements dispatch.Sender.
func (p *Pool) Control(c dispatch.Control) error {
	return trace.Wrap(p.WorkItems.Push(WorkItem{Control: &c}))
}

// Worker is a duty that executes one work item at a time.
type Worker struct {
	// The fields are set before Run.
	Number    int
	WorkItems *ring.Ring[WorkItem]
	Results   Results
	// LoadReports and Seen may be nil.
	LoadReports LoadReports
	Seen        SeenReceiver
	Client      *http.Client
	Scheme      string
	Clock       clock.Clock
	// Log may be nil.
	Log *zap.Logger

	clients map[fleet.Address]endpointv1connect.EndpointServiceClient
}

// Name implements duty.Duty.
func (w *Worker) Name() fleet.DutyName { return fleet.DutyName(fmt.Sprintf("call-%d", w.Number)) }

// Run implements duty.Duty.
func (w *Worker) Run(ctx context.Context) error {
	for {
		item, err := w.WorkItems.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		switch {
		case item.Send != nil:
			result := w.send(ctx, *item.Send)
			w.logAttempt(*item.Send, result)
			if err := w.Results.PushReserved(dispatch.AttemptEnded{Call: item.Send.Call, Result: result}); err != nil {
				return trace.Wrap(err)
			}
		case item.Control != nil:
			w.control(ctx, *item.Control)
		case item.Probe != nil:
			w.probe(ctx, *item.Probe)
		}
	}
}

// maxResponseBytes bounds the response to an attempt. Larger ones are not read to the end.
const maxResponseBytes = 1<<20 + 64<<10

// maxClients bounds the clients that a worker caches. Creating one costs about a sixth of an attempt, and 16
// addresses cover the endpoints that a worker soon calls again.
const maxClients = 16

// client returns the client for an endpoint.
func (w *Worker) client(t routing.Target) endpointv1connect.EndpointServiceClient {
	if cached := w.clients[t.Address]; cached != nil {
		return cached
	}
	if w.clients == nil || len(w.clients) >= maxClients {
		w.clients = map[fleet.Address]endpointv1connect.EndpointServiceClient{}
	}
	// Compression would cost more CPU time than it saves on the network within a zone.
	created := endpointv1connect.NewEndpointServiceClient(
		w.Client, w.Scheme+"://"+string(t.Address), connect.WithReadMaxBytes(maxResponseBytes), connect.WithAcceptCompression("gzip", nil, nil),
	)
	w.clients[t.Address] = created
	return created
}

// connTracker records the connection that an attempt got. A connection that an attempt gets only after
// isUnsent is sealed instead.
type connTracker struct {
	conn          atomic.Pointer[guardedConn]
	writtenBefore atomic.Int64
	// unguarded is set if the attempt got a connection of another client, which proves nothing.
	unguarded atomic.Bool
	// reused is set if the attempt got a connection that has carried an earlier request.
	reused atomic.Bool
}

func (t *connTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*guardedConn)
	if !ok {
		t.unguarded.Store(true)
		return
	}
	conn.settle()
	if info.Reused {
		t.reused.Store(true)
	}
	t.writtenBefore.Store(conn.written.Load())
	if !t.conn.CompareAndSwap(nil, conn) {
		// The attempt was abandoned before it got this connection.
		conn.seal()
	}
}

// isUnsent reports whether it is certain that no byte of the attempt has been or will be sent.
func (t *connTracker) isUnsent() bool {
	if t.unguarded.Load() {
		return false
	}
	if t.conn.CompareAndSwap(nil, &guardedConn{}) {
		return true
	}
	return t.conn.Load().sealIfUnused(t.writtenBefore.Load())
}

// send executes one attempt. An attempt without a response is not-run if certainly no byte of it was sent,
// and lost otherwise.
func (w *Worker) send(ctx context.Context, s dispatch.Send) request.Result {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	started := w.Clock.Now()
	for {
		var t connTracker
		response, err := w.client(s.Target).Run(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn}), connect.NewRequest(runRequest(s)))
		// A response without a recorded connection came over a transport that reports none.
		isUnsent := (err != nil || t.conn.Load() != nil) && t.isUnsent()
		if isUnsent && t.reused.Load() && ctx.Err() == nil {
			continue // The kept connection is gone, so this ends at the latest with a new one.
		}
		elapsed := w.Clock.Now().Sub(started)
		if isUnsent {
			return request.Result{Kind: request.ResultNotRun, Refusal: request.RefusalUnreachable, Elapsed: elapsed}
		}
		if err != nil {
			return failedCall(err, elapsed)
		}
		result := wire.FromRunResponse(runID(s.Request.Account, s.Request.ID), response.Msg)
		result.Elapsed = elapsed
		if result.Load != nil {
			w.reportSeen(s.Target)
		}
		return result
	}
}

// logAttempt lets an operator trace a request to its endpoints.
func (w *Worker) logAttempt(s dispatch.Send, r request.Result) {
	if w.Log != nil {
		w.Log.Debug("endpoint: attempt ended", zap.String("request", string(s.Request.ID)), zap.String("account", string(s.Request.Account)),
			zap.String("endpoint", string(s.Target.Endpoint)), zap.Int("attempt", int(s.Attempt)), zap.String("result", string(r.Kind)))
	}
}

// reportSeen notifies the prober that an endpoint has reported its load. If the ring of the prober is full, the
// endpoint may be probed needlessly.
func (w *Worker) reportSeen(t routing.Target) {
	if w.Seen != nil {
		_ = w.Seen.Push(Seen{Endpoint: t.Endpoint})
	}
}

// reportLoad passes on the load that an endpoint reports. A dropped report is repeated with the next probe.
func (w *Worker) reportLoad(t routing.Target, load *endpointv1.Load) {
	if load == nil || w.LoadReports == nil {
		return
	}
	w.reportSeen(t)
	_ = w.LoadReports.Push(dispatch.EndpointReported{Endpoint: t.Endpoint, Load: *wire.FromLoad(load)})
}

func (w *Worker) probe(ctx context.Context, t routing.Target) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	response, err := w.client(t).Probe(ctx, connect.NewRequest(&endpointv1.ProbeRequest{
		Pool: string(t.Pool), AssignmentEpoch: uint64(t.AssignmentEpoch),
	}))
	if err == nil {
		w.reportLoad(t, response.Msg.GetLoad())
	}
}

// runID returns the id under which an endpoint knows a request. Callers choose the ids of their requests, so
// without the account a request could block or stop one of another account. Neither part contains a slash.
func runID(account fleet.ClientAccountID, id fleet.RequestID) fleet.RequestID {
	return fleet.RequestID(string(account) + "/" + string(id))
}

func runRequest(s dispatch.Send) *endpointv1.RunRequest {
	r := s.Request
	return &endpointv1.RunRequest{
		RequestId:       string(runID(r.Account, r.ID)),
		Service:         string(r.Service),
		RequestType:     string(r.Type),
		Account:         string(r.Account),
		Body:            r.Body,
		BodyDigest:      uint64(request.DigestOf(r.Body)),
		Timeout:         wire.Duration(s.Timeout),
		Pool:            string(s.Target.Pool),
		AssignmentEpoch: uint64(s.Target.AssignmentEpoch),
		Checkpoint:      s.Checkpoint,
		Attempt:         uint32(s.Attempt),
	}
}

// failedCall classifies a call that was sent, at least in part, and got no response.
func failedCall(err error, elapsed time.Duration) request.Result {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return request.Result{Kind: request.ResultLost, Reason: request.ReasonTimeout, Elapsed: elapsed}
	case connect.CodeOf(err) == connect.CodeResourceExhausted:
		return request.Result{Kind: request.ResultLost, Reason: request.ReasonIncompleteAnswer, Elapsed: elapsed}
	default:
		return request.Result{Kind: request.ResultLost, Reason: request.ReasonConnectionLost, Elapsed: elapsed}
	}
}

// controlTimeout bounds a control or a probe, which endpoints answer immediately.
const controlTimeout = 2 * time.Second

func (w *Worker) control(ctx context.Context, control dispatch.Control) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	// The effect of a control shows in the result of the attempt that it applies to.
	response, err := w.client(control.Target).Control(ctx, connect.NewRequest(&endpointv1.ControlRequest{
		RequestId: string(runID(control.Account, control.Request)), Action: string(control.Action),
	}))
	if err == nil {
		w.reportLoad(control.Target, response.Msg.GetLoad())
	}
}
