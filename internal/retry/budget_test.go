package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/retry"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against retries that multiply the load of an outage.
func TestRetriesStayWithinBudget(t *testing.T) {
	cases := []struct {
		name    string
		percent fleet.Percent
		first   int
		seconds int
		max     int
		min     int
	}{
		{"floor only", 10, 0, 0, 10, 10},
		{"floor grows with time", 10, 0, 5, 15, 14},
		{"a tenth of first attempts", 10, 500, 0, 60, 59},
		{"saved tokens are bounded", 10, 1_000_000, 0, 110, 110},
		{"off", 0, 1000, 10, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			b := retry.Budget{Percent: c.percent}
			for range c.first {
				b.First()
			}
			taken := 0
			for range c.seconds {
				for b.Take(now) {
					taken++
				}
				now = now.Add(time.Second)
			}
			for b.Take(now) {
				taken++
			}
			is.True(taken <= c.max)
			is.True(taken >= c.min)
		})
	}
}

// Guards against retries that arrive together, and against an unbounded wait.
func TestBackoffHasFullJitter(t *testing.T) {
	is := is.New(t)
	b := retry.Budget{Random: rand.New(rand.NewPCG(1, 2))}
	for attempts := fleet.Attempt(1); attempts < 20; attempts++ {
		low, high := time.Hour, time.Duration(0)
		for range 1000 {
			wait := b.Backoff(attempts)
			low, high = min(low, wait), max(high, wait)
		}
		is.True(low < high/10)       // the wait starts near 0
		is.True(high <= time.Second) // and is bounded
	}
}
