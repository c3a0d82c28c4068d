package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/shard"
)

// runningTask returns a simulation in which endpoint-00 has listed the run of a task, and the result of a renewal
// there that lists nothing.
func runningTask(is *is.I) (*simulation, shard.Result) {
	sim, e := newRestartSimulation()
	sim.submit(batchJob("job", 1, 4000))
	sim.run(3 * time.Second)
	is.Equal(len(e.running), 1)
	order := shard.Order{Kind: shard.OrderHold, Process: e.Process(), Address: e.Address, Epoch: sim.epoch, Token: e.token}
	return sim, shard.Result{Order: order, Answer: shard.AnswerDone, Clock: e.clock(sim.now), StartMillis: e.StartMillis, SentAt: sim.now}
}

// Guards against a task that starts again because its end did not fit into a list.
func TestRunIsKeptWhileListOfEndsIsCut(t *testing.T) {
	for _, c := range []struct {
		name     string
		moreEnds bool
		losses   int
	}{
		{"a list with all ends", false, 1},
		{"a list that may lack ends", true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim, r := runningTask(is)
			r.MoreEnds = c.moreEnds
			sim.engine.Apply(sim.now, r)
			is.Equal(len(sim.observer.losses), c.losses)
		})
	}
}

// Guards against the clock or the start time of another endpoint, at an earlier address, in place of the endpoint's.
func TestAnswerOfOtherEndpointShowsNoRestart(t *testing.T) {
	is := is.New(t)
	sim, r := runningTask(is)
	r.Order.Address, r.Answer, r.StartMillis, r.Clock = "earlier", shard.AnswerGone, 99, 10*highClock
	sim.engine.Apply(sim.now, r)
	is.Equal(len(sim.observer.restarts), 0)
	is.Equal(len(sim.observer.losses), 0)
	sim.finish(is, "job")
}
