// Package endpoint is a stand-in for an endpoint, used by tests and by the demo. It runs requests
// in a fixed number of slots for a simulated time and echoes their bodies.
package endpoint

import (
	"context"
	"net/http"
	"path"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	endpointv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/endpoint/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/endpoint/v1/endpointv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// inboxCapacity bounds the calls that wait for the stand-in's only goroutine.
const inboxCapacity = 1024

// Endpoint is the stand-in. Its duty owns the state.
type Endpoint struct {
	// Clock and Slots are set before Run.
	Clock clock.Clock
	Slots fleet.Slots
	// RunTime returns how long a request runs. It is called by the duty only.
	RunTime func(*endpointv1.RunRequest) time.Duration

	inbox *ring.Ring[event]
	fault ring.Latest[InjectedFault]

	// The fields below are owned by the duty.
	running map[string]*run
	pool    string
	// epoch is the highest assignment epoch seen; requests of an older one are refused.
	epoch   uint64
	leaving bool
	// runs counts the starts of each request by the id that its caller chose.
	runs map[string]int
	peak int
}

// run is one request in a slot.
type run struct {
	request *endpointv1.RunRequest
	reply   *ring.Ring[*endpointv1.RunResponse]
	endsAt  time.Time
	// throttled is set while the rest of the run takes throttleFactor times as long.
	throttled bool
}

// event is one input of the duty.
type event struct {
	run     *endpointv1.RunRequest
	runs    *ring.Ring[*endpointv1.RunResponse]
	control *endpointv1.ControlRequest
	reply   *ring.Ring[*endpointv1.ControlResponse]
	probe   *endpointv1.ProbeRequest
	probed  *ring.Ring[*endpointv1.ProbeResponse]
	do      func()
}

// New returns a stand-in whose requests all run for the same time.
func New(c clock.Clock, slots fleet.Slots, runTime time.Duration) *Endpoint {
	return &Endpoint{
		Clock:   c,
		Slots:   slots,
		RunTime: func(*endpointv1.RunRequest) time.Duration { return runTime },
		inbox:   ring.New[event]("standin-endpoint", inboxCapacity),
		running: map[string]*run{},
		runs:    map[string]int{},
	}
}

// Name implements duty.Duty.
func (e *Endpoint) Name() fleet.DutyName { return "standin-endpoint" }

// Run implements duty.Duty. It handles calls and answers the requests that are done.
func (e *Endpoint) Run(ctx context.Context) error {
	for {
		timer := e.Clock.NewTimer(e.nextEnd())
		ev, ok, err := e.inbox.PopUntil(ctx, timer.Chan())
		timer.Stop()
		if err != nil {
			return trace.Wrap(err)
		}
		if ok {
			e.handle(ev)
		}
		e.finish()
	}
}

// idleWait is how long the duty waits when nothing runs.
const idleWait = time.Hour

func (e *Endpoint) nextEnd() time.Duration {
	wait, now := idleWait, e.Clock.Now()
	for _, r := range e.running {
		wait = min(wait, max(r.endsAt.Sub(now), 0))
	}
	return wait
}

func (e *Endpoint) handle(ev event) {
	switch {
	case ev.run != nil:
		e.start(ev.run, ev.runs)
	case ev.control != nil:
		_ = ev.reply.Push(e.control(ev.control))
	case ev.probe != nil:
		e.updateAssignment(ev.probe.GetPool(), ev.probe.GetAssignmentEpoch())
		_ = ev.probed.Push(&endpointv1.ProbeResponse{Load: e.load(), Healthy: true})
	case ev.do != nil:
		ev.do()
	}
}

// updateAssignment applies an assignment with a higher epoch.
func (e *Endpoint) updateAssignment(pool string, epoch uint64) {
	if epoch > e.epoch {
		e.pool, e.epoch = pool, epoch
	}
}

func (e *Endpoint) start(r *endpointv1.RunRequest, reply *ring.Ring[*endpointv1.RunResponse]) {
	e.updateAssignment(r.GetPool(), r.GetAssignmentEpoch())
	if refusal := e.refusal(r); refusal != "" {
		_ = reply.Push(&endpointv1.RunResponse{
			RequestId: r.GetRequestId(),
			Result:    &endpointv1.RunResponse_NotRun{NotRun: &endpointv1.NotRun{Reason: string(refusal)}},
			Load:      e.load(),
		})
		return
	}
	if len(r.GetCheckpoint()) == 0 {
		// A run that resumes from a checkpoint continues an earlier one.
		e.runs[path.Base(r.GetRequestId())]++
	}
	m := e.fault.Get()
	if m.Fault == FaultFailFast {
		_ = reply.Push(&endpointv1.RunResponse{
			RequestId: r.GetRequestId(),
			Result:    &endpointv1.RunResponse_Failure{Failure: &endpointv1.Failure{Blame: string(request.BlameEndpoint), Detail: "fails everything"}},
			Load:      e.load(),
		})
		return
	}
	e.running[r.GetRequestId()] = &run{request: r, reply: reply, endsAt: e.Clock.Now().Add(e.RunTime(r) + m.extraRunTime())}
	e.peak = max(e.peak, len(e.running))
}

func (e *Endpoint) refusal(r *endpointv1.RunRequest) request.Refusal {
	switch {
	case r.GetAssignmentEpoch() != e.epoch || r.GetPool() != e.pool:
		return request.RefusalWrongAssignment
	case e.leaving:
		return request.RefusalLeaving
	case e.fault.Get().Fault == FaultBusy:
		return request.RefusalBusy
	case len(e.running) >= int(e.Slots) || e.running[r.GetRequestId()] != nil:
		return request.RefusalBusy
	case r.GetBodyDigest() != uint64(request.DigestOf(r.GetBody())):
		return request.RefusalBadDigest
	default:
		return ""
	}
}

// finish answers the requests whose run time has passed.
func (e *Endpoint) finish() {
	now := e.Clock.Now()
	for id, r := range e.running {
		if now.Before(r.endsAt) {
			continue
		}
		delete(e.running, id)
		body := r.request.GetBody()
		_ = r.reply.Push(&endpointv1.RunResponse{
			RequestId: e.fault.Get().requestID(id),
			Result: &endpointv1.RunResponse_Answer{Answer: &endpointv1.Answer{
				Body: body, Length: uint64(len(body)), Digest: uint64(request.DigestOf(body)),
			}},
			Load: e.load(),
		})
	}
}

func (e *Endpoint) control(c *endpointv1.ControlRequest) *endpointv1.ControlResponse {
	r := e.running[c.GetRequestId()]
	if r == nil || e.fault.Get().Fault == FaultIgnoreControls {
		return &endpointv1.ControlResponse{Load: e.load()}
	}
	response := &endpointv1.RunResponse{RequestId: c.GetRequestId()}
	switch c.GetAction() {
	case "checkpoint":
		response.Result = &endpointv1.RunResponse_Checkpointed{Checkpointed: &endpointv1.Checkpointed{Checkpoint: []byte(c.GetRequestId())}}
	case "stop":
		response.Result = &endpointv1.RunResponse_Failure{Failure: &endpointv1.Failure{Blame: string(request.BlameRequest), Detail: "stopped"}}
	default:
		e.setThrottled(r, c.GetAction() == "throttle")
		return &endpointv1.ControlResponse{Applied: true, Load: e.load()}
	}
	delete(e.running, c.GetRequestId())
	response.Load = e.load()
	_ = r.reply.Push(response)
	return &endpointv1.ControlResponse{Applied: true, Load: e.load()}
}

func (e *Endpoint) load() *endpointv1.Load {
	return &endpointv1.Load{Running: uint32(len(e.running)), Slots: uint32(e.Slots), Leaving: e.leaving}
}

// Handler returns the HTTP handler of the endpoint.
func (e *Endpoint) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(endpointv1connect.NewEndpointServiceHandler(handler{endpoint: e}))
	mux.Handle(endpointv1connect.NewObservationServiceHandler(observer{endpoint: e}))
	return faultInjector{next: mux, fault: &e.fault, clock: e.Clock}
}

