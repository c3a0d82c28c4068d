package holder

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/follow"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// answer answers a query from this entry's own state.
func (s *Scheduler) answer(now time.Time, q *Query) Answer {
	service := q.Service
	h := s.held[ServiceDuty(service)]
	if q.Kind == QueryAnnounce {
		s.announced(now, h, q)
	}
	a := Answer{Service: service}
	if q.Kind == QueryWaiting {
		a.Moved = s.movedJobs(now, service, q.Queue)
	}
	if h == nil || h.engine == nil || !h.loaded || h.releasing {
		if l, ok := s.election.Holder(now, ServiceDuty(service)); ok && l.Entry != s.Self.Entry {
			a.Holder = l.Address
		}
		a.Idle = s.idle(service)
		return a
	}
	a.Held = true
	switch q.Kind {
	case QueryAnnounce:
		a.Known = h.jobs[q.Job] != nil
	case QueryState:
		a.State, a.Known = h.engine.State(q.Job)
		if j := h.jobs[q.Job]; j != nil {
			a.Account = j.Account
		}
		if h.cancelled[q.Job] {
			a.State = cancelledState(a.State)
		}
	case QueryWaiting:
		a.Count = h.waiting(now)[q.Queue]
	case QueryJobs:
		a.Jobs = h.engine.Jobs(q.Queue)
	case QueryPlace:
		a.Placement = h.engine.Place(now, q.Planned)
	case QueryBacklog:
		a.Backlog = h.engine.Backlog(now, q.Account)
		a.Backlog.Allowed, a.Backlog.IsLimited, a.Backlog.IsBlocked = s.limits.book.Allowed(service, h.chain.Epoch, q.Account)
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

// announced applies the announcement of a stored job or cancellation.
func (s *Scheduler) announced(now time.Time, h *heldDuty, q *Query) {
	if h == nil || h.engine == nil {
		if q.Accepted != nil {
			s.countUnseen(q.Service, q.Accepted)
		}
		return
	}
	switch {
	case q.Accepted != nil:
		h.accept(now, q.Accepted)
	case q.Cancelled:
		h.cancelJob(now, q.Job)
	case h.jobs[q.Job] == nil:
		// When the ring is full, a read is due anyway.
		_ = h.refresh.Push(follow.RefreshRequest{})
	}
}

// cancelledState returns the state of a job whose cancellation is stored.
func cancelledState(committed fleet.JobState) fleet.JobState {
	if committed.IsFinal() {
		return committed
	}
	return fleet.JobStateCancelled
}

// idle reports whether a service has no jobs, as far as this entry has read.
func (s *Scheduler) idle(service fleet.ServiceID) bool {
	return s.config != nil && !s.membersReadAt.IsZero() && !s.mayHaveJobs(service)
}

// waitingAge is how old the numbers of waiting jobs may be. Callers ask for them a hundred times a second at a peak, and
// each count goes through all jobs.
const waitingAge = 200 * time.Millisecond

// waiting returns the number of waiting jobs of each queue.
func (h *heldDuty) waiting(now time.Time) map[fleet.QueueID]int {
	if h.waitingJobs == nil || now.Sub(h.waitingAt) >= waitingAge {
		h.waitingJobs, h.waitingAt = h.engine.Waiting(), now
	}
	return h.waitingJobs
}
