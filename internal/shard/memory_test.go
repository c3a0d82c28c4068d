package shard_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// holdOnly returns an engine without endpoints that is not part of a simulation, whose checks need memory themselves.
func holdOnly() *shard.Engine {
	e := shard.NewEngine("service", shard.EpochStep, shard.Bounds{MaxLease: fakeMaxLease}, &fakeObserver{ejections: map[fleet.EndpointID]int{}}, shard.Inheritance{}, fakeEpoch.Add(time.Hour))
	e.Loaded(fakeEpoch)
	e.JobsKnown(fakeEpoch.Add(time.Hour))
	e.EndpointsKnown(fakeEpoch.Add(time.Hour))
	return e
}

// Guards against a holder that exceeds the memory of its VM although it refuses jobs beyond a limit, because the jobs take
// more than is counted.
func TestFootprintCoversHeldMemory(t *testing.T) {
	for _, c := range []struct {
		name  string
		count int
		job   func(id fleet.JobID) *fleet.Job
	}{
		{"small", 4000, func(id fleet.JobID) *fleet.Job { return batchJob(id, 2, 500) }},
		{"two steps", 4000, func(id fleet.JobID) *fleet.Job {
			j := batchJob(id, 8, 500)
			j.Steps = append(j.Steps, fleet.Step{Tasks: 8, After: []fleet.StepIndex{0}})
			return j
		}},
		{"payload", 4000, func(id fleet.JobID) *fleet.Job {
			j := batchJob(id, 2, 500)
			j.Payload = strings.Repeat(string(id[len(id)-1:]), 4000)
			return j
		}},
		{"many tasks", 200, func(id fleet.JobID) *fleet.Job { return batchJob(id, 1000, 500) }},
		{"many steps", 100, func(id fleet.JobID) *fleet.Job {
			j := batchJob(id, 1, 500)
			for range 500 {
				j.Steps = append(j.Steps, fleet.Step{Tasks: 1, RequiredLabel: fleet.Label(strings.Repeat(string(id[len(id)-1:]), 50))})
			}
			return j
		}},
		{"many occurrences", 400, func(id fleet.JobID) *fleet.Job { return scheduledJob(id, 10_000, 10, -time.Hour, time.Millisecond) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before := heapBytes()
			e := holdOnly()
			for n := range c.count {
				j := c.job(fleet.JobID(fmt.Sprintf("job-%012d", n)))
				j.Queue, j.Service, j.AcceptedAt = "queue", "service", fakeEpoch
				e.Accept(j)
			}
			now := fakeEpoch
			for range 40 {
				now = now.Add(20 * time.Millisecond)
				e.Plan(now)
			}
			used := heapBytes() - before
			t.Logf("%d bytes, counted as %d", used, e.Held())
			is.True(used <= int64(e.Held()))
			runtime.KeepAlive(e)
		})
	}
}

// Guards against memory for jobs that is counted for ever, or given back too often.
func TestFootprintOfForgottenJobsIsGivenBack(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 4, worker64)
	sim.submit(batchJob("done", 2, 500))
	sim.submit(batchJob("cancelled", 300, 32_000))
	sim.submit(scheduledJob("timed", 20, 2, 0, 50*time.Millisecond))
	sim.submit(scheduledJob("later", 20, 2, time.Hour, time.Hour))
	accepted := sim.engine.Held()
	sim.run(5 * time.Second)
	sim.cancel("cancelled")
	sim.cancel("later")
	sim.run(5 * time.Second)
	is.Equal(sim.state("done"), fleet.JobStateCompleted)
	is.Equal(sim.state("cancelled"), fleet.JobStateCancelled)
	is.True(sim.engine.Held() < accepted/2) // Ended jobs have neither steps nor payloads.
	for _, id := range []fleet.JobID{"done", "cancelled", "timed", "later"} {
		sim.engine.Forget(id)
	}
	sim.run(time.Second)
	is.Equal(sim.engine.Held(), fleet.Bytes(0))
	is.Equal(len(sim.store.rows)+len(sim.store.schedules), 0)
	is.Equal(len(sim.violations), 0)
}

// Guards against jobs of many tasks that ask for nearly nothing and run all at the same time, whose runs take more memory
// than the holder has.
func TestRunsAreBounded(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 4, worker64)
	sim.engine.SetMaxRuns(100)
	for n := range 4 {
		j := batchJob(fleet.JobID(fmt.Sprintf("job-%d", n)), 300, 1)
		j.Steps[0].Demand.Memory = 0
		sim.submit(j)
	}
	for range 500 {
		sim.step()
		runs := 0
		for _, e := range sim.endpoints {
			runs += len(e.running)
		}
		is.True(runs <= 100)
	}
	is.Equal(sim.state("job-0"), fleet.JobStateCompleted)
}

// Guards against run times of images that are kept for ever, as many as callers make up.
func TestRunTimesOfFewImagesAreKept(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 40, worker64)
	sim.duration = func(fleet.TaskID) time.Duration { return 10 * time.Millisecond }
	for n := range 6000 {
		j := batchJob(fleet.JobID(fmt.Sprintf("job-%04d", n)), 1, 500)
		j.Steps[0].Image = fleet.ImageID(fmt.Sprintf("image-%d", n))
		sim.submit(j)
	}
	sim.run(20 * time.Second)
	is.Equal(sim.state("job-5999"), fleet.JobStateCompleted)
	is.True(sim.engine.RunTimes() <= 4096)
}

// Guards against state of tasks that is kept for ever, because the ends of their runs come after their job was cancelled.
func TestEndedTasksLeaveNoState(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 4, worker64)
	for n := range 20 {
		sim.submit(lastingJob(fleet.JobID(fmt.Sprintf("lasting-%d", n)), 4, 1, 1))
		sim.submit(batchJob(fleet.JobID(fmt.Sprintf("batch-%d", n)), 4, 500))
	}
	sim.run(700 * time.Millisecond)
	for _, e := range sim.endpoints {
		e.failAll = true
	}
	sim.run(100 * time.Millisecond)
	for _, j := range sim.jobs {
		sim.cancel(j.ID)
	}
	sim.run(20 * time.Second)
	is.Equal(sim.engine.TaskStates(), 0)
	is.Equal(len(sim.violations), 0)
}
