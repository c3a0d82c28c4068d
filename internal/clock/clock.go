// Package clock declares the clock that all packages take as a dependency.
package clock

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
)

// Timer fires once on its channel. Its implementations are those of clockwork.
type Timer = clockwork.Timer

// Clock returns the time and creates timers. It is safe for concurrent use.
type Clock interface {
	// Now returns the current time, with a monotonic reading where the clock is real.
	Now() time.Time
	// NewTimer returns a timer that fires after d.
	NewTimer(d time.Duration) Timer
}

// Real returns the system clock.
func Real() Clock {
	return clockwork.NewRealClock()
}

// Wait waits for a duration, or returns the context's error when the context ends first.
func Wait(ctx context.Context, c Clock, d time.Duration) error {
	timer := c.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}
