package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

var worker64 = fleet.Capacity{Millicores: 64000, Memory: 128000}

func lastingJob(id fleet.JobID, tasks, perEndpoint, maxUnavailable int) *fleet.Job {
	return &fleet.Job{ID: id, Steps: []fleet.Step{{
		Tasks: tasks, Demand: fleet.Capacity{Millicores: 5000, Memory: 9000}, Lasting: true, MaxPerEndpoint: perEndpoint, MaxUnavailable: maxUnavailable,
	}}}
}

// Guards against an evacuation that stops a second task of a step while the first one is still listed as
// running, because its stop takes time.
func TestEvacuationKeepsBudgetOfLastingStep(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 6, worker64)
	sim.submit(lastingJob("lasting", 5, 2, 1))
	sim.run(3 * time.Second)
	is.Equal(sim.available("lasting"), 5)
	vacating := []fleet.EndpointID{"endpoint-00", "endpoint-01", "endpoint-02"}
	for range 800 {
		for _, id := range vacating {
			sim.engine.Vacate(sim.now, id, false)
		}
		sim.step()
		is.True(sim.available("lasting") >= 4) // planned actions make at most one task unavailable
	}
	for _, id := range vacating {
		is.True(sim.engine.Vacate(sim.now, id, false)) // nothing is left on the endpoint
	}
	is.Equal(len(sim.violations), 0)
}

// Guards against a new holder that counts a run of its predecessor as available although the endpoint does
// not answer, and stops another task of the step.
func TestNewHolderCountsUnseenRunsAsUnavailable(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 6, worker64)
	sim.submit(lastingJob("lasting", 5, 1, 1))
	sim.run(3 * time.Second)
	is.Equal(sim.available("lasting"), 5)
	for _, e := range sim.endpoints {
		if len(e.running) > 0 {
			e.dead = true
			break
		}
	}
	sim.takeOver(shard.Inheritance{End: sim.now.Add(10 * time.Second)})
	var working fleet.EndpointID
	for id, e := range sim.endpoints {
		if !e.dead && len(e.running) > 0 {
			working = id
		}
	}
	for range 300 {
		sim.engine.Vacate(sim.now, working, false)
		sim.step()
		is.True(sim.available("lasting") >= 4) // one task is already unavailable
	}
}

func batchJob(id fleet.JobID, tasks int, millicores fleet.Millicores) *fleet.Job {
	return &fleet.Job{ID: id, Steps: []fleet.Step{{Tasks: tasks, Demand: fleet.Capacity{Millicores: millicores, Memory: 5000}, Estimate: time.Second}}}
}

// Guards against maintenance that stops an endpoint before the end of a run was read from it: the end is
// lost with the endpoint, and the task runs again although it was done.
func TestVacatedEndpointRunsNothing(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2, worker64)
	sim.duration = func(fleet.TaskID) time.Duration { return 9 * time.Second }
	sim.submit(batchJob("long", 8, 4000))
	sim.run(time.Second)
	vacated := false
	for range 500 {
		vacated = sim.engine.Vacate(sim.now, "endpoint-00", false)
		if vacated {
			break
		}
		sim.step()
	}
	is.True(vacated)                                       // long tasks do not delay maintenance
	is.Equal(len(sim.endpoints["endpoint-00"].running), 0) // maintenance interrupts no run
	sim.run(12 * time.Second)                              // the stopped tasks run elsewhere
	is.Equal(sim.state("long"), fleet.JobStateCompleted)   // and complete
	is.Equal(len(sim.violations), 0)                       // once each
}

// Guards against renewals that wait for a commit which never comes, because the listed ends belong to
// no run of the service.
func TestForeignEndsAreAcknowledged(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1, worker64)
	e := sim.endpoints["endpoint-00"]
	e.running[fleet.TaskID{Job: "foreign"}] = &fakeRun{run: 1, began: sim.now, duration: time.Second}
	sim.run(3 * time.Second)
	is.Equal(len(e.ends), 0)
}

