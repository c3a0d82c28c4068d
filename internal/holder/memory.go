package holder

import (
	"time"

	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Parts of the memory of a process. Callers' requests take five sixteenths (internal/door), and the collector of garbage
// lets the heap grow beyond what is in use.
const (
	// jobsShare is the part for the jobs of all services that an entry holds, as a divisor. An entry that takes over from
	// another one with as many has a half.
	jobsShare = 4
	// runsShare is the part for their runs.
	runsShare = 8
	// withdrawalFootprint is what a withdrawn job takes.
	withdrawalFootprint fleet.Bytes = 300
)

// fullServices returns the services that take no further jobs: those with more than an equal part of the memory for jobs,
// once all of it is in use.
func fullServices(held map[fleet.ServiceID]fleet.Bytes, limit fleet.Bytes) map[fleet.ServiceID]bool {
	var sum fleet.Bytes
	for _, size := range held {
		sum += size
	}
	full := map[fleet.ServiceID]bool{}
	for service, size := range held {
		if sum > limit && size > limit/fleet.Bytes(len(held)) {
			full[service] = true
		}
	}
	return full
}

// observeMemory decides which of the held services take no further jobs, and how many runs each may have. It publishes what
// has changed, since jobs may be submitted faster than ticks come.
func (s *Scheduler) observeMemory() {
	if s.Memory <= 0 {
		return
	}
	held := map[fleet.ServiceID]fleet.Bytes{}
	for _, h := range s.held {
		if h.engine != nil {
			held[h.service] = h.footprint()
		}
	}
	defer func() {
		if s.memoryDue {
			s.memoryDue = false
			s.publish()
		}
	}()
	full := fullServices(held, s.Memory/jobsShare)
	for _, h := range s.held {
		if h.engine == nil {
			continue
		}
		h.engine.SetMaxRuns(max(1, int(s.Memory/runsShare/job.RunFootprint)/len(held)))
		if full[h.service] != h.full {
			h.full, h.fullDue, s.memoryDue = full[h.service], true, true
			s.Log.Info("scheduler: memory for jobs changed", zap.String("service", string(h.service)), zap.Bool("full", h.full),
				zap.Int64("bytes", int64(held[h.service])), zap.Int64("limit-of-all", int64(s.Memory/jobsShare)), zap.Int("jobs", len(h.jobs)))
		}
	}
}

// footprint returns how much memory the jobs of a held service take.
func (h *heldDuty) footprint() fleet.Bytes {
	size := fleet.Bytes(len(h.withdrawnAt)) * withdrawalFootprint
	if h.loaded {
		return size + h.engine.Held()
	}
	return size + h.unloaded
}

// full returns the services that take no further jobs, as far as this entry knows.
func (s *Scheduler) full(now time.Time) map[fleet.ServiceID]bool {
	full := map[fleet.ServiceID]bool{}
	for d, l := range s.election.Leases {
		service, runsJobs := serviceOf(d)
		if _, isHeld := s.election.Holder(now, d); runsJobs && l.Full && isHeld {
			full[service] = true
		}
	}
	for service, size := range s.unseen {
		if s.Memory > 0 && size > s.unseenLimit() {
			full[service] = true
		}
	}
	for _, h := range s.held {
		if h.engine != nil {
			full[h.service] = h.full
		}
	}
	return full
}

// minUnseen is the least that entries store for a service before its holder renews its lease: about a thousand jobs.
const minUnseen fleet.Bytes = 4 << 20

// unseenLimit returns how much this entry may store for a service between two renewals of its lease. The holder learns of
// the jobs meanwhile and says whether it takes more; all entries together store half of what it has room for.
func (s *Scheduler) unseenLimit() fleet.Bytes {
	return max(minUnseen, s.Memory/jobsShare/fleet.Bytes(2*max(1, len(s.election.Nodes))))
}

// countUnseen counts a job that this entry has stored for a service that it does not hold.
func (s *Scheduler) countUnseen(service fleet.ServiceID, j *fleet.Job) {
	if before := s.unseen[service]; before <= s.unseenLimit() {
		s.unseen[service] = before + job.Footprint(j)
		s.memoryDue = s.memoryDue || s.unseen[service] > s.unseenLimit()
	}
}

// forgetUnseen begins to count anew once the lease of a service has been renewed.
func (s *Scheduler) forgetUnseen(l election.Lease) {
	service, _ := serviceOf(l.Duty)
	if old := s.election.Leases[l.Duty]; s.unseen[service] > 0 && (old.Epoch != l.Epoch || old.Renewals != l.Renewals) {
		s.memoryDue = s.memoryDue || s.unseen[service] > s.unseenLimit()
		delete(s.unseen, service)
	}
}

// releaseEnded drops the steps and payloads of jobs that have ended.
func (h *heldDuty) releaseEnded() {
	for _, id := range h.engine.TakeClosed() {
		if j := h.jobs[id]; j != nil {
			h.jobs[id] = j.Ended()
		}
	}
}
