package shard

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// A scheduled job may have thousands of occurrences. The engine has the tasks of those only that are due and have not
// ended. An occurrence is opened when it is due and closed once its end is committed; then the job's schedule records
// that it has ended.

// reopenInterval is the time between two checks whether a job with job.MaxIdleTasks may open another occurrence.
const reopenInterval = 200 * time.Millisecond

// scheduledJob is a job with occurrences that have not been opened.
type scheduledJob struct {
	entry *jobEntry
	// openAt is when its next occurrence is opened, or when that is checked again.
	openAt time.Time
}

// scheduleQueue holds the scheduled jobs. It implements heap.Interface by the time of the next occurrence.
type scheduleQueue []scheduledJob

// Len implements heap.Interface.
func (q *scheduleQueue) Len() int { return len(*q) }

// Less implements heap.Interface.
func (q *scheduleQueue) Less(i, k int) bool {
	a, b := &(*q)[i], &(*q)[k]
	return cmp.Or(a.openAt.Compare(b.openAt), cmp.Compare(a.entry.job.ID, b.entry.job.ID)) < 0
}

// Swap implements heap.Interface.
func (q *scheduleQueue) Swap(i, k int) { (*q)[i], (*q)[k] = (*q)[k], (*q)[i] }

// Push implements heap.Interface.
func (q *scheduleQueue) Push(x any) { *q = append(*q, x.(scheduledJob)) }

// Pop implements heap.Interface.
func (q *scheduleQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = scheduledJob{}
	*q = (*q)[:len(*q)-1]
	return last
}

// openOccurrence adds the tasks of an occurrence.
func (e *Engine) openOccurrence(entry *jobEntry, o *job.Occurrence) {
	if entry.open == nil {
		entry.open = map[fleet.Occurrence]*job.Occurrence{}
	}
	entry.open[o.Number] = o
	if o.State.IsFinal() {
		delete(e.active, o.Key())
	} else {
		e.active[o.Key()] = o
	}
}

// openDue opens the occurrences that are due, and those for which tickets may be requested.
func (e *Engine) openDue(now time.Time) {
	for len(e.unopened) > 0 && !now.Before(e.unopened[0].openAt) {
		next := heap.Pop(&e.unopened).(scheduledJob)
		entry := next.entry
		if entry.cancelled || entry.schedule.Cancelled || e.jobs[entry.job.ID] != entry {
			continue
		}
		entry.skipKnown()
		if entry.isOpened() {
			continue
		}
		if due := openTime(entry); now.Before(due) {
			next.openAt = due
		} else if entry.hasIdleTasks() {
			next.openAt = now.Add(reopenInterval)
		} else {
			e.openOccurrence(entry, job.New(entry.job, entry.next))
			entry.next++
			if entry.isOpened() {
				continue
			}
			next.openAt = openTime(entry)
		}
		heap.Push(&e.unopened, next)
	}
}

// openTime returns when the next occurrence of a job is opened.
func openTime(entry *jobEntry) time.Time { return entry.job.Due(entry.next).Add(-adviceLead) }

// skipKnown moves on to the next occurrence that is neither open nor ended.
func (j *jobEntry) skipKnown() {
	for !j.isOpened() && (j.open[j.next] != nil || j.schedule.HasEnded(j.next)) {
		j.next++
	}
}

// isOpened reports whether each occurrence has been opened.
func (j *jobEntry) isOpened() bool { return int(j.next) >= j.job.OccurrenceCount() }

// hasIdleTasks reports whether the occurrences that run nothing leave no room for another one.
func (j *jobEntry) hasIdleTasks() bool {
	idle, tasks := 0, 0
	for _, s := range j.job.Steps {
		tasks += s.Tasks
	}
	for _, o := range j.open {
		if !o.State.IsFinal() && !o.Running() {
			idle += tasks
		}
	}
	return idle > 0 && idle+tasks > job.MaxIdleTasks
}

// sortedOpen returns the open occurrences by number.
func (j *jobEntry) sortedOpen() []*job.Occurrence {
	list := make([]*job.Occurrence, 0, len(j.open))
	for _, o := range j.open {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b *job.Occurrence) int { return cmp.Compare(a.Number, b.Number) })
	return list
}

// closeEnded closes the occurrences of a job that have ended and of which no run may execute. The schedule of the job
// records them, and for a scheduled job, where it is stored, replaces their rows with the next batch.
func (e *Engine) closeEnded(entry *jobEntry) {
	isScheduled := entry.job.Occurrences > 0
	for _, o := range entry.sortedOpen() {
		if !o.State.IsFinal() || e.dirty[o.Key()] || o.Running() {
			continue
		}
		e.forgetTasks(o)
		entry.schedule.End(o)
		entry.storedParts = o.Parts()
		delete(entry.open, o.Number)
		delete(entry.parts, o.Number)
		if isScheduled {
			e.dirtySchedules[entry.job.ID] = true
			e.orphan(o)
		}
	}
	entry.skipKnown()
	if len(entry.open) == 0 && (entry.isOpened() || entry.schedule.Cancelled) {
		e.release(entry)
	}
}

// release drops the steps and the payload of a job that has ended.
func (e *Engine) release(entry *jobEntry) {
	if entry.isReleased {
		return
	}
	e.held += job.EndedFootprint(entry.job) - job.Footprint(entry.job)
	entry.job, entry.open, entry.parts, entry.isReleased = entry.job.Ended(), nil, nil, true
	e.closed = append(e.closed, entry.job.ID)
}
