package holder

import (
	"context"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// AdviceService determines which endpoints may run a step. It need not be safe for concurrent use.
type AdviceService interface {
	// Advise answers a request. A request that failed may be repeated.
	Advise(ctx context.Context, r shard.AdviceRequest) shard.Advice
}

// Adviser is the duty that requests advice, one request at a time: the service handles the calls of an
// entry in turn.
type Adviser struct {
	// The fields are set before Run.
	Service   AdviceService
	Inbox     *ring.Ring[shard.AdviceRequest]
	Scheduler *ring.Ring[Event]
	Log       *zap.Logger
}

// Name implements duty.Duty.
func (*Adviser) Name() fleet.DutyName { return "adviser" }

// Run implements duty.Duty.
func (a *Adviser) Run(ctx context.Context) error {
	for {
		request, err := a.Inbox.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		answer := a.Service.Advise(ctx, request)
		a.Log.Info("adviser: answer", zap.String("job", string(request.Step.Job)), zap.Int("step", int(request.Step.Step)),
			zap.Int("asked", len(request.Endpoints)), zap.Int("good", len(answer.Tickets)), zap.Bool("failed", answer.Failed))
		if err := a.Scheduler.PushReserved(Event{Advice: &answer}); err != nil {
			a.Log.Error("adviser: answer dropped", zap.Error(trace.Unwrap(err)))
		}
	}
}
