package holder

import "github.com/mimosawharf/mimosawharf/pkg/fleet"

// Status is what the scheduler publishes.
type Status struct {
	// Configured is set once a configuration is known.
	Configured bool
	// Candidate is set while the entry is among those that claim leases first.
	Candidate bool
	// Jobs counts the jobs of the held services.
	Jobs int
	Held []fleet.DutyName
	// Full holds the services whose holder has no memory for further jobs.
	Full map[fleet.ServiceID]bool
	// Recorded holds the services that a stored row names, so that each entry knows that they may have jobs.
	Recorded map[fleet.ServiceID]bool
}

func (s *Scheduler) publish() {
	status := Status{Configured: s.config != nil, Candidate: s.election.Candidate(s.Clock.Now())}
	for _, h := range s.sorted() {
		status.Held = append(status.Held, h.chain.Duty)
		status.Jobs += len(h.jobs)
	}
	status.Full, status.Recorded = s.full(s.Clock.Now()), s.recorded
	s.Status.Set(status)
}
