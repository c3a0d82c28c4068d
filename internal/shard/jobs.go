package shard

import (
	"container/heap"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// jobEntry is one job with its occurrences.
type jobEntry struct {
	job *fleet.Job
	// open holds the occurrences that have been opened and not closed, next is the first one that may not have been
	// opened, schedule records those that were closed. A job that is not scheduled has one occurrence, which is open from
	// the acceptance on.
	open     map[fleet.Occurrence]*job.Occurrence
	next     fleet.Occurrence
	schedule job.Schedule
	// isReleased is set once the job has ended and its steps and payload were dropped.
	isReleased bool
	// storedParts is the number of parts of the occurrence of a job that is not scheduled, once it is closed.
	storedParts int
	// parts holds the checksums of the stored parts of occurrences.
	parts map[fleet.Occurrence][]uint64
	// committed is the committed state, which callers see.
	committed fleet.JobState
	endedAt   time.Time
	cancelled bool
	// started is set once an endpoint has reported a run of the job. A start order alone does not count: it may
	// be lost or executed seconds later.
	started bool
	// excess is set for a job beyond its account's weight.
	excess bool
	// putBack is set while the job is beyond its account's share and there is not room for all.
	putBack bool
}

func (e *Engine) entry(j *fleet.Job) *jobEntry {
	entry := e.jobs[j.ID]
	if entry != nil {
		return entry
	}
	e.ticketed = e.ticketed || j.NeedsTickets
	entry = &jobEntry{job: j, committed: fleet.JobStatePending, excess: e.accounts.meter.Submit(j.Account, j.AcceptedAt)}
	e.jobs[j.ID] = entry
	e.held += job.Footprint(j)
	if j.Occurrences == 0 {
		e.openOccurrence(entry, job.New(j, 0))
		entry.next = 1
	} else {
		heap.Push(&e.unopened, scheduledJob{entry: entry, openAt: openTime(entry)})
	}
	return entry
}

// Accept adds a stored job. A job that is already known stays as it is.
func (e *Engine) Accept(j *fleet.Job) {
	known := e.jobs[j.ID] != nil
	if entry := e.entry(j); !known && !entry.excess && j.OccurrenceCount() == 1 {
		e.arrived += e.workOf(j)
		e.arrivedJobs++
	}
}

// Cancel ends a job and stops its tasks. It returns false when the job is not known.
func (e *Engine) Cancel(now time.Time, id fleet.JobID) bool {
	entry := e.jobs[id]
	if entry == nil {
		return false
	}
	if entry.cancelled {
		return true
	}
	changed := false
	wasFinal := entry.state().IsFinal()
	entry.cancelled = true
	for _, o := range entry.sortedOpen() {
		if o.Cancel(now) {
			changed = true
			e.finish(now, o)
		}
	}
	if entry.job.Occurrences > 0 && !wasFinal {
		// Occurrences that were not opened have no row that says so.
		entry.schedule.Cancelled, entry.schedule.EndedAt = true, now
		changed, e.dirtySchedules[id] = true, true
	}
	if changed {
		e.Observer.Cancelled(id)
	}
	return true
}

// finish stops the remaining runs of an occurrence that has ended and removes its scheduling state.
func (e *Engine) finish(now time.Time, o *job.Occurrence) {
	delete(e.active, o.Key())
	e.deleteAdvice(o)
	e.dirty[o.Key()] = true
	for s := range o.Tasks {
		for t := range o.Tasks[s] {
			task := &o.Tasks[s][t]
			id := o.ID(fleet.StepIndex(s), fleet.TaskIndex(t))
			if !task.Running() {
				continue
			}
			if w := e.workers[task.Process.Endpoint]; w != nil {
				e.stop(now, w, id)
			}
		}
	}
	e.forgetTasks(o)
	e.Observer.JobEnded(o.Job.ID, o.State, now.Sub(o.Job.Due(o.Number)))
}

// forgetTasks removes the scheduling state of the tasks of an occurrence that has ended. Ends of its runs may still come and
// leave some.
func (e *Engine) forgetTasks(o *job.Occurrence) {
	delete(e.failedOn, o.Job.ID)
	for s := range o.Tasks {
		step := StepID{o.Job.ID, o.Number, fleet.StepIndex(s)}
		delete(e.stepRuns, step)
		delete(e.rackWaits, step)
		for t := range o.Tasks[s] {
			id := o.ID(fleet.StepIndex(s), fleet.TaskIndex(t))
			delete(e.avoid, id)
			delete(e.near.waits, id)
			delete(e.unavailableSince, id)
			delete(e.waits, id)
		}
	}
}

// markStarted records that an endpoint has started a task of a job.
func (e *Engine) markStarted(id fleet.JobID) {
	if entry := e.jobs[id]; entry != nil {
		entry.started = true
	}
}

// state derives the state of a job from its occurrences.
func (j *jobEntry) state() fleet.JobState {
	ended := j.schedule.Count()
	pending, failed, cancelled := ended == 0, j.schedule.Failed, j.cancelled
	for _, o := range j.open {
		switch o.State {
		case fleet.JobStateFailed:
			failed = true
		case fleet.JobStateCancelled:
			cancelled = true
		case fleet.JobStateCompleted:
			ended++
		}
		pending = pending && o.State == fleet.JobStatePending
	}
	switch {
	case failed:
		return fleet.JobStateFailed
	case j.schedule.Cancelled:
		return fleet.JobStateCancelled
	case ended == j.job.OccurrenceCount():
		return fleet.JobStateCompleted
	case cancelled:
		return fleet.JobStateCancelled
	case pending:
		return fleet.JobStatePending
	}
	return fleet.JobStateRunning
}

// lastEnd returns when the last of the ended occurrences ended.
func (j *jobEntry) lastEnd() time.Time {
	at := j.schedule.EndedAt
	for _, o := range j.open {
		at = later(at, o.EndedAt)
	}
	return at
}

// markCommitted sets the committed state of the job to its current state.
func (j *jobEntry) markCommitted() {
	j.committed, j.endedAt = j.state(), j.lastEnd()
}
