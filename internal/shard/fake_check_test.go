package shard_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

func (sim *simulation) violation(format string, arguments ...any) {
	sim.tracef("violation: "+format, arguments...)
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now.Sub(fakeEpoch))+fmt.Sprintf(format, arguments...))
}

// checkAcknowledged verifies that an acknowledged end is stored, and that its task has not started since. An end
// does not count as taken note of when the lease expired in between. A renewal that was sent to another process,
// or long ago, may acknowledge an end that was never listed: then only a start is a violation.
func (sim *simulation) checkAcknowledged(e *fakeEndpoint, end fakeEnd, isStray bool) {
	if end.How != fleet.RunEndDone {
		return
	}
	key := job.Key{Job: end.Task.Job, Occurrence: end.Task.Occurrence}
	o, schedule := sim.store.rows[key], sim.store.schedules[end.Task.Job]
	if !isStray && !schedule.HasEnded(end.Task.Occurrence) && (o == nil || !o.State.IsFinal() && !o.Tasks[end.Task.Step][end.Task.Task].Done && o.Tasks[end.Task.Step][end.Task.Task].Run == end.Run) {
		sim.violation("end of %s run %d is acknowledged and not stored", end.Task, end.Run)
	}
	if e.lapsedAt.After(end.at) {
		return
	}
	sim.doneAcknowledged[end.Task] = true
	if at := sim.startedAt[end.Task]; at.After(end.at) {
		sim.violation("%s started %v after run %d ended, whose end is acknowledged", end.Task, at.Sub(end.at), end.Run)
	}
}

// checkStart verifies the invariants that a start could violate.
func (sim *simulation) checkStart(e *fakeEndpoint, o shard.Order, step fleet.Step, isLate bool) {
	for _, other := range sim.sorted() {
		if r := other.running[o.Task]; other != e && !other.dead && r != nil {
			sim.violation("%s runs on %s (run %d) and %s (run %d)", o.Task, other.Endpoint, r.run, e.Endpoint, o.Run)
		}
	}
	// A start that was meant for an earlier process may reach the next one; the holder cannot know.
	if step.RequiredLabel != "" && !slices.Contains(e.Labels, step.RequiredLabel) && o.Process == e.Process() {
		sim.violation("%s starts on %s without the label that it needs", o.Task, e.Endpoint)
	}
	if due := sim.job(o.Task.Job).Due(o.Task.Occurrence); sim.now.Before(due) {
		sim.violation("%s starts %v before it is due", o.Task, due.Sub(sim.now))
	}
	if sim.doneRecorded[o.Task] {
		sim.violation("%s starts after its end was recorded", o.Task)
	}
	if sim.doneAcknowledged[o.Task] {
		sim.violation("%s starts after its end was acknowledged", o.Task)
	}
	for _, before := range step.After {
		for t := range sim.job(o.Task.Job).Steps[before].Tasks {
			if !sim.doneRecorded[fleet.TaskID{Job: o.Task.Job, Occurrence: o.Task.Occurrence, Step: before, Task: fleet.TaskIndex(t)}] {
				sim.violation("%s starts before step %d is done", o.Task, before)
				return
			}
		}
	}
	if at, ok := sim.cancelled[o.Task.Job]; ok && sim.now.Sub(at) > 3*time.Second && !isLate {
		sim.violation("%s starts long after its job was cancelled", o.Task)
	}
}
