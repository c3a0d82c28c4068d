package shard_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/shard"
)

// Guards against starts that rest on reads older than the bounds allow, and against bounds under which nothing ever starts.
func TestStartsRestOnRecentReads(t *testing.T) {
	const (
		never   = time.Duration(math.MaxInt64)
		century = 876_000 * time.Hour
	)
	for _, c := range []struct {
		cancel, drain, jobs, endpoints time.Duration
		want                           bool
	}{
		{4 * time.Second, 0, 2200 * time.Millisecond, never, true},
		{4 * time.Second, 0, 2400 * time.Millisecond, 0, false},
		{0, 3 * time.Second, never, 1300 * time.Millisecond, true},
		{0, 3 * time.Second, 0, 1400 * time.Millisecond, false},
		{4 * time.Second, 3 * time.Second, time.Second, time.Second, true},
		{0, 0, never, never, true},
		{time.Millisecond, time.Millisecond, 700 * time.Millisecond, 700 * time.Millisecond, true},
		{time.Millisecond, 0, 900 * time.Millisecond, 0, false},
		{century, century, time.Hour, time.Hour, true}, // an intermediate result overflowed
		{4 * time.Second, 0, never, 0, false},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			now := time.Now()
			e := shard.NewEngine("service", 1, shard.Bounds{CancelTime: c.cancel, DrainTime: c.drain}, nil, shard.Inheritance{}, now)
			if c.jobs != never {
				e.JobsKnown(now.Add(-c.jobs))
			}
			if c.endpoints != never {
				e.EndpointsKnown(now.Add(-c.endpoints))
			}
			is.New(t).Equal(e.Current(now), c.want)
		})
	}
}
