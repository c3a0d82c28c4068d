package fleet

import (
	"strconv"
	"strings"
	"time"
)

// JobID names a job. Callers choose it.
type JobID string

// QueueID names a queue of jobs.
type QueueID string

// Occurrence numbers the times that a scheduled job is due, from 0.
type Occurrence uint32

// StepIndex is the position of a step within its job, from 0.
type StepIndex int

// TaskIndex is the position of a task within its step, from 0.
type TaskIndex int

// RunNumber numbers the starts of one task, from 1; 0 means that the task was never started.
type RunNumber uint32

// FencingToken orders the holders of a lease. An endpoint ignores orders with a lower token than the
// highest that it has seen.
type FencingToken uint64

// Checkpoint is the state from which a task resumes; empty when there is none.
type Checkpoint string

// ImageID names the image that the tasks of a step run; tasks of the same image behave similarly.
type ImageID string

// Label is a property of an endpoint that a step may require.
type Label string

// EndCursor numbers the ends of runs that one endpoint process lists, from 1.
type EndCursor uint64

// Millicores is processor capacity in thousandths of a core.
type Millicores int64

// Work is processor capacity over time in thousandths of a core times seconds.
type Work int64

// Megabytes is memory in MB.
type Megabytes int64

// Capacity is an amount of resources that a task requires or an endpoint provides.
type Capacity struct {
	Millicores   Millicores
	Memory       Megabytes
	Accelerators Accelerators
}

// Plus returns the sum.
func (c Capacity) Plus(o Capacity) Capacity {
	return Capacity{c.Millicores + o.Millicores, c.Memory + o.Memory, c.Accelerators + o.Accelerators}
}

// Minus returns the difference, which may be negative.
func (c Capacity) Minus(o Capacity) Capacity {
	return Capacity{c.Millicores - o.Millicores, c.Memory - o.Memory, c.Accelerators - o.Accelerators}
}

// Fits reports whether c fits into o.
func (c Capacity) Fits(o Capacity) bool {
	return c.Millicores <= o.Millicores && c.Memory <= o.Memory && c.Accelerators <= o.Accelerators
}

// TaskID names one task of one occurrence of a job.
type TaskID struct {
	Job        JobID
	Occurrence Occurrence
	Step       StepIndex
	Task       TaskIndex
}

// String returns the id for logs.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(int(t.Occurrence)) + "." + strconv.Itoa(int(t.Step)) + "." + strconv.Itoa(int(t.Task))
}

// ParseTaskID parses the name of a task: JOB.OCCURRENCE.STEP.INDEX.
func ParseTaskID(name string) (TaskID, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, false
	}
	occurrence, err1 := strconv.ParseUint(parts[1], 10, 32)
	step, err2 := strconv.Atoi(parts[2])
	index, err3 := strconv.Atoi(parts[3])
	if err1 != nil || err2 != nil || err3 != nil || step < 0 || index < 0 {
		return TaskID{}, false
	}
	return TaskID{Job: JobID(parts[0]), Occurrence: Occurrence(occurrence), Step: StepIndex(step), Task: TaskIndex(index)}, true
}

// EndpointProcess is one process of an endpoint. After a restart the endpoint has the same id but is
// another process, which has none of the earlier runs.
type EndpointProcess struct {
	Endpoint EndpointID
	// StartMillis is the start time in Unix milliseconds.
	StartMillis int64
}

// JobState is the state of a job as callers see it.
type JobState string

// States of a job.
const (
	JobStatePending   JobState = "pending"
	JobStateRunning   JobState = "running"
	JobStateCompleted JobState = "completed"
	JobStateFailed    JobState = "failed"
	JobStateCancelled JobState = "cancelled"
)

// IsFinal reports whether the state is final.
func (s JobState) IsFinal() bool {
	return s == JobStateCompleted || s == JobStateFailed || s == JobStateCancelled
}

// RunEnd is the way in which a run ended.
type RunEnd string

// Ends of runs.
const (
	RunEndDone    RunEnd = "done"
	RunEndFailed  RunEnd = "failed"
	RunEndStopped RunEnd = "stopped"
	// RunEndLapsed is a run whose lease expired.
	RunEndLapsed RunEnd = "lapsed"
	// RunEndBroken is the run of a gang member that was ended because another member ended.
	RunEndBroken RunEnd = "broken"
	// RunEndAlone is the run of a gang member that waited too long for the others.
	RunEndAlone RunEnd = "alone"
)

// Step is a set of equal tasks of a job.
type Step struct {
	Tasks int
	// Demand is the capacity that one task requires.
	Demand Capacity
	// Estimate is the caller's estimate of one task's run time, which is often far off.
	Estimate time.Duration
	// After lists earlier steps that must be done first.
	After         []StepIndex
	Checkpointing bool
	// Gang tasks start, finish and fail together.
	Gang     bool
	SameRack bool
	// RequiredLabel is the label that an endpoint must have; empty when any endpoint may run the tasks.
	RequiredLabel Label
	// DataRack is the rack that holds the data, empty when there is none.
	DataRack RackID
	// MaxPerEndpoint bounds the tasks of the step on one endpoint; 0 for no bound.
	MaxPerEndpoint int
	Speculative    bool
	// Lasting tasks run until the job is cancelled.
	Lasting bool
	Image   ImageID
	// TailTarget bounds the response times of a serving task; 0 for none.
	TailTarget time.Duration
	// Fill tasks use processor time that other tasks leave unused; their Millicores do not count.
	Fill bool
	// MaxUnavailable bounds the tasks that planned actions may make unavailable at the same time.
	MaxUnavailable int
}

// CountedDemand returns the demand that counts against an endpoint's capacity.
func (s Step) CountedDemand() Capacity {
	c := s.Demand
	if s.Fill {
		c.Millicores = 0
	}
	return c
}

// Job is an accepted job. It is never modified.
type Job struct {
	ID      JobID
	Queue   QueueID
	Service ServiceID
	// Account is the client account that submitted the job; empty for a queue that is open to all.
	Account    ClientAccountID
	Payload    string
	Steps      []Step
	AcceptedAt time.Time
	// Occurrences is 0 for a job that runs once and is due immediately.
	Occurrences int
	FirstDue    time.Time
	Interval    time.Duration
	// MaxAttempts and NeedsTickets are the policy of the queue when the job was accepted. They apply once the queue is
	// no longer configured; MaxAttempts is 0 when it is not known.
	MaxAttempts  int
	NeedsTickets bool
}

// Ended returns what is kept of a job whose tasks have all ended: no steps and no payload.
func (j *Job) Ended() *Job {
	ended := *j
	ended.Steps, ended.Payload = nil, ""
	return &ended
}

// OccurrenceCount returns how often the steps run, at least 1.
func (j *Job) OccurrenceCount() int { return max(1, j.Occurrences) }

// Due returns when an occurrence may start.
func (j *Job) Due(k Occurrence) time.Time {
	if j.Occurrences == 0 {
		return j.AcceptedAt
	}
	return j.FirstDue.Add(time.Duration(k) * j.Interval)
}
