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

// Admit fills in what a job takes from its queue when it is accepted.
func (p Policy) Admit(j *fleet.Job, now time.Time) {
	j.Queue, j.Service, j.AcceptedAt = p.Queue, p.Service, now.UTC()
	j.MaxAttempts, j.NeedsTickets = p.MaxAttempts, p.NeedsTickets
}

// Rank is the scheduling order of waiting work.
type Rank struct {
	// Excess is set for work that its account has submitted beyond its weight. It is served when room is left.
	Excess   bool
	Priority int
	// AtRisk is set for work that has not begun and has used up most of the time that its objective lets it wait. It is
	// served after work that has more time left: by due time alone, all work of a queue beyond its capacity would begin
	// at the last moment, and half of it would end late, as run times are not known in advance.
	AtRisk bool
	// Late is set for work that can no longer meet its objective. It is worth a fraction of on-time work,
	// so it is served afterwards.
	Late bool
	// Expired is set for late work that is worth nothing any more.
	Expired bool
	// PutBack is set for work that is beyond its account's share while there is not room for all.
	PutBack bool
	// Due is the deadline that follows from the objective.
	Due time.Time
}

// Before reports whether r is served before o.
func (r Rank) Before(o Rank) bool {
	if r.Excess != o.Excess {
		return o.Excess
	}
	if r.Priority != o.Priority {
		return r.Priority < o.Priority
	}
	if r.Expired != o.Expired {
		return o.Expired
	}
	if r.Late != o.Late {
		return o.Late
	}
	if r.PutBack != o.PutBack {
		return o.PutBack
	}
	if r.AtRisk != o.AtRisk {
		return o.AtRisk
	}
	return r.Due.Before(o.Due)
}

const (
	// riskShare is the share of its slack that work has left when it is at risk. Its slack is what the objective leaves
	// beyond the expected run time. A larger share makes work wait that could be in time.
	riskShare = 0.3
	// expiryFactor is how many times its objective work may take until it is worth nothing.
	expiryFactor = 3
)

// CriticalPath returns the length of the critical path through all steps, and through those that are not done.
// expected returns the run time of a step's tasks.
func (o *Occurrence) CriticalPath(expected func(*fleet.Step) time.Duration) (all, left time.Duration) {
	const usualSteps = 8 // Up to this number nothing is allocated: placement ranks all jobs many times a second.
	var usual [usualSteps]struct{ all, left time.Duration }
	ends := usual[:0]
	for i := range o.Job.Steps {
		s := &o.Job.Steps[i]
		var start struct{ all, left time.Duration }
		for _, before := range s.After {
			start.all, start.left = max(start.all, ends[before].all), max(start.left, ends[before].left)
		}
		takes := expected(s)
		start.all += takes
		if o.remaining[i] > 0 {
			start.left += takes
		}
		ends = append(ends, start)
		all, left = max(all, start.all), max(left, start.left)
	}
	return all, left
}

// RankOf returns the rank of an occurrence by its objective.
func (o *Occurrence) RankOf(now time.Time, p Policy, expected func(*fleet.Step) time.Duration) Rank {
	all, left := o.CriticalPath(expected)
	objective := time.Duration(p.Stretch*float64(all)) + p.Target
	due := o.Job.Due(o.Number).Add(objective)
	slack := due.Sub(now) - left
	return Rank{
		Priority: p.Priority, Due: due,
		AtRisk:  o.State == fleet.JobStatePending && slack >= 0 && slack < time.Duration(riskShare*float64(objective-all)),
		Late:    slack < 0,
		Expired: slack < -(expiryFactor-1)*objective,
	}
}
