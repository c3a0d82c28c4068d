package wire

import (
	"slices"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/mimosawharf/mimosawharf/internal/job"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Job converts a job to its message.
func Job(j *fleet.Job) *jobv1.Job {
	m := &jobv1.Job{
		Id: string(j.ID), Queue: string(j.Queue), Service: string(j.Service), Payload: j.Payload,
		AcceptedAt: timestamppb.New(j.AcceptedAt), Occurrences: uint32(j.Occurrences), MaxAttempts: uint32(j.MaxAttempts), NeedsTickets: j.NeedsTickets, Account: string(j.Account),
	}
	if j.Occurrences > 0 {
		m.FirstDue, m.Interval = timestamppb.New(j.FirstDue), durationpb.New(j.Interval)
	}
	for _, s := range j.Steps {
		m.Steps = append(m.Steps, step(s))
	}
	return m
}

func step(s fleet.Step) *jobv1.Step {
	m := &jobv1.Step{
		Tasks:         uint32(s.Tasks),
		Demand:        Demand(s.Demand),
		Checkpointing: s.Checkpointing, Gang: s.Gang, SameRack: s.SameRack, RequiredLabel: string(s.RequiredLabel),
		DataRack: string(s.DataRack), MaxPerEndpoint: uint32(s.MaxPerEndpoint), Speculative: s.Speculative, Lasting: s.Lasting,
		Image: string(s.Image), Fill: s.Fill, MaxUnavailable: uint32(s.MaxUnavailable),
	}
	if s.Estimate > 0 {
		m.Estimate = durationpb.New(s.Estimate)
	}
	if s.TailTarget > 0 {
		m.TailTarget = durationpb.New(s.TailTarget)
	}
	for _, before := range s.After {
		m.After = append(m.After, uint32(before))
	}
	return m
}

// FromJob converts a job from its message.
func FromJob(m *jobv1.Job) *fleet.Job {
	j := &fleet.Job{
		ID: fleet.JobID(m.GetId()), Queue: fleet.QueueID(m.GetQueue()), Service: fleet.ServiceID(m.GetService()), Payload: m.GetPayload(),
		AcceptedAt: m.GetAcceptedAt().AsTime(), Occurrences: int(m.GetOccurrences()), MaxAttempts: int(m.GetMaxAttempts()), NeedsTickets: m.GetNeedsTickets(), Account: fleet.ClientAccountID(m.GetAccount()),
	}
	if j.Occurrences > 0 {
		j.FirstDue, j.Interval = m.GetFirstDue().AsTime(), m.GetInterval().AsDuration()
	}
	for _, s := range m.GetSteps() {
		j.Steps = append(j.Steps, fromStep(s))
	}
	return j
}

// Demand converts what tasks need, or endpoints have, to its message.
func Demand(c fleet.Capacity) *jobv1.Demand {
	return &jobv1.Demand{Millicores: uint64(c.Millicores), MemoryMb: uint64(c.Memory), Accelerators: uint64(c.Accelerators)}
}

// FromDemand converts a message to what tasks need, or endpoints have.
func FromDemand(m *jobv1.Demand) fleet.Capacity {
	return fleet.Capacity{
		Millicores: fleet.Millicores(m.GetMillicores()), Memory: fleet.Megabytes(m.GetMemoryMb()), Accelerators: fleet.Accelerators(m.GetAccelerators()),
	}
}

func fromStep(m *jobv1.Step) fleet.Step {
	s := fleet.Step{
		Tasks: int(m.GetTasks()), Demand: FromDemand(m.GetDemand()),
		Estimate: m.GetEstimate().AsDuration(), Checkpointing: m.GetCheckpointing(), Gang: m.GetGang(), SameRack: m.GetSameRack(),
		RequiredLabel: fleet.Label(m.GetRequiredLabel()), DataRack: fleet.RackID(m.GetDataRack()), MaxPerEndpoint: int(m.GetMaxPerEndpoint()),
		Speculative: m.GetSpeculative(), Lasting: m.GetLasting(), Image: fleet.ImageID(m.GetImage()),
		TailTarget: m.GetTailTarget().AsDuration(), Fill: m.GetFill(), MaxUnavailable: int(m.GetMaxUnavailable()),
	}
	for _, before := range m.GetAfter() {
		s.After = append(s.After, fleet.StepIndex(before))
	}
	return s
}

// EncodeProgress returns the row value of an occurrence, and behind it those of its parts if it has any.
func EncodeProgress(o *job.Occurrence) ([][]byte, error) {
	m := &jobv1.Progress{Job: string(o.Job.ID), Occurrence: uint32(o.Number), State: string(o.State)}
	if !o.EndedAt.IsZero() {
		m.EndedAt = timestamppb.New(o.EndedAt)
	}
	if parts := o.Parts(); parts > 0 {
		m.Parts = uint32(parts)
		return encodeParts(m, o)
	}
	m.Steps = make([]*jobv1.StepProgress, 0, len(o.Tasks))
	for _, tasks := range o.Tasks {
		m.Steps = append(m.Steps, &jobv1.StepProgress{Tasks: taskMessages(tasks)})
	}
	value, err := proto.Marshal(m)
	return [][]byte{value}, trace.Wrap(err)
}

// encodeParts returns the row values of an occurrence that is divided.
func encodeParts(m *jobv1.Progress, o *job.Occurrence) ([][]byte, error) {
	value, err := proto.Marshal(m)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	values := [][]byte{value}
	for tasks := range slices.Chunk(slices.Concat(o.Tasks...), job.PartTasks) {
		value, err := proto.Marshal(&jobv1.ProgressPart{Tasks: taskMessages(tasks)})
		if err != nil {
			return nil, trace.Wrap(err)
		}
		values = append(values, value)
	}
	return values, nil
}

// taskMessages converts tasks to their messages. A holder encodes a row for each task at a peak, so they are allocated
// together.
func taskMessages(tasks []job.Task) []*jobv1.TaskProgress {
	list, messages := make([]*jobv1.TaskProgress, len(tasks)), make([]jobv1.TaskProgress, len(tasks))
	for i := range tasks {
		t, to := &tasks[i], &messages[i]
		to.Done, to.Failures, to.Run, to.Noted = t.Done, uint32(t.Failures), uint32(t.Run), uint32(t.LastEnded)
		to.GangFailures, to.GangFailedRun = uint32(t.GangFailures), uint32(t.GangFailedRun)
		to.Endpoint, to.EndpointBorn, to.Checkpoint = string(t.Process.Endpoint), t.Process.StartMillis, string(t.Checkpoint)
		list[i] = to
	}
	return list
}

// ProgressError reports a progress row that does not fit its job.
type ProgressError struct {
	Job fleet.JobID
	// UnknownJob is set when the job itself is not known; Key is then the key of the row.
	UnknownJob bool
	Key        job.Key
}

// Error implements error.
func (e *ProgressError) Error() string { return "progress row does not fit job " + string(e.Job) }

// DecodeProgress returns the occurrence that a row describes. find returns the job of an id, or nil, and part the row
// value of a part, numbered from 1, or nil. DecodeProgress returns *ProgressError for rows that do not fit their job.
func DecodeProgress(value []byte, find func(fleet.JobID) *fleet.Job, part func(int) []byte) (*job.Occurrence, error) {
	m := &jobv1.Progress{}
	if err := proto.Unmarshal(value, m); err != nil {
		return nil, trace.Wrap(err)
	}
	id := fleet.JobID(m.GetJob())
	j := find(id)
	if j == nil {
		return nil, trace.Wrap(&ProgressError{Job: id, UnknownJob: true, Key: job.Key{Job: id, Occurrence: fleet.Occurrence(m.GetOccurrence())}})
	}
	if int(m.GetOccurrence()) >= j.OccurrenceCount() {
		return nil, trace.Wrap(&ProgressError{Job: id})
	}
	o := job.New(j, fleet.Occurrence(m.GetOccurrence()))
	o.State = fleet.JobState(m.GetState())
	if m.GetEndedAt() != nil {
		o.EndedAt = m.GetEndedAt().AsTime()
	}
	steps, err := stepsOf(m, o, part)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for s, tasks := range steps {
		for k, t := range tasks {
			o.Tasks[s][k] = job.Task{
				Done: t.GetDone(), Failures: int(t.GetFailures()), Run: fleet.RunNumber(t.GetRun()), LastEnded: fleet.RunNumber(t.GetNoted()),
				GangFailures: int(t.GetGangFailures()), GangFailedRun: fleet.RunNumber(t.GetGangFailedRun()),
				Process:    fleet.EndpointProcess{Endpoint: fleet.EndpointID(t.GetEndpoint()), StartMillis: t.GetEndpointBorn()},
				Checkpoint: fleet.Checkpoint(t.GetCheckpoint()),
			}
		}
	}
	o.Recount()
	return o, nil
}

// stepsOf returns the tasks of a row, or of its parts, by step.
func stepsOf(m *jobv1.Progress, o *job.Occurrence, part func(int) []byte) ([][]*jobv1.TaskProgress, error) {
	misfit := trace.Wrap(&ProgressError{Job: o.Job.ID})
	var steps [][]*jobv1.TaskProgress
	if m.GetParts() == 0 {
		for _, s := range m.GetSteps() {
			steps = append(steps, s.GetTasks())
		}
	} else {
		var tasks []*jobv1.TaskProgress
		for n := range m.GetParts() {
			p := &jobv1.ProgressPart{}
			value := part(int(n) + 1)
			if value == nil {
				return nil, misfit
			}
			if err := proto.Unmarshal(value, p); err != nil {
				return nil, trace.Wrap(err)
			}
			tasks = append(tasks, p.GetTasks()...)
		}
		for _, s := range o.Tasks {
			if len(tasks) < len(s) {
				return nil, misfit
			}
			steps, tasks = append(steps, tasks[:len(s)]), tasks[len(s):]
		}
		if len(tasks) > 0 {
			return nil, misfit
		}
	}
	if len(steps) != len(o.Tasks) {
		return nil, misfit
	}
	for s := range steps {
		if len(steps[s]) != len(o.Tasks[s]) {
			return nil, misfit
		}
	}
	return steps, nil
}

// EncodeSchedule returns the row value of a schedule.
func EncodeSchedule(id fleet.JobID, s job.Schedule) ([]byte, error) {
	m := &jobv1.Schedule{Job: string(id), Ended: s.Ended, Failed: s.Failed, Cancelled: s.Cancelled}
	if !s.EndedAt.IsZero() {
		m.EndedAt = timestamppb.New(s.EndedAt)
	}
	value, err := proto.Marshal(m)
	return value, trace.Wrap(err)
}

// DecodeSchedule returns the schedule that a row describes.
func DecodeSchedule(value []byte) (job.Schedule, error) {
	m := &jobv1.Schedule{}
	if err := proto.Unmarshal(value, m); err != nil {
		return job.Schedule{}, trace.Wrap(err)
	}
	s := job.Schedule{Ended: m.GetEnded(), Failed: m.GetFailed(), Cancelled: m.GetCancelled()}
	if m.GetEndedAt() != nil {
		s.EndedAt = m.GetEndedAt().AsTime()
	}
	return s, nil
}

// CompletedAt returns when an occurrence was completed by its progress row, and false if any of its tasks has not ended or
// has a row of its own.
func CompletedAt(value []byte) (time.Time, bool) {
	m := &jobv1.Progress{}
	if proto.Unmarshal(value, m) != nil || fleet.JobState(m.GetState()) != fleet.JobStateCompleted || m.GetParts() > 0 || m.GetEndedAt() == nil {
		return time.Time{}, false
	}
	for _, step := range m.GetSteps() {
		for _, task := range step.GetTasks() {
			if !task.GetDone() {
				return time.Time{}, false
			}
		}
	}
	return m.GetEndedAt().AsTime(), true
}

// ProgressState returns the state in a progress row.
func ProgressState(value []byte) (fleet.JobState, error) {
	m := &jobv1.Progress{}
	if err := proto.Unmarshal(value, m); err != nil {
		return "", trace.Wrap(err)
	}
	return fleet.JobState(m.GetState()), nil
}

// FromUnixMilli returns the UTC time of a Unix time in milliseconds.
func FromUnixMilli(ms int64) time.Time { return time.UnixMilli(ms).UTC() }
