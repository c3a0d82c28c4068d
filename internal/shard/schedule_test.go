package shard_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// jobMemory is what the jobs of these tests may hold: a quarter of the memory of a VM with 284 MB.
const jobMemory = 71 << 20

// scheduledJob returns a job of one step whose first occurrence is due after a while.
func scheduledJob(id fleet.JobID, occurrences, tasks int, first, interval time.Duration) *fleet.Job {
	j := batchJob(id, tasks, 500)
	j.Occurrences, j.FirstDue, j.Interval = occurrences, fakeEpoch.Add(first), interval
	return j
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against holders that exceed the memory of their VM one after the other, because each has all tasks of all
// occurrences of scheduled jobs, none of which is due.
func TestScheduledJobsHoldNoTasksBeforeTheyAreDue(t *testing.T) {
	is := is.New(t)
	before := heapBytes()
	sim := newSimulation(1, 2, worker64)
	for n := range 60 {
		sim.submit(scheduledJob(fleet.JobID(fmt.Sprintf("hourly-%02d", n)), 8760, 8, time.Hour, time.Hour))
	}
	sim.submit(batchJob("small", 2, 500))
	sim.run(5 * time.Second)
	sim.takeOver(shard.Inheritance{End: sim.now})
	sim.run(5 * time.Second)
	is.True(heapBytes()-before < jobMemory)
	is.Equal(sim.state("small"), fleet.JobStateCompleted)
	is.Equal(sim.state("hourly-00"), fleet.JobStatePending)
	is.Equal(len(sim.violations), 0)
}

// Guards against the same once the occurrences are due and wait: no endpoint has what they need.
func TestScheduledJobsHoldFewTasksThatWait(t *testing.T) {
	is := is.New(t)
	before := heapBytes()
	sim := newSimulation(1, 2, worker64)
	for n := range 60 {
		j := scheduledJob(fleet.JobID(fmt.Sprintf("label-%02d", n)), 10_000, 10, 0, time.Millisecond)
		j.Steps[0].RequiredLabel = "missing"
		sim.submit(j)
	}
	sim.submit(batchJob("small", 2, 500))
	sim.run(15 * time.Second)
	is.True(heapBytes()-before < jobMemory)
	is.Equal(sim.state("small"), fleet.JobStateCompleted)
	is.Equal(sim.state("label-00"), fleet.JobStatePending)
}

// Guards against occurrences that run twice, never, early or after a cancellation, because only those that are due have
// tasks and those that have ended have no row.
func TestOccurrencesRunOnceOverRandomSchedules(t *testing.T) {
	for seed := range uint64(*schedules) {
		r := rand.New(rand.NewPCG(seed, 47))
		sim := newSimulation(seed, 3+r.IntN(4), fleet.Capacity{Millicores: 16000, Memory: 64000})
		sim.duration = func(id fleet.TaskID) time.Duration {
			return time.Duration(100+(int(id.Occurrence)*37+int(id.Task)*131)%900) * time.Millisecond
		}
		for n := range 6 {
			sim.submit(scheduledJob(fleet.JobID(fmt.Sprintf("timed-%d", n)), 1+r.IntN(40), 1+r.IntN(4),
				time.Duration(r.IntN(4000))*time.Millisecond, time.Duration(r.IntN(600))*time.Millisecond))
		}
		for end := sim.now.Add(12 * time.Second); sim.now.Before(end); {
			sim.randomEvent(r)
			sim.run(time.Duration(50+r.IntN(400)) * time.Millisecond)
		}
		sim.clearFaults()
		sim.run(90 * time.Second)
		sim.checkJobs()
		sim.checkOccurrences()
		for _, v := range sim.violations {
			t.Errorf("seed %d: %s", seed, v)
		}
	}
}

// checkOccurrences verifies that each occurrence of a completed job has run, and that the job has no row but that of its
// schedule.
func (sim *simulation) checkOccurrences() {
	for _, j := range sim.jobs {
		if j.Occurrences == 0 || sim.state(j.ID) != fleet.JobStateCompleted {
			continue
		}
		for k := range j.OccurrenceCount() {
			if sim.store.rows[job.Key{Job: j.ID, Occurrence: fleet.Occurrence(k)}] != nil {
				sim.violation("occurrence %d of %s has ended and has a row", k, j.ID)
			}
			if sim.startedAt[fleet.TaskID{Job: j.ID, Occurrence: fleet.Occurrence(k)}].IsZero() {
				sim.violation("occurrence %d of %s never ran", k, j.ID)
			}
		}
	}
}

// Guards against rows of occurrences that an earlier version stored, which has no schedules: what has ended runs again, or
// its rows stay.
func TestOccurrencesWithoutScheduleAreClosed(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2, worker64)
	j := scheduledJob("timed", 200, 1, -time.Minute, time.Second)
	sim.policy.Admit(j, sim.now)
	sim.jobs = append(sim.jobs, j)
	for k := range 20 {
		o := job.New(j, fleet.Occurrence(k))
		o.Tasks[0][0] = job.Task{Done: true, Run: 1, LastEnded: 1}
		o.State, o.EndedAt = fleet.JobStateCompleted, sim.now
		sim.store.rows[o.Key()] = o
		sim.doneAcknowledged[o.ID(0, 0)] = true
	}
	sim.takeOver(shard.Inheritance{End: sim.now})
	sim.run(10 * time.Second)
	is.Equal(sim.state("timed"), fleet.JobStateRunning)
	is.True(sim.startedAt[fleet.TaskID{Job: "timed", Occurrence: 0}].IsZero())
	is.True(!sim.startedAt[fleet.TaskID{Job: "timed", Occurrence: 20}].IsZero())
	for k := range 20 {
		is.True(sim.store.rows[job.Key{Job: "timed", Occurrence: fleet.Occurrence(k)}] == nil)
	}
	is.Equal(len(sim.violations), 0)
}

// Guards against a job with more rows than a transaction may have, which is never removed, and whose holder writes
// transactions without rows meanwhile.
func TestRowsOfManyOccurrencesAreRemoved(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2, worker64)
	sim.statusRetention = time.Second
	sim.takeOver(shard.Inheritance{})
	sim.submit(scheduledJob("timed", 200, 1, 0, time.Hour))
	sim.submit(scheduledJob("other", 200, 1, 0, time.Millisecond))
	sim.run(20 * time.Second)
	is.Equal(sim.state("other"), fleet.JobStateCompleted)
	sim.cancel("timed")
	sim.run(time.Second)
	is.Equal(sim.state("timed"), fleet.JobStateCancelled)
	sim.engine.Forget("timed")
	sim.engine.Forget("other")
	sim.run(time.Second)
	is.Equal(len(sim.store.rows)+len(sim.store.schedules), 0)
	batch, err := sim.engine.NextBatch(sim)
	is.NoErr(err)
	is.True(batch == nil)
}

// Guards against a scheduled job that was cancelled and that the next holder shows as pending, or keeps for ever.
func TestCancelledScheduleStaysCancelled(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2, worker64)
	sim.submit(scheduledJob("timed", 8760, 8, time.Hour, time.Hour))
	sim.run(time.Second)
	sim.cancel("timed")
	sim.run(time.Second)
	is.Equal(sim.state("timed"), fleet.JobStateCancelled)
	cancelledAt := sim.store.schedules["timed"].EndedAt
	sim.run(10 * time.Second)
	sim.takeOver(shard.Inheritance{End: sim.now})
	sim.run(time.Second)
	is.Equal(sim.state("timed"), fleet.JobStateCancelled)
	is.Equal(sim.store.schedules["timed"].EndedAt, cancelledAt)
}
