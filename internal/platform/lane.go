package platform

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// ratePause is how long a lane rests after the platform refused a call for exceeding its rate.
const ratePause = 250 * time.Millisecond

// Call is one call of the table that waits in a lane.
type Call struct {
	ctx context.Context
	// cost is how many tokens of the rate each step takes.
	cost int
	// urgent calls go before the rest.
	urgent bool
	// step makes one call of the platform. It returns false when the call needs another step, and
	// *RateExceededError when the platform refused the step.
	step func(ctx context.Context) (bool, error)
}

// Lane is a duty that makes calls of one kind within a rate. Heartbeats and lease writes go first, also
// between the steps of a call whose answer was lost.
type Lane struct {
	// The fields are set before Run.
	Duty  fleet.DutyName
	Inbox *ring.Ring[*Call]
	Clock clock.Clock
	// PerSecond is the rate of rows or reads; it is above 0.
	PerSecond float64

	limit        *rate.Limiter
	pausedUntil  time.Time
	urgent, rest []*Call
}

// Name implements duty.Duty.
func (l *Lane) Name() fleet.DutyName { return l.Duty }

// Run implements duty.Duty.
func (l *Lane) Run(ctx context.Context) error {
	burst := int(math.Ceil(l.PerSecond))
	l.limit = rate.NewLimiter(rate.Limit(l.PerSecond), burst)
	timer := l.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		l.collect()
		wait, idle := l.next(ctx)
		if !idle && wait == 0 {
			continue
		}
		timer.Stop()
		expired := timer.Chan()
		if idle {
			expired = nil
		} else {
			timer.Reset(wait)
		}
		call, ok, err := l.Inbox.PopUntil(ctx, expired)
		if err != nil {
			return trace.Wrap(err)
		}
		if ok {
			l.enqueue(call)
		}
	}
}

// collect takes over what waits in the inbox, at most one inbox at a time.
func (l *Lane) collect() {
	for len(l.urgent)+len(l.rest) < l.Inbox.Capacity() {
		call, ok := l.Inbox.TryPop()
		if !ok {
			return
		}
		l.enqueue(call)
	}
}

func (l *Lane) enqueue(c *Call) {
	if c.urgent {
		l.urgent = append(l.urgent, c)
		return
	}
	l.rest = append(l.rest, c)
}

// next makes one step of the first call. It returns how long to wait for the rate before that step,
// or true when no call waits.
func (l *Lane) next(ctx context.Context) (time.Duration, bool) {
	queue := &l.urgent
	if len(*queue) == 0 {
		queue = &l.rest
	}
	if len(*queue) == 0 {
		return 0, true
	}
	call, now := (*queue)[0], l.Clock.Now()
	if call.ctx.Err() != nil {
		*queue = (*queue)[1:]
		return 0, false
	}
	cost := min(call.cost, l.limit.Burst())
	if wait := max(l.pausedUntil.Sub(now), l.shortage(now, cost)); wait > 0 {
		return wait, false
	}
	l.limit.AllowN(now, cost)
	done, err := call.step(ctx)
	var exceeded *RateExceededError
	if errors.As(err, &exceeded) {
		l.pausedUntil = l.Clock.Now().Add(ratePause)
	}
	if done {
		*queue = (*queue)[1:]
	}
	return 0, false
}

// shortage returns how long it takes until the rate has enough tokens.
func (l *Lane) shortage(now time.Time, cost int) time.Duration {
	missing := float64(cost) - l.limit.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	// Rounding up keeps a wait that ends a nanosecond early from becoming a second, empty wait.
	return time.Duration(missing/l.PerSecond*float64(time.Second)) + time.Microsecond
}
