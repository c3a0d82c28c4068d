package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// leaveAndReturn ends an endpoint's process, has the registry remove it, and starts another one under its id.
func (sim *simulation) leaveAndReturn(e *fakeEndpoint, away time.Duration) {
	sim.crash(e, 0)
	e.backAt = time.Time{}
	sim.list()
	sim.run(away)
	sim.restartWith(e, lowClock, 0)
	sim.list()
}

// Guards against a start without an answer at the next process of an endpoint that the registry removed in between.
func TestLateStartReachesNextProcessOfForgottenEndpoint(t *testing.T) {
	is := is.New(t)
	sim, e := newRestartSimulation()
	sim.delayOnce(shard.OrderStart, 8*time.Second)
	sim.submit(batchJob("job", 1, 4000))
	e.Draining = false
	sim.run(time.Second)
	e.Draining = true // the next run starts on the other endpoint
	sim.list()
	sim.run(time.Second)
	sim.engine.Vacate(sim.now, e.Endpoint, true)
	sim.leaveAndReturn(e, 2*time.Second)
	sim.run(20 * time.Second)
	sim.finish(is, "job")
}

// Guards against counting the usual lease at the next process of an endpoint that the registry removed in between.
func TestLateHoldExtendsLeaseOfForgottenEndpoint(t *testing.T) {
	is := is.New(t)
	sim, e := newRestartSimulation()
	sim.delayOnce(shard.OrderHold, 6*time.Second)
	sim.run(1500 * time.Millisecond)
	is.Equal(len(sim.delayedOrders), 1)
	sim.leaveAndReturn(e, 2*time.Second)
	sim.run(time.Second)
	sim.submit(batchJob("job", 1, 4000))
	for len(sim.delayedOrders) > 0 {
		sim.step()
	}
	is.Equal(len(e.running), 1)
	e.unreachable = true
	sim.run(20 * time.Second)
	sim.finish(is, "job")
}