// Observation is what the endpoint has done so far, for checks of tests and of the demo.
type Observation struct {
	// Runs counts how often each request was started.
	Runs map[fleet.RequestID]int
	// Peak is the highest number of requests that ran at the same time.
	Peak    fleet.Slots
	Running fleet.Slots
}

// Observe returns what the endpoint has done so far.
func (e *Endpoint) Observe(ctx context.Context) (Observation, error) {
	reply := ring.New[Observation]("standin-endpoint-observe", 1)
	err := e.inbox.Push(event{do: func() {
		o := Observation{Runs: map[fleet.RequestID]int{}, Peak: fleet.Slots(e.peak), Running: fleet.Slots(len(e.running))}
		for id, n := range e.runs {
			o.Runs[fleet.RequestID(id)] = n
		}
		_ = reply.Push(o)
	}})
	if err != nil {
		return Observation{}, trace.Wrap(err)
	}
	o, err := reply.Pop(ctx)
	return o, trace.Wrap(err)
}

// SetLeaving sets whether the endpoint reports that it is leaving and refuses requests.
func (e *Endpoint) SetLeaving(leaving bool) error {
	return trace.Wrap(e.inbox.Push(event{do: func() { e.leaving = leaving }}))
}

// handler pushes RPCs to the inbox of the duty and waits for their responses.
type handler struct {
	endpoint *Endpoint
}

// Run implements the endpoint service.
func (h handler) Run(ctx context.Context, r *connect.Request[endpointv1.RunRequest]) (*connect.Response[endpointv1.RunResponse], error) {
	reply := ring.New[*endpointv1.RunResponse]("standin-endpoint-run", 1)
	return wait(ctx, reply, h.endpoint.inbox.Push(event{run: r.Msg, runs: reply}))
}

// Control implements the endpoint service.
func (h handler) Control(ctx context.Context, r *connect.Request[endpointv1.ControlRequest]) (*connect.Response[endpointv1.ControlResponse], error) {
	reply := ring.New[*endpointv1.ControlResponse]("standin-endpoint-control", 1)
	return wait(ctx, reply, h.endpoint.inbox.Push(event{control: r.Msg, reply: reply}))
}

// Probe implements the endpoint service.
func (h handler) Probe(ctx context.Context, r *connect.Request[endpointv1.ProbeRequest]) (*connect.Response[endpointv1.ProbeResponse], error) {
	reply := ring.New[*endpointv1.ProbeResponse]("standin-endpoint-probe", 1)
	return wait(ctx, reply, h.endpoint.inbox.Push(event{probe: r.Msg, probed: reply}))
}

func wait[T any](ctx context.Context, reply *ring.Ring[*T], pushed error) (*connect.Response[T], error) {
	if pushed != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, pushed)
	}
	m, err := reply.Pop(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	return connect.NewResponse(m), nil
}
