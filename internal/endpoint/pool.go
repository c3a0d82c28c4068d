// Package endpoint speaks to endpoints: it carries out attempts and controls of the dispatcher.
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

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	endpointv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/endpoint/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/endpoint/v1/endpointv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Results takes what attempts came to. Its reserve holds one result for each attempt in flight, so
// that pushing a result never fails.
type Results interface {
	PushReserved(dispatch.Event) error
}

// Job is an attempt, a control or a probe.
type Job struct {
	Send    *dispatch.Send
	Control *dispatch.Control
}

// Pool hands jobs to a fixed number of call duties. It implements dispatch.Sender.
type Pool struct {
	// Jobs is shared by the call duties.
	Jobs *ring.Ring[Job]
}

// Send implements dispatch.Sender.
func (p *Pool) Send(s dispatch.Send) error { return trace.Wrap(p.Jobs.Push(Job{Send: &s})) }

// Control implements dispatch.Sender.
func (p *Pool) Control(c dispatch.Control) error { return trace.Wrap(p.Jobs.Push(Job{Control: &c})) }

// Call is a duty that carries out one job at a time.
type Call struct {
	// The fields are set before Run.
	Number  int
	Jobs    *ring.Ring[Job]
	Results Results
	Client  *http.Client
	Scheme  string
	Clock   clock.Clock
}

// Name implements duty.Duty.
func (c *Call) Name() fleet.DutyName { return fleet.DutyName(fmt.Sprintf("call-%d", c.Number)) }

// Run implements duty.Duty.
func (c *Call) Run(ctx context.Context) error {
	for {
		job, err := c.Jobs.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		switch {
		case job.Send != nil:
			result := c.send(ctx, *job.Send)
			if err := c.Results.PushReserved(dispatch.Called{Call: job.Send.Call, Result: result}); err != nil {
				return trace.Wrap(err)
			}
		case job.Control != nil:
			c.control(ctx, *job.Control)
		}
	}
}

// send carries out one attempt. Whether a byte may have reached the endpoint decides between a
// result of not-run and one of lost.
func (c *Call) send(ctx context.Context, s dispatch.Send) request.Result {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	started := c.Clock.Now()
	client := endpointv1connect.NewEndpointServiceClient(c.Client, c.Scheme+"://"+string(s.Target.Address))
	response, err := client.Run(ctx, connect.NewRequest(runRequest(s)))
	elapsed := c.Clock.Now().Sub(started)
	if err != nil {
		return failedCall(err, connected.Load(), elapsed)
	}
	result := wire.FromRunResponse(s.Request.ID, response.Msg)
	result.Elapsed = elapsed
	return result
}

func runRequest(s dispatch.Send) *endpointv1.RunRequest {
	r := s.Request
	return &endpointv1.RunRequest{
		RequestId:       string(r.ID),
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

// failedCall classifies a call without a response. Only a call that never got a connection is known
// not to have run.
func failedCall(err error, connected bool, elapsed time.Duration) request.Result {
	switch {
	case !connected:
		return request.Result{Kind: request.ResultNotRun, Refusal: request.RefusalUnreachable, Elapsed: elapsed}
	case errors.Is(err, context.DeadlineExceeded):
		return request.Result{Kind: request.ResultLost, Reason: request.ReasonTimeout, Elapsed: elapsed}
	default:
		return request.Result{Kind: request.ResultLost, Reason: request.ReasonConnectionLost, Elapsed: elapsed}
	}
}

// controlTimeout bounds a control, which endpoints answer at once.
const controlTimeout = 2 * time.Second

func (c *Call) control(ctx context.Context, control dispatch.Control) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	client := endpointv1connect.NewEndpointServiceClient(c.Client, c.Scheme+"://"+string(control.Target.Address))
	// The result of a control shows in the result of the attempt that it concerns.
	_, _ = client.Control(ctx, connect.NewRequest(&endpointv1.ControlRequest{
		RequestId: string(control.Request), Action: string(control.Action),
	}))
}
