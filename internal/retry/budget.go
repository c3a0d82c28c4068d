// Package retry decides whether and when an attempt is repeated.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	// floorPerSecond and floorBurst let an entry with little traffic retry at all.
	floorPerSecond = 1
	floorBurst     = 10
	// maxTokens bounds the tokens that are saved in quiet times, so that an outage does not start with a
	// storm of retries.
	maxTokens = 100
	// baseBackoff and maxBackoff bound the jittered wait before a retry.
	baseBackoff = 10 * time.Millisecond
	maxBackoff  = time.Second
)

// Budget bounds retries to a share of first attempts plus a small floor. One goroutine owns it.
type Budget struct {
	// Percent is how many retries are allowed for 100 first attempts.
	Percent fleet.Percent
	// Random is the source of jitter. It is set before use.
	Random *rand.Rand

	tokens     float64
	floor      float64
	floorSince time.Time
}

// First counts a first attempt.
func (b *Budget) First() {
	b.tokens = min(b.tokens+float64(b.Percent)/100, maxTokens)
}

// Take uses one token. It returns false when no retry is allowed now.
func (b *Budget) Take(now time.Time) bool {
	if b.Percent == 0 {
		return false
	}
	b.refill(now)
	switch {
	case b.tokens >= 1:
		b.tokens--
	case b.floor >= 1:
		b.floor--
	default:
		return false
	}
	return true
}

func (b *Budget) refill(now time.Time) {
	if b.floorSince.IsZero() {
		b.floor = floorBurst
	} else if passed := now.Sub(b.floorSince); passed > 0 {
		b.floor = min(b.floor+floorPerSecond*passed.Seconds(), floorBurst)
	}
	b.floorSince = now
}

// Backoff returns the wait before the next attempt: any time up to a bound that doubles with each
// attempt (full jitter).
func (b *Budget) Backoff(attempts fleet.Attempt) time.Duration {
	bound := min(baseBackoff<<min(max(attempts-1, 0), 10), maxBackoff)
	return time.Duration(b.Random.Int64N(int64(bound) + 1))
}
