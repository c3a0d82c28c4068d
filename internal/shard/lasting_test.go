package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

var worker64 = fleet.Capacity{Millicores: 64000, Memory: 128000}

func lastingJob(id fleet.JobID, tasks, perEndpoint, maxUnavailable int) *fleet.Job {
	return &fleet.Job{ID: id, Steps: []fleet.Step{{
		Tasks: tasks, Demand: fleet.Capacity{Millicores: 5000, Memory: 9000}, Lasting: true, MaxPerEndpoint: perEndpoint, MaxUnavailable: maxUnavailable,
	}}}
}

// Guards against an evacuation that stops a second task of a step while the first one is still listed as
// at work, because its stop takes time.
func TestEvacuationKeepsBudgetOfLastingStep(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 6, worker64)
	w.submit(lastingJob("lasting", 5, 2, 1))
	w.play(3 * time.Second)
	is.Equal(w.atWork("lasting"), 5)
	vacating := []fleet.EndpointID{"endpoint-00", "endpoint-01", "endpoint-02"}
	for range 800 {
		for _, id := range vacating {
			w.engine.Vacate(w.now, id, false)
		}
		w.step()
		is.True(w.atWork("lasting") >= 4) // at most one task is away through planned actions
	}
	for _, id := range vacating {
		is.True(w.engine.Vacate(w.now, id, false)) // nothing is left on the endpoint
	}
	is.Equal(len(w.violations), 0)
}

// Guards against a new holder that takes a run of its predecessor for a task at work although the
// endpoint does not answer, and stops another task of the step.
func TestNewHolderCountsUnseenRunsAsAway(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 6, worker64)
	w.submit(lastingJob("lasting", 5, 1, 1))
	w.play(3 * time.Second)
	is.Equal(w.atWork("lasting"), 5)
	for _, e := range w.endpoints {
		if len(e.running) > 0 {
			e.dead = true
			break
		}
	}
	w.takeOver(w.now.Add(10 * time.Second))
	var working fleet.EndpointID
	for id, e := range w.endpoints {
		if !e.dead && len(e.running) > 0 {
			working = id
		}
	}
	for range 300 {
		w.engine.Vacate(w.now, working, false)
		w.step()
		is.True(w.atWork("lasting") >= 4) // one task is away already
	}
}

func batchJob(id fleet.JobID, tasks int, millicores fleet.Millicores) *fleet.Job {
	return &fleet.Job{ID: id, Steps: []fleet.Step{{Tasks: tasks, Demand: fleet.Capacity{Millicores: millicores, Memory: 5000}, Estimate: time.Second}}}
}

// Guards against maintenance that kills an endpoint while it lists an end: the end is lost with the
// endpoint, and the task starts again although it was done.
func TestVacatedEndpointRunsNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 2, worker64)
	w.duration = func(fleet.TaskID) time.Duration { return 9 * time.Second }
	w.submit(batchJob("long", 8, 4000))
	w.play(time.Second)
	vacated := false
	for range 500 {
		vacated = w.engine.Vacate(w.now, "endpoint-00", false)
		if vacated {
			break
		}
		w.step()
	}
	is.True(vacated)                                     // maintenance is not held up by long tasks
	is.Equal(len(w.endpoints["endpoint-00"].running), 0) // nothing is killed by it
	w.play(12 * time.Second)                             // the stopped tasks run elsewhere
	is.Equal(w.state("long"), fleet.JobStateCompleted)   // and end
	is.Equal(len(w.violations), 0)                       // once each
}

// Guards against renewals that wait for a commit which never comes, because the listed ends belong to
// no run of the service.
func TestForeignEndsAreAcknowledged(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 1, worker64)
	e := w.endpoints["endpoint-00"]
	e.running[fleet.TaskID{Job: "foreign"}] = &fakeRun{run: 1, began: w.now, duration: time.Second}
	w.play(3 * time.Second)
	is.Equal(len(e.ends), 0)
}

