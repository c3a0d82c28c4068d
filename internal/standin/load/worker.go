package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1/callerv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Times of a caller.
const (
	requestTimeout = 20 * time.Second
	// callTimeout is longer than the timeout of the request, so that a lost response is noticed.
	callTimeout = requestTimeout + 10*time.Second
	// shortTimeout is the timeout of a caller that abandons its call and repeats it while it may still run.
	shortTimeout = 10 * time.Millisecond
	// retryDelay is the wait between two attempts of one request.
	retryDelay = 200 * time.Millisecond
	// maxAttempts bounds the calls for one request.
	maxAttempts = 6
)

// Parameters of requests with tickets.
const (
	// abandonPercent of the requests are first sent with shortTimeout and abandoned.
	abandonPercent = 10
	// repeatPercent of the answered requests are sent once more with their ticket.
	repeatPercent  = 20
	ticketsPerCall = 4
)

// worker is the duty of one caller, which sends one request after the other.
type worker struct {
	number  int
	options Options
	clients map[fleet.EntryID]callerv1connect.CallerServiceClient
	ready   *ring.Latest[[]Entry]
	clock   clock.Clock
	end     time.Time
	reports *ring.Ring[*Tally]

	random  *rand.Rand
	next    int
	tickets [][]byte
	tally   *Tally
}

// Name implements duty.Duty.
func (w *worker) Name() fleet.DutyName {
	return fleet.DutyName(fmt.Sprintf("load-worker-%d", w.number))
}

// Run implements duty.Duty. It pushes its tally once, after its last request.
func (w *worker) Run(ctx context.Context) error {
	w.random = rand.New(rand.NewPCG(w.options.Seed, uint64(w.number)))
	w.tally = newTally()
	mean := float64(w.options.Workers) / float64(w.options.Rate) * float64(time.Second)
	for {
		if err := clock.Wait(ctx, w.clock, time.Duration(w.random.ExpFloat64()*mean)); err != nil {
			return trace.Wrap(err)
		}
		if w.clock.Now().After(w.end) {
			break
		}
		w.sendNext(ctx, pickProfile(w.random))
	}
	if err := w.reports.Push(w.tally); err != nil {
		return trace.Wrap(err)
	}
	<-ctx.Done()
	return trace.Wrap(ctx.Err())
}

// sendNext sends a request of a profile and records its outcome.
func (w *worker) sendNext(ctx context.Context, p profile) {
	if p.NeedsTicket {
		w.sendTicketed(ctx, p)
		return
	}
	m := w.message(p, nil)
	w.record(p, m, w.sendTimed(ctx, p, m))
}

// sendTimed makes one call and records the latency of an answered short request.
func (w *worker) sendTimed(ctx context.Context, p profile, m *callerv1.SubmitRequest) attempt {
	started := w.clock.Now()
	a := w.send(ctx, m, callTimeout)
	if a.Kind == attemptAnswered && p.Class != fleet.ClassLong {
		w.tally.recordLatency(w.clock.Now().Sub(started))
	}
	return a
}

func (w *worker) message(p profile, ticket []byte) *callerv1.SubmitRequest {
	w.next++
	id := fleet.RequestID(fmt.Sprintf("load-%d-%d-%d", w.options.Seed, w.number, w.next))
	return &callerv1.SubmitRequest{
		Service: string(w.options.Service), RequestType: string(p.Type), RequestId: string(id), Ticket: ticket,
		Timeout: durationpb.New(requestTimeout), Body: body(id, w.random),
	}
}

// pickEntry returns a random entry that the load balancer considers ready, or false when there is none.
func (w *worker) pickEntry() (Entry, bool) {
	ready := w.ready.Get()
	if len(ready) == 0 {
		return Entry{}, false
	}
	return ready[w.random.IntN(len(ready))], true
}

// send makes one call through a random ready entry and records its result.
func (w *worker) send(ctx context.Context, m *callerv1.SubmitRequest, timeout time.Duration) attempt {
	e, ok := w.pickEntry()
	if !ok {
		return attempt{Kind: attemptUnreachable, Detail: "no entry is ready"}
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := w.clients[e.ID].Submit(bounded, connect.NewRequest(m))
	var answer *callerv1.SubmitResponse
	if err == nil {
		answer = response.Msg
	}
	a := classify(e.ID, m, answer, err, timeout < callTimeout)
	w.tally.recordAttempt(w.clock.Now(), m, a, w.options.Killed)
	return a
}

func (w *worker) record(p profile, m *callerv1.SubmitRequest, a attempt) {
	w.tally.record(Record{ID: fleet.RequestID(m.GetRequestId()), Type: p.Type, NeedsTicket: p.NeedsTicket, Outcome: a.Kind, Reason: a.Reason})
}
