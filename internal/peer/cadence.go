package peer

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	// earlyGap is the shortest time between early reports. docs/MEASUREMENTS.md has the rounds: shorter
	// gaps cost more bytes and let more slots be lent that nobody uses.
	earlyGap = 5 * time.Millisecond
	// farInterval is the shortest time between reports to other zones. It is a third of the silence
	// after which a peer is taken for dead, and keeps 128 entries at some KB per second each.
	farInterval = time.Second
)

// cadence decides when the hub reports.
type cadence struct {
	interval time.Duration
	dueAt    time.Time
	farAt    time.Time
	earlyAt  time.Time
	wanted   bool
	// limit bounds the bytes of early reports to half of the rate, so that they leave room for requests.
	limit *rate.Limiter
}

func (c *cadence) start(now time.Time, interval time.Duration, limit fleet.BytesPerSecond) {
	c.interval, c.dueAt = interval, now.Add(interval)
	c.limit = rate.NewLimiter(rate.Limit(limit)/2, int(limit))
}

func (c *cadence) isDue(now time.Time) bool { return !now.Before(c.dueAt) }

// next sets when the next report to the own zone is due.
func (c *cadence) next(now time.Time) { c.dueAt = now.Add(c.interval) }

// takeFar reports whether other zones get this report too.
func (c *cadence) takeFar(now time.Time) bool {
	if now.Before(c.farAt) {
		return false
	}
	c.farAt = now.Add(max(c.interval, farInterval) - c.interval/2)
	return true
}

// hurry asks for an early report.
func (c *cadence) hurry() { c.wanted = true }

func (c *cadence) isEarlyDue(now time.Time) bool {
	return c.wanted && !now.Before(c.earlyAt) && c.limit.TokensAt(now) >= 1
}

func (c *cadence) early(now time.Time) {
	c.wanted, c.earlyAt = false, now.Add(earlyGap)
}

// spend books the bytes of early reports. They may exceed what is left; then the next ones wait.
func (c *cadence) spend(now time.Time, bytes int) {
	c.limit.ReserveN(now, min(bytes, c.limit.Burst()))
}

// wait returns how long the hub may wait for events.
func (c *cadence) wait(now time.Time) time.Duration {
	at := c.dueAt
	if c.wanted && c.earlyAt.After(now) && c.earlyAt.Before(at) {
		at = c.earlyAt
	}
	return max(at.Sub(now), 0)
}
