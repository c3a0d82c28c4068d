package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// RestoreSchedule adds the schedule of a job as read from the store. The job has been accepted before.
func (e *Engine) RestoreSchedule(id fleet.JobID, s job.Schedule) {
	if entry := e.jobs[id]; entry != nil {
		entry.schedule = s
		entry.started = entry.started || s.Count() > 0
		entry.markCommitted()
	}
}

// Restore adds an occurrence as read from the store. The schedule of its job has been restored before.
func (e *Engine) Restore(now time.Time, o *job.Occurrence) {
	o.Recount()
	entry := e.entry(o.Job)
	if entry.schedule.HasEnded(o.Number) {
		e.orphan(o)
		return
	}
	e.openOccurrence(entry, o)
	for s := range o.Tasks {
		for t := range o.Tasks[s] {
			task := &o.Tasks[s][t]
			entry.started = entry.started || task.LastEnded > 0
			if o.Job.Steps[s].Lasting && task.LastEnded > 0 && !task.Running() {
				e.beginWait(now, o.ID(fleet.StepIndex(s), fleet.TaskIndex(t)), task.Run, true)
			}
			if task.Running() {
				w := e.workerOf(now, task.Process)
				w.leaseEnd = later(w.leaseEnd, e.inheritedEnd(w.Endpoint))
				e.evacuateFrom = later(e.evacuateFrom, now.Add(e.Bounds.StopTime+stopSettle))
				w.add(&assignment{id: o.ID(fleet.StepIndex(s), fleet.TaskIndex(t)), run: task.Run, account: o.Job.Account, process: task.Process, step: o.Job.Steps[s], phase: phaseOrdered, pace: 100, inherited: true, hasOldToken: true, evidence: EvidenceNone})
			}
		}
	}
	entry.markCommitted()
}
