package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Backlog explains what runs and waits in a service, of all jobs or of those of one client account.
type Backlog struct {
	// Running counts the runs that execute or are being started or stopped, Used is what they hold.
	Running int
	Used    fleet.Capacity
	// Waiting counts the tasks that could start, Wanted is what they ask for. Late are those whose job can no longer meet
	// its objective, Excess those beyond the weight of their account, PutBack those beyond its share of a full service.
	Waiting               int
	Wanted                fleet.Capacity
	Late, Excess, PutBack int
	// Next is the waiting task that is served first, and Verdict what would happen to it now.
	Next    fleet.TaskID
	Verdict Verdict
	// Endpoints counts the endpoints that may get work, Capacity is what they have.
	Endpoints int
	Capacity  fleet.Capacity
	// IsLimited is set for an account with a limit, of which the service may use Allowed. IsBlocked is set while all
	// services together hold more of it than there is, so that nothing starts.
	IsLimited, IsBlocked bool
	Allowed              fleet.Capacity
}

// Backlog explains what runs and waits. It changes nothing. An empty account stands for all jobs.
func (e *Engine) Backlog(now time.Time, account fleet.ClientAccountID) Backlog {
	b := Backlog{Verdict: VerdictNothingWaits}
	for _, w := range e.workers {
		if w.listed && w.described && !w.Draining && w.contacted {
			b.Endpoints++
			b.Capacity = b.Capacity.Plus(w.Capacity)
		}
		for _, a := range w.runs {
			if account == "" || a.account == account {
				b.Running++
				b.Used = b.Used.Plus(a.step.Demand)
			}
		}
	}
	list := e.candidates(now, nil)
	e.applyShares(list)
	var first *candidate
	for i := range list {
		c := &list[i]
		if account != "" && c.occurrence.Job.Account != account {
			continue
		}
		count := countWaiting(c.occurrence.Tasks[c.step])
		b.Waiting += count
		b.Wanted = b.Wanted.Plus(times(c.occurrence.Job.Steps[c.step].Demand, count))
		switch {
		case c.rank.Excess:
			b.Excess += count
		case c.rank.Late:
			b.Late += count
		case c.rank.PutBack:
			b.PutBack += count
		}
		if first == nil || compareCandidates(c, first) < 0 {
			first = c
		}
	}
	if first != nil {
		p := e.Place(now, first.occurrence.Job)
		b.Next, b.Verdict = p.Task, p.Verdict
	}
	return b
}
