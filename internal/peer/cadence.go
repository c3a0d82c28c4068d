package peer

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	// minEarlyInterval is the shortest time between early reports. Shorter intervals use more bandwidth and
	// leave more lent slots unused; docs/MEASUREMENTS.md compares them.
	minEarlyInterval = 5 * time.Millisecond
	// minFarInterval is the shortest interval of regular reports to other zones. It is a third of
	// peerTimeout, and keeps the reports of each of 128 entries at a few KB per second.
	minFarInterval = time.Second
)

// cadence decides when the hub reports.
type cadence struct {
	interval       time.Duration
	dueAt          time.Time
	farDueAt       time.Time
	earlyAllowedAt time.Time
	earlyRequested bool
	// limit restricts early reports to half of the byte rate, which leaves room for requests.
	limit *rate.Limiter
}

func (c *cadence) start(now time.Time, interval time.Duration, limit fleet.BytesPerSecond) {
	c.interval, c.dueAt = interval, now.Add(interval)
	c.limit = rate.NewLimiter(rate.Limit(limit)/2, int(limit))
}

func (c *cadence) isDue(now time.Time) bool { return !now.Before(c.dueAt) }

// next sets when the next report to the own zone is due.
func (c *cadence) next(now time.Time) { c.dueAt = now.Add(c.interval) }

// includeFar reports whether other zones get this report too, and sets when the next one to them is due.
func (c *cadence) includeFar(now time.Time) bool {
	if now.Before(c.farDueAt) {
		return false
	}
	c.farDueAt = now.Add(max(c.interval, minFarInterval) - c.interval/2)
	return true
}

// requestEarly requests an early report.
func (c *cadence) requestEarly() { c.earlyRequested = true }

func (c *cadence) isEarlyDue(now time.Time) bool {
	return c.earlyRequested && !now.Before(c.earlyAllowedAt) && c.limit.TokensAt(now) >= 1
}

func (c *cadence) markEarly(now time.Time) {
	c.earlyRequested, c.earlyAllowedAt = false, now.Add(minEarlyInterval)
}

// consume charges the bytes of an early report to the limit. They may exceed the tokens left, which delays
// the next early reports.
func (c *cadence) consume(now time.Time, bytes int) {
	c.limit.ReserveN(now, min(bytes, c.limit.Burst()))
}

// wait returns how long the hub may wait for events.
func (c *cadence) wait(now time.Time) time.Duration {
	at := c.dueAt
	if c.earlyRequested && c.earlyAllowedAt.After(now) && c.earlyAllowedAt.Before(at) {
		at = c.earlyAllowedAt
	}
	return max(at.Sub(now), 0)
}
