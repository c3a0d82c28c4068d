package job_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a gang that is shown as failed although it has attempts left, because each of its members that fails in
// one run counted as an attempt; and against one that is tried without end.
func TestFailedRunOfGangCountsOnce(t *testing.T) {
	is := is.New(t)
	const maxAttempts = 2
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	o := job.New(&fleet.Job{ID: "gang", Steps: []fleet.Step{{Tasks: 4, Gang: true}}}, 0)
	fail := func(members ...fleet.TaskIndex) {
		for task := range fleet.TaskIndex(4) {
			o.Start(o.ID(0, task), fleet.EndpointProcess{Endpoint: "i-1", StartMillis: 1})
		}
		for _, task := range members {
			id := o.ID(0, task)
			is.True(o.End(now, id, o.Task(id).Run, fleet.RunEndFailed, "", maxAttempts))
		}
		for task := range fleet.TaskIndex(4) {
			id := o.ID(0, task)
			o.End(now, id, o.Task(id).Run, fleet.RunEndBroken, "", maxAttempts)
		}
	}
	fail(0, 2)
	is.Equal(o.State, fleet.JobStateRunning)
	fail(3) // Another member: the gang has failed twice.
	is.Equal(o.State, fleet.JobStateFailed)
}
