package clock

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Boot returns a clock for permissions that end at a time even if the machine is suspended meanwhile: Now counts the
// time of suspensions, which the steady clock of Real does not, and never jumps. Now is no time of day, so its times
// compare only with each other. Timers are those of Real. Where the system has no such clock, Now is the time of day.
func Boot() Clock { return bootClock{clockwork.NewRealClock()} }

type bootClock struct{ clockwork.Clock }

// Now implements Clock.
func (c bootClock) Now() time.Time {
	if d, ok := sinceBoot(); ok {
		return time.Unix(0, 0).Add(d)
	}
	return c.Clock.Now().Round(0) // Without the steady reading.
}
