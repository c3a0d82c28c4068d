// Package job tracks the state of jobs: which tasks may start, how their runs ended, and which state
// callers see. It does not decide where tasks run.
package job

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Key identifies one occurrence of a job.
type Key struct {
	Job        fleet.JobID
	Occurrence fleet.Occurrence
}

// Task is the state of one task.
type Task struct {
	Done bool
	// Failures counts the failed runs of the task.
	Failures int
	// GangFailures counts the failed runs of a gang, and GangFailedRun is the latest of them. They are those of the gang's
	// first task. A run fails once, however many of its members do.
	GangFailures  int
	GangFailedRun fleet.RunNumber
	// Run is the number of the latest run. It never decreases.
	Run fleet.RunNumber
	// LastEnded is the latest run whose end was recorded. Endpoints list ends until they are acknowledged, so
	// a new holder may receive ends that its predecessor has already stored.
	LastEnded fleet.RunNumber
	// Process may be executing the latest run. It is zero when no run executes.
	Process    fleet.EndpointProcess
	Checkpoint fleet.Checkpoint
}

// Running reports whether a run may be executing.
func (t *Task) Running() bool { return t.Process != fleet.EndpointProcess{} }

// Occurrence is one occurrence of a job, with the state of its tasks.
type Occurrence struct {
	Job    *fleet.Job
	Number fleet.Occurrence
	State  fleet.JobState
	// Tasks is indexed by step and task.
	Tasks [][]Task
	// EndedAt is zero until the state is final.
	EndedAt time.Time
	// remaining counts the tasks of each step that are not done.
	remaining []int
}

// New returns an occurrence whose tasks have not run.
func New(j *fleet.Job, k fleet.Occurrence) *Occurrence {
	o := &Occurrence{Job: j, Number: k, State: fleet.JobStatePending}
	for _, s := range j.Steps {
		o.Tasks = append(o.Tasks, make([]Task, s.Tasks))
		o.remaining = append(o.remaining, s.Tasks)
	}
	return o
}

// Recount recounts the tasks that are not done. It is called after the tasks were loaded.
func (o *Occurrence) Recount() {
	for i := range o.Tasks {
		o.remaining[i] = 0
		for k := range o.Tasks[i] {
			if !o.Tasks[i][k].Done {
				o.remaining[i]++
			}
		}
	}
}

// PartTasks is the largest number of tasks that one row holds. An occurrence with more is divided into parts. The state
// of a task takes up to 450 bytes, and the platform's store keeps rows of 64 KB.
const PartTasks = 128

// Parts returns the number of parts that the tasks are divided into, or 0 where one row holds the occurrence.
func (o *Occurrence) Parts() int {
	tasks := 0
	for _, s := range o.Tasks {
		tasks += len(s)
	}
	if tasks <= PartTasks {
		return 0
	}
	return (tasks + PartTasks - 1) / PartTasks
}

// Key returns the key of the occurrence.
func (o *Occurrence) Key() Key { return Key{o.Job.ID, o.Number} }

// Task returns the state of a task, or nil when the job has no such task.
func (o *Occurrence) Task(id fleet.TaskID) *Task {
	if int(id.Step) >= len(o.Tasks) || id.Step < 0 || id.Task < 0 || int(id.Task) >= len(o.Tasks[id.Step]) {
		return nil
	}
	return &o.Tasks[id.Step][id.Task]
}

// ID returns the id of a task.
func (o *Occurrence) ID(step fleet.StepIndex, task fleet.TaskIndex) fleet.TaskID {
	return fleet.TaskID{Job: o.Job.ID, Occurrence: o.Number, Step: step, Task: task}
}

// Ready reports whether the tasks of a step may start.
func (o *Occurrence) Ready(step fleet.StepIndex) bool {
	if o.State.IsFinal() || o.remaining[step] == 0 {
		return false
	}
	for _, before := range o.Job.Steps[step].After {
		if o.remaining[before] > 0 {
			return false
		}
	}
	return true
}

// Remaining returns how many tasks of a step are not done.
func (o *Occurrence) Remaining(step fleet.StepIndex) int { return o.remaining[step] }