// Guards against tasks that go on, or start, after their job was cancelled.
func TestCancelledJobStops(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 2, worker64)
	w.duration = func(fleet.TaskID) time.Duration { return 30 * time.Second }
	w.submit(batchJob("cancelled", 20, 8000))
	w.play(time.Second)
	w.cancel("cancelled")
	w.play(time.Second)
	for _, e := range w.endpoints {
		is.Equal(len(e.running), 0)
	}
	is.Equal(w.state("cancelled"), fleet.JobStateCancelled)
	is.Equal(len(w.violations), 0)
}

// Guards against a pool that is never given the endpoint that a lasting task needs, because the task
// counts as late work.
func TestWaitingLastingTaskAsksForCapacity(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 1, worker64)
	w.submit(lastingJob("lasting", 2, 1, 1))
	w.play(20 * time.Second)
	is.Equal(w.atWork("lasting"), 1) // the second task has to run on another endpoint
	is.Equal(w.engine.Load(w.now).Waiting, fleet.Millicores(5000))
}

// Guards against an endpoint that is never vacated, because its lasting tasks fit nowhere else and the pool
// is not told so.
func TestStrandedLastingTaskAsksForCapacity(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 2, worker64)
	w.submit(lastingJob("lasting", 2, 1, 1))
	w.play(3 * time.Second)
	is.Equal(w.engine.Load(w.now).Waiting, fleet.Millicores(0))
	w.engine.Vacate(w.now, "endpoint-00", false)
	is.Equal(w.engine.Load(w.now).Waiting, fleet.Millicores(5000))
}

// Guards against a failed run that counts twice: its end is listed again to the next holder when the
// previous one had stored it and not yet acknowledged it.
func TestFailedRunCountsOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 1, worker64)
	w.policy.MaxAttempts = 2
	w.engine.SetPolicies([]job.Policy{w.policy})
	w.submit(batchJob("failing", 1, 1000))
	e := w.endpoints["endpoint-00"]
	e.failAll = true
	for len(e.ends) == 0 {
		w.step()
	}
	w.step() // the end goes to the store
	e.failAll = false
	w.commitNow()
	is.True(len(e.ends) > 0) // it is listed to the new holder again
	w.takeOver(w.now.Add(time.Second))
	w.play(5 * time.Second)
	is.Equal(w.state("failing"), fleet.JobStateCompleted)
}

// Guards against an evacuation that counts a task on a silent endpoint as at work.
func TestTaskOnSilentEndpointCountsAsAway(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 7, worker64)
	w.submit(lastingJob("lasting", 5, 1, 1))
	w.play(3 * time.Second)
	var silent, other *fakeEndpoint
	for _, e := range w.sorted() {
		switch {
		case len(e.running) > 0 && silent == nil:
			silent = e
		case len(e.running) > 0:
			other = e
		}
	}
	silent.cut = true
	w.play(2 * time.Second)
	for range 100 {
		w.engine.Vacate(w.now, other.Endpoint, false)
		w.step()
		is.Equal(len(other.running), 1) // one task is away already
	}
}

// Guards against a new holder that stops a task while the stop of another one, which its predecessor
// ordered, still takes effect: until then that task is listed as at work.
func TestNewHolderWaitsForStopsOfItsPredecessor(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 7, worker64)
	w.submit(lastingJob("lasting", 5, 1, 1))
	w.play(3 * time.Second)
	var busy []*fakeEndpoint
	for _, e := range w.sorted() {
		if len(e.running) > 0 {
			busy = append(busy, e)
		}
	}
	w.engine.Vacate(w.now, busy[0].Endpoint, false)
	w.step() // the predecessor orders a stop
	w.takeOver(w.now.Add(5 * time.Second))
	for range 8 {
		w.engine.Vacate(w.now, busy[1].Endpoint, false)
		w.step()
		is.True(w.atWork("lasting") >= 4)
	}
}
