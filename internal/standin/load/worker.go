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
	// callTimeout bounds a call beyond the timeout of its request, so that a lost response is seen.
	callTimeout = requestTimeout + 10*time.Second
	// impatience is how long a caller waits who asks again while the first call may still run.
	impatience = 10 * time.Millisecond
	// pause is the wait between two attempts of one request.
	pause = 200 * time.Millisecond
	// maxAttempts bounds the calls for one request.
	maxAttempts = 6
)

// Shares of special callers.
const (
	impatientPercent = 10
	// repeatPercent of the answered tickets are sent once more.
	repeatPercent = 20
	ticketsPerAsk = 4
)

// worker is the duty of one caller, who sends one request after the other.
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

// Run implements duty.Duty. It reports once, after its last request.
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
		w.one(ctx, pick(w.random))
	}
	if err := w.reports.Push(w.tally); err != nil {
		return trace.Wrap(err)
	}
	<-ctx.Done()
	return trace.Wrap(ctx.Err())
}

// one sends a request of a type and records what came of it.
func (w *worker) one(ctx context.Context, p part) {
	if p.Once {
		w.once(ctx, p)
		return
	}
	m := w.message(p, nil)
	w.record(p, m, w.measured(ctx, p, m))
}

// measured makes one call and notes how long short work took.
func (w *worker) measured(ctx context.Context, p part, m *callerv1.SubmitRequest) attempt {
	started := w.clock.Now()
	a := w.send(ctx, m, callTimeout)
	if a.Kind == attemptAnswered && p.Class != fleet.ClassLong {
		w.tally.took(w.clock.Now().Sub(started))
	}
	return a
}

func (w *worker) message(p part, ticket []byte) *callerv1.SubmitRequest {
	w.next++
	id := fleet.RequestID(fmt.Sprintf("load-%d-%d-%d", w.options.Seed, w.number, w.next))
	return &callerv1.SubmitRequest{
		Service: string(w.options.Service), RequestType: string(p.Type), RequestId: string(id), Ticket: ticket,
		Timeout: durationpb.New(requestTimeout), Body: body(id, w.random),
	}
}

// entry returns an entry that the balancer takes for ready, or false when there is none.
func (w *worker) entry() (Entry, bool) {
	ready := w.ready.Get()
	if len(ready) == 0 {
		return Entry{}, false
	}
	return ready[w.random.IntN(len(ready))], true
}

// send makes one call through an entry and notes what breaks the guarantees at once.
func (w *worker) send(ctx context.Context, m *callerv1.SubmitRequest, timeout time.Duration) attempt {
	e, ok := w.entry()
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
	a := judge(e.ID, m, answer, err, timeout < callTimeout)
	w.tally.note(w.clock.Now(), m, a, w.options.Killed)
	return a
}

func (w *worker) record(p part, m *callerv1.SubmitRequest, a attempt) {
	w.tally.record(Record{ID: fleet.RequestID(m.GetRequestId()), Type: p.Type, Once: p.Once, Outcome: a.Kind, Reason: a.Reason})
}
