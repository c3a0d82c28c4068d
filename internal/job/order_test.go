package job_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a backlog that is worth nothing any more, or that begins at the last moment, before work that has just
// come: after an outage of 4 s at a peak jobs of all ages wait.
func TestBacklogOfAnOutageWaitsForNewWork(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	policy := job.Policy{Stretch: 1.6, Target: 600 * time.Millisecond}
	// The objective of a job of one second is 2.2 s: it may wait for 1.2 s, and is worth something for 6.6 s.
	rank := func(age time.Duration, begun bool) job.Rank {
		o := job.New(&fleet.Job{ID: "job", AcceptedAt: now.Add(-age), Steps: []fleet.Step{{Tasks: 1}}}, 0)
		if begun {
			o.State = fleet.JobStateRunning
		}
		return o.RankOf(now, policy, func(*fleet.Step) time.Duration { return time.Second })
	}
	order := []job.Rank{
		rank(1100*time.Millisecond, true), // it has begun, and its work would be lost
		rank(600*time.Millisecond, false),
		rank(0, false),
		rank(1100*time.Millisecond, false), // at risk
		rank(4*time.Second, false),         // late
		rank(2*time.Second, true),
		rank(6*time.Second, false), // expired
	}
	for n := range order[1:] {
		is.True(order[n].Before(order[n+1]))
		is.True(!order[n+1].Before(order[n]))
	}
}
