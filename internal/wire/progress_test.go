package wire_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// largeOccurrence returns an occurrence whose tasks take as many bytes as they can.
func largeOccurrence(steps ...int) (*fleet.Job, *job.Occurrence) {
	j := &fleet.Job{ID: fleet.JobID(strings.Repeat("j", 64))}
	for _, tasks := range steps {
		j.Steps = append(j.Steps, fleet.Step{Tasks: tasks})
	}
	o := job.New(j, 0)
	for s := range o.Tasks {
		for t := range o.Tasks[s] {
			o.Tasks[s][t] = job.Task{
				Done: t%2 == 0, Failures: 1 << 30, Run: 1<<30 + fleet.RunNumber(t), LastEnded: 1 << 30, GangFailures: 1 << 30, GangFailedRun: 1 << 30,
				Process:    fleet.EndpointProcess{Endpoint: fleet.EndpointID(strings.Repeat("e", 200)), StartMillis: 4_102_444_800_000},
				Checkpoint: fleet.Checkpoint(strings.Repeat("c", 200)),
			}
		}
	}
	o.Recount()
	return j, o
}

// Guards against rows of progress that the store refuses, and against tasks that change their place where they are divided
// among rows.
func TestRowsOfLargeOccurrenceAreKept(t *testing.T) {
	for _, steps := range [][]int{{1}, {job.PartTasks}, {job.PartTasks + 1}, {job.MaxTasks}, {1, 500, 3, 496}, {job.PartTasks, job.PartTasks}} {
		is := is.New(t)
		j, o := largeOccurrence(steps...)
		values, err := wire.EncodeProgress(o)
		is.NoErr(err)
		is.Equal(len(values), 1+o.Parts())
		for _, value := range values {
			is.True(len(value) <= rowstore.MaxValue)
		}
		got, err := wire.DecodeProgress(values[0], func(fleet.JobID) *fleet.Job { return j }, func(n int) []byte { return values[n] })
		is.NoErr(err)
		is.Equal(got.Tasks, o.Tasks)
	}
}

// Guards against a takeover that runs the tasks of a large job again, because an earlier build has stored them in one row.
func TestLargeOccurrenceInOneRowIsRead(t *testing.T) {
	is := is.New(t)
	j := &fleet.Job{ID: "large", Steps: []fleet.Step{{Tasks: 900}}}
	m := &jobv1.Progress{Job: "large", State: string(fleet.JobStateRunning), Steps: []*jobv1.StepProgress{{}}}
	for range 900 {
		m.Steps[0].Tasks = append(m.Steps[0].Tasks, &jobv1.TaskProgress{Done: true, Run: 1})
	}
	value, err := proto.Marshal(m)
	is.NoErr(err)
	o, err := wire.DecodeProgress(value, func(fleet.JobID) *fleet.Job { return j }, nil)
	is.NoErr(err)
	is.Equal(o.Remaining(0), 0)
}

// Guards against an occurrence of which a part is missing and that is taken for one without progress.
func TestOccurrenceWithoutPartIsNotDecoded(t *testing.T) {
	is := is.New(t)
	j, o := largeOccurrence(300)
	values, err := wire.EncodeProgress(o)
	is.NoErr(err)
	_, err = wire.DecodeProgress(values[0], func(fleet.JobID) *fleet.Job { return j }, func(n int) []byte {
		if n == 2 {
			return nil
		}
		return values[n]
	})
	is.True(err != nil)
}
