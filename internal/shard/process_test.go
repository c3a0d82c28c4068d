package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a holder that gives its lease up because a process rejects an order that was meant for an earlier one.
func TestRejectionOfEarlierTokenFencesNoHolder(t *testing.T) {
	is := is.New(t)
	sim, e := newRestartSimulation()
	sim.delayOnce(shard.OrderStart, 300*time.Millisecond)
	sim.submit(batchJob("job", 1, 4000))
	sim.run(50 * time.Millisecond)
	is.Equal(len(sim.delayedOrders), 1)
	order := sim.delayedOrders[0].order
	sim.restartWith(e, lowClock, 0)
	sim.run(200 * time.Millisecond)
	is.True(e.token > order.Token)
	sim.engine.Apply(sim.now, shard.Result{Order: order, Answer: shard.AnswerFenced, Clock: e.clock(sim.now), SentAt: sim.now})
	is.True(!sim.engine.Fenced())
	sim.finish(is, "job")
}

// Guards against counting the usual lease after the first answer of a next process, before which a renewal arrived late.
func TestLateHoldBeforeFirstAnswerOfNextProcessExtendsLease(t *testing.T) {
	is := is.New(t)
	sim, e := newRestartSimulation()
	sim.delayOnce(shard.OrderHold, 6*time.Second)
	sim.reachesUnseen = true
	sim.run(1500 * time.Millisecond)
	is.Equal(len(sim.delayedOrders), 1)
	sim.restartWith(e, lowClock, 0)
	e.unreachable = true
	for len(sim.delayedOrders) > 0 {
		sim.step()
	}
	e.unreachable = false
	sim.run(2 * time.Second)
	sim.submit(batchJob("job", 1, 4000))
	sim.run(200 * time.Millisecond)
	is.Equal(len(e.running), 1)
	e.unreachable = true
	sim.run(20 * time.Second)
	sim.finish(is, "job")
}

// Guards against a lagging row of an earlier process, with a later start time, that counts as a restart.
func TestRowOfEarlierProcessShowsNoRestart(t *testing.T) {
	is := is.New(t)
	sim, e := newRestartSimulation()
	e.StartMillis = 100
	sim.list()
	sim.run(time.Second)
	sim.restartWith(e, lowClock, 500*time.Millisecond)
	e.StartMillis = 50
	sim.submit(batchJob("job", 1, 4000))
	sim.run(time.Second)
	is.Equal(len(e.running), 1)
	before := len(sim.observer.restarts)
	e.registeredAt = sim.now.Add(3 * time.Second)
	sim.list() // shows the earlier process again
	sim.run(time.Second)
	is.Equal(len(sim.observer.restarts), before)
	is.Equal(len(e.running), 1)
	sim.finish(is, "job")
}

// Guards against counting the usual lease for a start whose answer is lost with the contact to a next process.
func TestUnansweredStartAtUnseenProcessIsOutwaited(t *testing.T) {
	is := is.New(t)
	sim, e := newRestartSimulation()
	sim.restartWith(e, lowClock, 14*time.Second)
	e.mute = true
	sim.submit(batchJob("job", 1, 4000))
	sim.run(50 * time.Millisecond)
	is.Equal(len(e.running), 1)
	e.unreachable = true
	sim.run(20 * time.Second)
	sim.finish(is, "job")
}

// Guards against a run that is given up because a list, overtaken by a later one, lacks it.
func TestOvertakenListGivesUpNoRun(t *testing.T) {
	is := is.New(t)
	sim, r := runningTask(is)
	r.Clock -= 2500 * time.Millisecond // before the start
	sim.engine.Apply(sim.now, r)
	is.Equal(len(sim.observer.losses), 0)
	sim.finish(is, "job")
}

// Guards against a task that is started again because a list from before the answer to the stop of its run lacks the run.
func TestListFromBeforeStopSettlesNoRun(t *testing.T) {
	is := is.New(t)
	sim, e := newRestartSimulation()
	sim.delayOnce(shard.OrderStart, 20*time.Second)
	sim.submit(batchJob("job", 1, 4000))
	sentAt := sim.now
	for range 100 { // until the stop is answered
		sim.step()
		if e.highest[fleet.TaskID{Job: "job"}] == 1 {
			break
		}
	}
	is.Equal(e.highest[fleet.TaskID{Job: "job"}], fleet.RunNumber(1))
	order := shard.Order{Kind: shard.OrderHold, Process: e.Process(), Address: e.Address, Epoch: sim.epoch, Token: e.token}
	sim.engine.Apply(sim.now, shard.Result{Order: order, Answer: shard.AnswerDone, Clock: e.clock(sim.now), StartMillis: e.StartMillis, SentAt: sentAt})
	is.Equal(len(sim.observer.losses), 0)
}
