package holder

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// answer answers a query from this entry's own state.
func (s *Scheduler) answer(now time.Time, q *Query) Answer {
	service := q.Service
	if q.Kind == QueryAnnounce {
		if q.Accepted != nil {
			s.accept(q.Accepted)
		}
		if q.Cancelled {
			s.cancel(now, q.Job)
		}
		return Answer{Known: true}
	}
	if j := s.jobs[q.Job]; j != nil {
		service = j.Service
	}
	a := Answer{Service: service, Known: s.jobs[q.Job] != nil}
	h := s.held[ServiceDuty(service)]
	if h == nil || h.engine == nil || !h.loaded || h.releasing {
		if l, ok := s.election.Holder(now, ServiceDuty(service)); ok && l.Entry != s.Self.Entry {
			a.Holder = l.Address
		}
		a.Idle = s.idle(service)
		return a
	}
	a.Held = true
	switch q.Kind {
	case QueryState:
		a.State, a.Known = h.engine.State(q.Job)
		if s.cancelled[q.Job] {
			a.State = cancelledState(a.State)
		}
	case QueryWaiting:
		a.Count = h.engine.Waiting()[q.Queue]
	case QueryJobs:
		a.Jobs = h.engine.Jobs(q.Queue)
	case QueryLoad:
		a.Load = h.engine.Load(now)
	case QueryVacate:
		for _, id := range q.Endpoints {
			if h.engine.Vacate(now, id, q.Patient) {
				a.Vacated = append(a.Vacated, id)
			}
		}
	}
	return a
}

// cancelledState returns the state of a job whose cancellation is stored.
func cancelledState(committed fleet.JobState) fleet.JobState {
	if committed.IsFinal() {
		return committed
	}
	return fleet.JobStateCancelled
}

// idle reports whether a service has neither queues nor jobs.
func (s *Scheduler) idle(service fleet.ServiceID) bool {
	if s.config == nil {
		return false
	}
	for _, q := range s.config.Queues {
		if q.Service == service {
			return false
		}
	}
	for _, j := range s.jobs {
		if j.Service == service {
			return false
		}
	}
	return true
}