// Running reports whether a run of one of the tasks may be executing.
func (o *Occurrence) Running() bool {
	for s := range o.Tasks {
		for t := range o.Tasks[s] {
			if o.Tasks[s][t].Running() {
				return true
			}
		}
	}
	return false
}

// Start assigns the next run of a task to an endpoint and returns its number.
func (o *Occurrence) Start(id fleet.TaskID, process fleet.EndpointProcess) fleet.RunNumber {
	t := o.Task(id)
	t.Run++
	t.Process = process
	if o.State == fleet.JobStatePending {
		o.State = fleet.JobStateRunning
	}
	return t.Run
}

// End records how a run ended. It returns false when the run is not the latest one, or has already ended.
func (o *Occurrence) End(now time.Time, id fleet.TaskID, run fleet.RunNumber, how fleet.RunEnd, checkpoint fleet.Checkpoint, maxAttempts int) bool {
	t := o.Task(id)
	if t == nil || t.Run != run || !t.Running() {
		return false
	}
	t.Process = fleet.EndpointProcess{}
	t.LastEnded = run
	step := o.Job.Steps[id.Step]
	if checkpoint != "" {
		t.Checkpoint = checkpoint
	}
	switch {
	case step.Lasting:
		// A lasting task is restarted however it ended; its checkpoint stays valid.
	case how == fleet.RunEndDone:
		o.finish(now, id, step)
	case how == fleet.RunEndFailed:
		o.fail(now, id, run, step, maxAttempts)
	}
	return true
}

// EndLate records the end of a run that was marked lost because its endpoint did not answer. It returns
// false unless the end completes the task or counts as a failure. A task that it completes may have
// another run in progress.
func (o *Occurrence) EndLate(now time.Time, id fleet.TaskID, run fleet.RunNumber, how fleet.RunEnd, maxAttempts int) bool {
	t := o.Task(id)
	if t == nil || t.Done || run > t.Run || run <= t.LastEnded || o.Job.Steps[id.Step].Lasting {
		return false
	}
	t.LastEnded = run
	switch how {
	case fleet.RunEndDone:
		o.finish(now, id, o.Job.Steps[id.Step])
	case fleet.RunEndFailed:
		o.fail(now, id, run, o.Job.Steps[id.Step], maxAttempts)
	default:
		return false
	}
	return true
}

// finish records that a task, or the gang that it belongs to, is done.
func (o *Occurrence) finish(now time.Time, id fleet.TaskID, step fleet.Step) {
	tasks := o.Tasks[id.Step][id.Task : id.Task+1]
	if step.Gang {
		tasks = o.Tasks[id.Step]
	}
	for i := range tasks {
		if !tasks[i].Done {
			tasks[i].Done = true
			o.remaining[id.Step]--
		}
	}
	for _, n := range o.remaining {
		if n > 0 {
			return
		}
	}
	if !o.State.IsFinal() {
		o.State, o.EndedAt = fleet.JobStateCompleted, now
	}
}

// fail counts a failed run against the task and its gang.
func (o *Occurrence) fail(now time.Time, id fleet.TaskID, run fleet.RunNumber, step fleet.Step, maxAttempts int) {
	t := o.Task(id)
	t.Failures++
	failures := t.Failures
	if gang := &o.Tasks[id.Step][0]; step.Gang {
		if run > gang.GangFailedRun {
			gang.GangFailures, gang.GangFailedRun = gang.GangFailures+1, run
		}
		failures = max(failures, gang.GangFailures)
	}
	if failures >= maxAttempts && !o.State.IsFinal() {
		o.State, o.EndedAt = fleet.JobStateFailed, now
	}
}

// MarkLost records that a run is over although no end was reported, for example because its endpoint process
// is gone or its lease expired. It returns false when the run is not the latest one, or has already ended.
func (o *Occurrence) MarkLost(id fleet.TaskID, run fleet.RunNumber) bool {
	t := o.Task(id)
	if t == nil || t.Run != run || !t.Running() {
		return false
	}
	t.Process = fleet.EndpointProcess{}
	return true
}

// Cancel ends the occurrence. It returns false when it has already ended.
func (o *Occurrence) Cancel(now time.Time) bool {
	if o.State.IsFinal() {
		return false
	}
	o.State, o.EndedAt = fleet.JobStateCancelled, now
	return true
}
