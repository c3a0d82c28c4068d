package wire

import (
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

// EncodeProgress returns the row value of an occurrence.
func EncodeProgress(o *job.Occurrence) ([]byte, error) {
	m := &jobv1.Progress{Job: string(o.Job.ID), Occurrence: uint32(o.Number), State: string(o.State)}
	if !o.EndedAt.IsZero() {
		m.EndedAt = timestamppb.New(o.EndedAt)
	}
	// A holder encodes a row for each task at a peak, so the messages of a step are allocated together.
	m.Steps = make([]*jobv1.StepProgress, 0, len(o.Tasks))
	for _, tasks := range o.Tasks {
		s := &jobv1.StepProgress{Tasks: make([]*jobv1.TaskProgress, len(tasks))}
		messages := make([]jobv1.TaskProgress, len(tasks))
		for i := range tasks {
			t, to := &tasks[i], &messages[i]
			to.Done, to.Failures, to.Run, to.Noted = t.Done, uint32(t.Failures), uint32(t.Run), uint32(t.LastEnded)
			to.Endpoint, to.EndpointBorn, to.Checkpoint = string(t.Process.Endpoint), t.Process.StartMillis, string(t.Checkpoint)
			s.Tasks[i] = to
		}
		m.Steps = append(m.Steps, s)
	}
	value, err := proto.Marshal(m)
	return value, trace.Wrap(err)
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

// DecodeProgress returns the occurrence that a row describes. find returns the job of an id, or nil.
// DecodeProgress returns *ProgressError for a row that does not fit its job.
func DecodeProgress(value []byte, find func(fleet.JobID) *fleet.Job) (*job.Occurrence, error) {
	m := &jobv1.Progress{}
	if err := proto.Unmarshal(value, m); err != nil {
		return nil, trace.Wrap(err)
	}
	id := fleet.JobID(m.GetJob())
	j := find(id)
	if j == nil {
		return nil, trace.Wrap(&ProgressError{Job: id, UnknownJob: true, Key: job.Key{Job: id, Occurrence: fleet.Occurrence(m.GetOccurrence())}})
	}
	if len(m.GetSteps()) != len(j.Steps) || int(m.GetOccurrence()) >= j.OccurrenceCount() {
		return nil, trace.Wrap(&ProgressError{Job: id})
	}
	o := job.New(j, fleet.Occurrence(m.GetOccurrence()))
	o.State = fleet.JobState(m.GetState())
	if m.GetEndedAt() != nil {
		o.EndedAt = m.GetEndedAt().AsTime()
	}
	for s, step := range m.GetSteps() {
		if len(step.GetTasks()) != len(o.Tasks[s]) {
			return nil, trace.Wrap(&ProgressError{Job: id})
		}
		for k, t := range step.GetTasks() {
			o.Tasks[s][k] = job.Task{
				Done: t.GetDone(), Failures: int(t.GetFailures()), Run: fleet.RunNumber(t.GetRun()), LastEnded: fleet.RunNumber(t.GetNoted()),
				Process:    fleet.EndpointProcess{Endpoint: fleet.EndpointID(t.GetEndpoint()), StartMillis: t.GetEndpointBorn()},
				Checkpoint: fleet.Checkpoint(t.GetCheckpoint()),
			}
		}
	}
	o.Recount()
	return o, nil
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
