package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a second run elsewhere after the loss of a holder that had started a run under the longest lease and had
// not stored that yet.
func TestLossOfHolderWaitsForLongestLease(t *testing.T) {
	is := is.New(t)
	sim, e := newRestartSimulation()
	sim.delayOnce(shard.OrderHold, 4*time.Second)
	sim.reachesUnseen = true
	sim.run(1500 * time.Millisecond)
	is.Equal(len(sim.delayedOrders), 1)
	sim.restartWith(e, lowClock, 0)
	e.unreachable = true
	for len(sim.delayedOrders) > 0 { // the next process takes the longest lease
		sim.step()
	}
	e.unreachable = false
	sim.run(time.Second)
	sim.submit(batchJob("job", 1, 4000))
	for len(e.running) == 0 {
		sim.step()
	}
	e.unreachable = true
	sim.takeOver(sim.inheritance())
	sim.run(20 * time.Second)
	sim.finish(is, "job")
}

// Guards against a holder that loads the service between two ticks and counts the usual lease at an endpoint that has
// restarted: the registry was known before the progress that shows the restart.
func TestQuickLoadLearnsOfEarlierProcesses(t *testing.T) {
	is := is.New(t)
	sim, e := newRestartSimulation()
	sim.delayOnce(shard.OrderHold, 6*time.Second)
	sim.reachesUnseen = true
	sim.run(1500 * time.Millisecond)
	is.Equal(len(sim.delayedOrders), 1)
	sim.restartWith(e, lowClock, 0)
	e.unreachable = true
	sim.list()
	sim.loading = true
	sim.takeOver(sim.inheritance()) // the registry is known
	sim.loading = false
	sim.list()
	sim.load()
	for len(sim.delayedOrders) > 0 {
		sim.step()
	}
	e.unreachable = false
	sim.run(time.Second)
	sim.submit(batchJob("job", 1, 4000))
	sim.run(200 * time.Millisecond)
	is.Equal(len(e.running), 1)
	e.unreachable = true
	sim.run(20 * time.Second)
	sim.finish(is, "job")
}

// Guards against a process that counts as settled although no holder has outwaited its longest lease, which the next
// holders would rely on.
func TestQuickLoadSettlesNoProcess(t *testing.T) {
	is := is.New(t)
	sim, e := newRestartSimulation()
	sim.restartWith(e, lowClock, 0)
	sim.list()
	sim.loading = true
	sim.takeOver(sim.inheritance())
	sim.loading = false
	sim.list()
	sim.load()
	sim.run(time.Second)
	is.True(!sim.engine.HasSettled(sim.now, fleet.EndpointProcess{Endpoint: e.Endpoint, StartMillis: e.StartMillis}))
}

// Guards against the longest lease that is counted at every idle endpoint for which the registry's entry was missing
// during an outage of the store, so that a lasting task which is placed there and loses its endpoint waits for it.
func TestLastingTaskRunsSoonAfterEntriesWereMissing(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 6, worker64)
	sim.run(2 * time.Second)
	sim.storeDown = true
	sim.run(4 * time.Second)
	for _, e := range sim.endpoints { // entries expire during the outage
		e.listedAs, e.registeredAt = shard.EndpointInfo{}, sim.now.Add(3*time.Second)
	}
	sim.list()
	sim.run(time.Second)
	sim.storeDown = false
	sim.run(2200 * time.Millisecond) // all entries are back
	sim.submit(lastingJob("lasting", 1, 1, 1))
	sim.run(700 * time.Millisecond)
	is.Equal(sim.available("lasting"), 1)
	for _, e := range sim.endpoints {
		e.unreachable = len(e.running) > 0
	}
	gone, task := sim.now, fleet.TaskID{Job: "lasting"}
	sim.run(30 * time.Second)
	is.True(sim.startedAt[task].After(gone))
	t.Logf("the task runs again after %v", sim.startedAt[task].Sub(gone))
	is.True(sim.startedAt[task].Sub(gone) < 9*time.Second)
}

// Guards against a lasting task that waits for the longest lease because its start had no answer from an endpoint that had
// restarted long before, and whose present process the holder has known ever since.
func TestLastingTaskRunsSoonAfterUnansweredStartWhereEndpointHasRestarted(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3, worker64)
	sim.run(time.Second)
	for _, e := range sim.sorted() {
		sim.restartWith(e, lowClock, 0)
	}
	sim.list()
	sim.run(20 * time.Second) // no long lease is left
	var at fleet.EndpointID
	sim.intercept = func(o shard.Order) bool {
		if o.Kind == shard.OrderStart && at == "" {
			at = o.Process.Endpoint
			sim.endpoints[at].unreachable = true
		}
		return false
	}
	sim.submit(lastingJob("lasting", 1, 1, 1))
	began, task := sim.now, fleet.TaskID{Job: "lasting"}
	sim.run(20 * time.Second)
	is.True(at != "")
	is.Equal(sim.available("lasting"), 1)
	t.Logf("the task runs after %v", sim.startedAt[task].Sub(began))
	is.True(sim.startedAt[task].Sub(began) < 9*time.Second)
}

// Guards against a task that is placed on an endpoint which the holder before has reported as vacated: the order that ends
// everything there may be on its way for 1.4 s.
func TestNewHolderKeepsVacatedEndpointFree(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3, worker64)
	sim.run(time.Second)
	is.True(sim.engine.Vacate(sim.now, "endpoint-00", false))
	sim.takeOver(sim.release())
	sim.submit(lastingJob("lasting", 1, 1, 1))
	sim.run(1400 * time.Millisecond)
	is.Equal(sim.available("lasting"), 1)
	is.Equal(len(sim.endpoints["endpoint-00"].running), 0)
}

// Guards against a holder without permission that asks each endpoint more often than one with permission does.
func TestHolderWithoutRenewalAsksNoMoreOften(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3, worker64)
	sim.run(5 * time.Second)
	holds := 0
	sim.intercept = func(o shard.Order) bool {
		if o.Kind == shard.OrderHold {
			holds++
		}
		return false
	}
	sim.run(4 * time.Second)
	valid := holds
	sim.storeDown = true
	sim.run(fakeValidity)
	holds = 0
	sim.run(4 * time.Second)
	t.Logf("%d renewals in 4 s with permission, %d without", valid, holds)
	is.True(holds <= valid+3)
}

// Guards against renewals every 0.2 s while more endpoints are silent than the row with the bounds holds.
func TestFullListOfBoundsIsNotDueAgain(t *testing.T) {
	is := is.New(t)
	const endpoints = 1010
	sim := newSimulation(1, endpoints, worker64)
	sim.run(time.Second)
	sim.submit(lastingJob("lasting", endpoints, 1, 1))
	sim.run(3 * time.Second)
	for _, e := range sim.endpoints {
		e.unreachable = true
	}
	sim.run(1900 * time.Millisecond)
	b := sim.engine.PrepareBounds(sim.now)
	t.Logf("%d bounds, others end in %v", len(b.Bounds), b.End.Sub(sim.now))
	is.Equal(len(b.Bounds), 1000)
	is.True(!sim.engine.BoundsDue(sim.now))
}
