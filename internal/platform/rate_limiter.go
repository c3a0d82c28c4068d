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

// ratePause is how long a RateLimiter makes no calls after the platform refused one for exceeding its rate.
const ratePause = 250 * time.Millisecond

// Call is a queued call of the table.
type Call struct {
	ctx context.Context
	// cost is the number of tokens that each step takes from the rate limiter.
	cost int
	// urgent calls go before all others.
	urgent bool
	// step makes one call of the platform. It returns false when the call needs another step, and
	// *RateExceededError when the platform refused the step.
	step func(ctx context.Context) (bool, error)
}

// RateLimiter is a duty that makes queued calls of one kind within a rate. Heartbeats and lease writes have
// priority, also between the steps of a call whose answer was lost.
type RateLimiter struct {
	// The fields are set before Run.
	Duty  fleet.DutyName
	Inbox *ring.Ring[*Call]
	Clock clock.Clock
	// PerSecond is the limit in rows written or in reads per second; it is above 0.
	PerSecond float64

	bucket         *rate.Limiter
	pausedUntil    time.Time
	urgent, normal []*Call
}

// Name implements duty.Duty.
func (l *RateLimiter) Name() fleet.DutyName { return l.Duty }

// Run implements duty.Duty.
func (l *RateLimiter) Run(ctx context.Context) error {
	burst := int(math.Ceil(l.PerSecond))
	l.bucket = rate.NewLimiter(rate.Limit(l.PerSecond), burst)
	timer := l.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		l.collect()
		wait, idle := l.runNext(ctx)
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

// collect moves calls from the inbox to the queues until these hold as many calls as the inbox can.
func (l *RateLimiter) collect() {
	for len(l.urgent)+len(l.normal) < l.Inbox.Capacity() {
		call, ok := l.Inbox.TryPop()
		if !ok {
			return
		}
		l.enqueue(call)
	}
}

func (l *RateLimiter) enqueue(c *Call) {
	if c.urgent {
		l.urgent = append(l.urgent, c)
		return
	}
	l.normal = append(l.normal, c)
}

// runNext makes one step of the first call. It returns the time until the rate allows that step, or true
// when no call waits.
func (l *RateLimiter) runNext(ctx context.Context) (time.Duration, bool) {
	queue := &l.urgent
	if len(*queue) == 0 {
		queue = &l.normal
	}
	if len(*queue) == 0 {
		return 0, true
	}
	call, now := (*queue)[0], l.Clock.Now()
	if call.ctx.Err() != nil {
		*queue = (*queue)[1:]
		return 0, false
	}
	cost := min(call.cost, l.bucket.Burst())
	if wait := max(l.pausedUntil.Sub(now), l.refillTime(now, cost)); wait > 0 {
		return wait, false
	}
	l.bucket.AllowN(now, cost)
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

// refillTime returns the time until the rate limiter has enough tokens.
func (l *RateLimiter) refillTime(now time.Time, cost int) time.Duration {
	missing := float64(cost) - l.bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	// Rounded up, because a wait that ends a nanosecond early would need a second wait.
	return time.Duration(missing/l.PerSecond*float64(time.Second)) + time.Microsecond
}
