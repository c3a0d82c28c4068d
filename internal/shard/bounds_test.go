package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// runsOn starts a lasting task and returns its endpoint.
func runsOn(is *is.I, sim *simulation) *fakeEndpoint {
	sim.submit(lastingJob("lasting", 1, 1, 1))
	sim.run(3 * time.Second)
	for _, e := range sim.sorted() {
		if len(e.running) > 0 {
			return e
		}
	}
	is.Fail() // the task does not run
	return nil
}

// Guards against a lease that is granted to an endpoint although the stored bounds tell the next holder that it gets none.
func TestSilentEndpointIsGrantedNoLease(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3, worker64)
	e := runsOn(is, sim)
	e.unreachable = true
	sim.run(2 * time.Second)
	is.Equal(len(sim.stored.Bounds), 1) // the endpoint is stored as silent
	is.True(sim.stored.Bounds[0].Silent)
	end := sim.stored.Bounds[0].End
	sim.storeDown = true
	e.unreachable = false
	sim.run(time.Second)
	is.True(sim.now.Before(end))
	is.Equal(len(e.running), 1)
	sim.run(end.Sub(sim.now) + time.Second)
	is.Equal(len(e.running), 0) // it answers, and its lease has expired
	sim.storeDown = false
	sim.run(3 * time.Second)
	is.Equal(sim.available("lasting"), 1)
	is.Equal(sim.violations, nil)
}

// Guards against an endpoint that answers again and whose lease expires before the next renewal says so.
func TestEndpointThatAnswersAgainKeepsItsRun(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3, worker64)
	e := runsOn(is, sim)
	e.unreachable = true
	sim.run(2 * time.Second)
	is.Equal(len(sim.stored.Bounds), 1)
	e.unreachable = false
	sim.run(5 * time.Second)
	is.Equal(len(e.running), 1)
	is.True(e.lapsedAt.IsZero())
	is.Equal(len(sim.stored.Bounds), 0)
}

// Guards against a wait for a silent endpoint that begins anew with each holder.
func TestWaitForSilentEndpointIsPassedOn(t *testing.T) {
	for _, c := range []struct {
		name string
		next func(*simulation) shard.Inheritance
	}{
		{"released", (*simulation).release},
		{"lost", (*simulation).inheritance},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1, 3, worker64)
			e := runsOn(is, sim)
			e.unreachable = true
			silent := sim.now
			for range 5 {
				sim.run(2 * time.Second)
				sim.takeOver(c.next(sim))
			}
			task := fleet.TaskID{Job: "lasting"}
			is.True(sim.startedAt[task].Before(silent.Add(6 * time.Second)))
			is.Equal(sim.violations, nil)
		})
	}
}

// Guards against orders of a holder whose permission has run out while it was paused or cut from the store.
func TestHolderWithoutRenewalOrdersNothing(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3, worker64)
	runsOn(is, sim)
	sim.storeDown = true
	sim.run(fakeValidity + time.Second)
	sim.intercept = func(o shard.Order) bool {
		is.True(o.Kind == shard.OrderHold && o.Deadline == 0)
		return false
	}
	sim.submit(batchJob("batch", 4, 4000))
	for _, e := range sim.endpoints {
		e.Draining = true
	}
	sim.list()
	sim.run(2 * time.Second)
	is.True(!sim.engine.Vacate(sim.now, "endpoint-00", false))
}

// Guards against a lasting task on an endpoint that has just restarted: if that goes, its longest lease is waited for.
func TestLastingTaskAvoidsLongLease(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3, worker64)
	sim.run(time.Second)
	restarted := sim.endpoints["endpoint-00"] // the first of equal ones is chosen
	sim.restartWith(restarted, lowClock, 100*time.Millisecond)
	sim.run(2 * time.Second)
	is.True(runsOn(is, sim) != restarted)
}
