package shard

import (
	"cmp"
	"slices"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// State returns the committed state of a job, and false when the job is not known.
func (e *Engine) State(id fleet.JobID) (fleet.JobState, bool) {
	entry := e.jobs[id]
	if entry == nil {
		return "", false
	}
	return entry.committed, true
}

// JobStatus is a job and its committed state.
type JobStatus struct {
	ID    fleet.JobID
	State fleet.JobState
}

// maxListedJobs is the limit of jobs that Jobs returns.
const maxListedJobs = 500

// Jobs returns the jobs of a queue sorted by id, at most maxListedJobs.
func (e *Engine) Jobs(q fleet.QueueID) []JobStatus {
	var list []JobStatus
	for id, entry := range e.jobs {
		if entry.job.Queue == q {
			list = append(list, JobStatus{id, entry.committed})
		}
	}
	slices.SortFunc(list, func(a, b JobStatus) int { return cmp.Compare(a.ID, b.ID) })
	return list[:min(len(list), maxListedJobs)]
}

// Waiting returns how many jobs of each queue have not ended and, as far as this holder knows, not started a
// task.
func (e *Engine) Waiting() map[fleet.QueueID]int {
	counts := map[fleet.QueueID]int{}
	for _, entry := range e.jobs {
		if !entry.started && !entry.state().IsFinal() {
			counts[entry.job.Queue]++
		}
	}
	return counts
}
