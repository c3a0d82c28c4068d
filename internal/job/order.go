package job

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Policy is the configuration of a queue.
type Policy struct {
	Queue   fleet.QueueID
	Service fleet.ServiceID
	// Priority 0 is served first.
	Priority int
	// MaxAttempts is the number of failed runs of one task after which the job fails, at least 1.
	MaxAttempts int
	// Stretch and Target define the latency objective: Stretch times the critical path, plus Target.
	Stretch float64
	Target  time.Duration
	// NeedsTickets is set when an endpoint needs a ticket to run a step of the queue's jobs.
	NeedsTickets bool
}

// Rank is the scheduling order of waiting work.
type Rank struct {
	Priority int
	// Late is set for work that can no longer meet its objective. It is worth a fraction of on-time work,
	// so it is served afterwards.
	Late bool
	// Due is the deadline that follows from the objective.
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

// CriticalPath returns the length of the critical path through the steps that are not done, or through all
// steps when includeDone is set. expected returns the run time of a step's tasks.
func (o *Occurrence) CriticalPath(expected func(fleet.Step) time.Duration, includeDone bool) time.Duration {
	ends := make([]time.Duration, len(o.Tasks))
	var longest time.Duration
	for i, s := range o.Job.Steps {
		var start time.Duration
		for _, before := range s.After {
			start = max(start, ends[before])
		}
		ends[i] = start
		if includeDone || o.remaining[i] > 0 {
			ends[i] += expected(s)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// RankOf returns the rank of an occurrence by its objective.
func (o *Occurrence) RankOf(now time.Time, p Policy, expected func(fleet.Step) time.Duration) Rank {
	objective := time.Duration(p.Stretch*float64(o.CriticalPath(expected, true))) + p.Target
	due := o.Job.Due(o.Number).Add(objective)
	return Rank{Priority: p.Priority, Late: now.Add(o.CriticalPath(expected, false)).After(due), Due: due}
}
