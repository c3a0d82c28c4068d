package job

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Policy is what the configuration says of a queue.
type Policy struct {
	Queue   fleet.QueueID
	Service fleet.ServiceID
	// Priority 0 is served first.
	Priority int
	// MaxAttempts bounds the failed runs of one task, at least 1.
	MaxAttempts int
	// Stretch and Target give the latency objective: Stretch times the longest chain of work, plus Target.
	Stretch float64
	Target  time.Duration
	// Advised queues need a ticket for each endpoint that runs a step.
	Advised bool
}

// Rank orders waiting work; the lower rank is served first.
type Rank struct {
	Priority int
	// Late work can no longer meet its objective. It is worth a fraction of other work, so it waits.
	Late bool
	// Due is when the objective ends.
	Due time.Time
}

// Before reports whether r is served before o.
func (r Rank) Before(o Rank) bool {
	if r.Priority != o.Priority {
		return r.Priority < o.Priority
	}
	if r.Late != o.Late {
		return o.Late
	}
	return r.Due.Before(o.Due)
}

// Chain returns the expected time of the longest chain of steps that are not done, when a task of a step
// takes what expected returns.
func (o *Occurrence) Chain(expected func(fleet.Step) time.Duration, whole bool) time.Duration {
	ends := make([]time.Duration, len(o.Tasks))
	var longest time.Duration
	for i, s := range o.Job.Steps {
		var start time.Duration
		for _, before := range s.After {
			start = max(start, ends[before])
		}
		ends[i] = start
		if whole || o.open[i] > 0 {
			ends[i] += expected(s)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// RankOf ranks an occurrence by its objective.
func (o *Occurrence) RankOf(now time.Time, p Policy, expected func(fleet.Step) time.Duration) Rank {
	objective := time.Duration(p.Stretch*float64(o.Chain(expected, true))) + p.Target
	due := o.Job.Due(o.Number).Add(objective)
	return Rank{Priority: p.Priority, Late: now.Add(o.Chain(expected, false)).After(due), Due: due}
}
