package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Expired returns the ended jobs whose state need not be kept any longer, at most maxExpiredJobs. Their
// progress is kept until Forget: without it, a job whose acceptance is still stored would look like one that
// has not run.
func (e *Engine) Expired(now time.Time) []fleet.JobID {
	var list []fleet.JobID
	for id, entry := range e.jobs {
		if len(list) < maxExpiredJobs && entry.committed.IsFinal() && !entry.endedAt.IsZero() && now.Sub(entry.endedAt) > e.Bounds.Retention() {
			list = append(list, id)
		}
	}
	return list
}

// maxExpiredJobs is the limit of jobs that Expired returns: as many as one transaction for each part of the store removes.
const maxExpiredJobs = 960

// Forget removes the progress of a job whose acceptance is no longer stored.
func (e *Engine) Forget(id fleet.JobID) {
	entry := e.jobs[id]
	if entry == nil || !entry.committed.IsFinal() {
		return
	}
	for _, o := range entry.open {
		delete(e.active, o.Key())
		delete(e.dirty, o.Key())
		e.orphan(o)
	}
	if entry.isReleased {
		e.held -= job.EndedFootprint(entry.job)
	} else {
		e.held -= job.Footprint(entry.job)
	}
	switch {
	case entry.job.Occurrences > 0:
		delete(e.dirtySchedules, id)
		e.orphans[RowKey{Job: id, IsSchedule: true}] = true
	case len(entry.open) == 0:
		for part := range 1 + entry.storedParts {
			e.orphans[RowKey{Job: id, Part: part}] = true
		}
	}
	delete(e.jobs, id)
}

// ForgetRow removes a progress row whose job is no longer stored.
func (e *Engine) ForgetRow(key RowKey) { e.orphans[key] = true }

// orphan has the rows of an occurrence removed.
func (e *Engine) orphan(o *job.Occurrence) {
	for part := range 1 + o.Parts() {
		e.orphans[RowKey{Job: o.Job.ID, Occurrence: o.Number, Part: part}] = true
	}
}

// statusMargin is added to Bounds.StatusRetention, because clocks differ.
const statusMargin = 30 * time.Second

// Retention returns how long what is stored of a job is kept after its end.
func (b *Bounds) Retention() time.Duration { return b.StatusRetention + statusMargin }