// Guards against tasks that keep running, or start, after their job was cancelled.
func TestCancelledJobStops(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2, worker64)
	sim.duration = func(fleet.TaskID) time.Duration { return 30 * time.Second }
	sim.submit(batchJob("cancelled", 20, 8000))
	sim.run(time.Second)
	sim.cancel("cancelled")
	sim.run(time.Second)
	for _, e := range sim.endpoints {
		is.Equal(len(e.running), 0)
	}
	is.Equal(sim.state("cancelled"), fleet.JobStateCancelled)
	is.Equal(len(sim.violations), 0)
}

// Guards against a lasting task that never gets the endpoint it needs, because its demand counts as late.
func TestWaitingLastingTaskAsksForCapacity(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1, worker64)
	sim.submit(lastingJob("lasting", 2, 1, 1))
	sim.run(20 * time.Second)
	is.Equal(sim.available("lasting"), 1) // the second task has to run on another endpoint
	is.Equal(sim.engine.Load(sim.now).Waiting, fleet.Millicores(5000))
}

// Guards against an endpoint that is never vacated, because its lasting tasks fit nowhere else and their
// demand is not reported.
func TestStrandedLastingTaskAsksForCapacity(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2, worker64)
	sim.submit(lastingJob("lasting", 2, 1, 1))
	sim.run(3 * time.Second)
	is.Equal(sim.engine.Load(sim.now).Waiting, fleet.Millicores(0))
	sim.engine.Vacate(sim.now, "endpoint-00", false)
	is.Equal(sim.engine.Load(sim.now).Waiting, fleet.Millicores(5000))
}

// Guards against counting a failed run twice: its end is listed again to the next holder when the previous
// one stored it but did not acknowledge it.
func TestFailedRunCountsOnce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1, worker64)
	sim.policy.MaxAttempts = 2
	sim.engine.SetPolicies([]job.Policy{sim.policy})
	sim.submit(batchJob("failing", 1, 1000))
	e := sim.endpoints["endpoint-00"]
	e.failAll = true
	for len(e.ends) == 0 {
		sim.step()
	}
	sim.step() // the end is passed to the store
	e.failAll = false
	sim.commitNow()
	is.True(len(e.ends) > 0) // it is listed to the new holder again
	sim.takeOver(shard.Inheritance{End: sim.now.Add(time.Second)})
	sim.run(5 * time.Second)
	is.Equal(sim.state("failing"), fleet.JobStateCompleted)
}

// Guards against an evacuation that counts a task on an endpoint that does not answer as available.
func TestTaskOnSilentEndpointCountsAsUnavailable(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 7, worker64)
	sim.submit(lastingJob("lasting", 5, 1, 1))
	sim.run(3 * time.Second)
	var unresponsive, other *fakeEndpoint
	for _, e := range sim.sorted() {
		switch {
		case len(e.running) > 0 && unresponsive == nil:
			unresponsive = e
		case len(e.running) > 0:
			other = e
		}
	}
	unresponsive.unreachable = true
	sim.run(2 * time.Second)
	for range 100 {
		sim.engine.Vacate(sim.now, other.Endpoint, false)
		sim.step()
		is.Equal(len(other.running), 1) // one task is already unavailable
	}
}

// Guards against a new holder that stops a task while a stop that its predecessor ordered for another one
// is still taking effect: until then that task is listed as running.
func TestNewHolderWaitsForStopsOfItsPredecessor(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 7, worker64)
	sim.submit(lastingJob("lasting", 5, 1, 1))
	sim.run(3 * time.Second)
	var busy []*fakeEndpoint
	for _, e := range sim.sorted() {
		if len(e.running) > 0 {
			busy = append(busy, e)
		}
	}
	sim.engine.Vacate(sim.now, busy[0].Endpoint, false)
	sim.step() // the predecessor orders a stop
	sim.takeOver(shard.Inheritance{End: sim.now.Add(5 * time.Second)})
	for range 8 {
		sim.engine.Vacate(sim.now, busy[1].Endpoint, false)
		sim.step()
		is.True(sim.available("lasting") >= 4)
	}
}