// Guards against counting the usual lease at the first contact, before which a renewal by the former holder arrived late.
func TestLateHoldOfEarlierHolderExtendsLeaseBeforeContact(t *testing.T) {
	is := is.New(t)
	sim, e := newRestartSimulation()
	sim.delayOnce(shard.OrderHold, 6*time.Second)
	sim.reachesUnseen = true
	sim.run(1500 * time.Millisecond)
	is.Equal(len(sim.delayedOrders), 1)
	sim.restartWith(e, lowClock, 0)
	e.unreachable = true
	sim.list()
	sim.takeOver(sim.inheritance())
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

// Guards against a lease of a kept run that a later start, by the earlier process's clock, has extended.
func TestStartExtendsLeaseOfRunAtUnseenProcess(t *testing.T) {
	is := is.New(t)
	sim, e := newRestartSimulation()
	sim.restartWith(e, lowClock, 14*time.Second)
	sim.delay = func(o shard.Order) time.Duration { // its renewals get no answer
		if o.Kind == shard.OrderHold && o.Process.Endpoint == e.Endpoint {
			return 20 * time.Second
		}
		return 0
	}
	sim.submit(batchJob("job", 1, 4000))
	sim.run(50 * time.Millisecond)
	is.Equal(len(e.running), 1) // the next process has started the task
	sim.run(1400 * time.Millisecond)
	e.mute = true
	sim.submit(batchJob("second", 1, 4000))
	sim.run(100 * time.Millisecond)
	is.Equal(len(e.running), 2)
	e.unreachable = true
	sim.run(20 * time.Second)
	sim.finish(is, "job")
}

// Guards against a released lease whose next holder does not wait for the longest lease of a next process.
func TestReleaseWaitsForLongestLease(t *testing.T) {
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
	sim.run(2 * time.Second)
	sim.submit(batchJob("job", 1, 4000))
	sim.run(200 * time.Millisecond)
	is.Equal(len(e.running), 1)
	e.unreachable = true
	sim.takeOver(sim.release())
	sim.run(20 * time.Second)
	sim.finish(is, "job")
}

// Guards against leases that outlast the engine's count because its estimate of an endpoint's clock is old.
func TestOldClockEstimateGrantsNoLongerLease(t *testing.T) {
	is := is.New(t)
	sim, e := newRestartSimulation()
	sim.endpoints["endpoint-01"].Draining = true
	sim.list()
	e.slow = 2
	sim.delay = func(o shard.Order) time.Duration { // its renewals get no answer
		if o.Kind == shard.OrderHold && o.Process.Endpoint == e.Endpoint {
			return 50 * time.Second
		}
		return 0
	}
	for i := range 15 {
		sim.submit(batchJob(fleet.JobID(rune('a'+i)), 1, 4000))
		sim.run(time.Second)
	}
	is.True(len(e.running) > 1)
	e.unreachable = true
	sim.endpoints["endpoint-01"].Draining = false
	sim.list()
	sim.run(10 * time.Second)
	is.Equal(sim.violations, nil)
}

// Guards against a late answer of a former listener at an address, which gives up a run that started there since.
func TestLateAnswerOfOtherEndpointKeepsLaterRun(t *testing.T) {
	is := is.New(t)
	sim, e := newRestartSimulation()
	var hold shard.Order
	sim.delay = func(o shard.Order) time.Duration {
		if o.Kind == shard.OrderHold && o.Process.Endpoint == e.Endpoint && hold.Kind == "" {
			hold = o
			return 5 * time.Second
		}
		return 0
	}
	sim.run(1100 * time.Millisecond)
	sentAt := sim.now
	sim.submit(batchJob("job", 1, 4000))
	sim.run(100 * time.Millisecond)
	is.Equal(len(e.running), 1)
	sim.engine.Apply(sim.now, shard.Result{Order: hold, Answer: shard.AnswerGone, SentAt: sentAt})
	sim.run(300 * time.Millisecond)
	sim.finish(is, "job")
}

// Guards against an endpoint that is never called again after a restart at another address with an earlier start time.
func TestEndpointWithEarlierStartAtOtherAddressIsUsed(t *testing.T) {
	is := is.New(t)
	engine := shard.NewEngine("service", 1, shard.Bounds{MaxLease: fakeMaxLease}, &fakeObserver{ejections: map[fleet.EndpointID]int{}}, shard.Inheritance{}, fakeEpoch.Add(time.Hour))
	info := shard.EndpointInfo{Endpoint: "endpoint", Service: "service", Address: "address", Capacity: worker64, StartMillis: 100}
	engine.SetEndpoints(fakeEpoch, []shard.EndpointInfo{info})
	engine.Tick(fakeEpoch)
	o := engine.Orders()[0]
	engine.Apply(fakeEpoch, shard.Result{Order: o, Answer: shard.AnswerDone, Clock: time.Second, StartMillis: 100, SentAt: fakeEpoch})
	info.Address, info.StartMillis = "other-address", 50
	now := fakeEpoch
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		engine.SetEndpoints(now, []shard.EndpointInfo{info})
		engine.Tick(now)
		for _, o := range engine.Orders() {
			if o.Address == "other-address" {
				return
			}
			engine.Apply(now, shard.Result{Order: o, Answer: shard.AnswerUnknown, SentAt: now})
		}
	}
	is.Fail() // the registered address is never called
}

// Guards against an end that a renewal, held back for a slow commit, has the next process forget unlisted.
func TestRenewalAfterSlowCommitForgetsNoEnd(t *testing.T) {
	is := is.New(t)
	sim, e := newRestartSimulation()
	sim.duration = func(fleet.TaskID) time.Duration { return 300 * time.Millisecond }
	sim.submit(batchJob("first", 1, 4000))
	sim.run(100 * time.Millisecond)
	is.Equal(len(e.running), 1)
	sim.storeDown = true
	sim.submit(batchJob("job", 1, 4000))
	sim.run(500 * time.Millisecond) // the end of the first task is listed, its commit waits for that of the start
	sim.restartWith(e, lowClock, 2*time.Second)
	sim.storeDown = false
	sim.step()
	sim.storeDown = true
	sim.run(50 * time.Millisecond)
	is.Equal(len(e.running), 1) // the next process has started the task
	sim.run(350 * time.Millisecond)
	sim.storeDown = false
	sim.run(5 * time.Second)
	sim.finish(is, "job")
}
