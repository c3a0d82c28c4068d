package shard_test

import (
	"testing"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/shard"

	"github.com/matryer/is"
)

// Guards against a count of waiting jobs that omits a job as soon as its start was ordered: the order may be
// lost or executed seconds later, and until then no task has started.
func TestOrderedJobCountsAsWaiting(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2, worker64)
	sim.delayShare = 1
	sim.submit(batchJob("late", 2, 4000))
	sim.run(time.Second)
	is.Equal(sim.started(), 0)
	is.Equal(sim.engine.Waiting()["queue"], 1)
	sim.takeOver(shard.Inheritance{End: sim.now.Add(5 * time.Second)})
	sim.step()
	is.Equal(sim.engine.Waiting()["queue"], 1) // the next holder knows the order from the store only
	sim.delayShare = 0
	for range 3000 {
		sim.step()
		if sim.started() > 0 {
			break
		}
	}
	sim.run(100 * time.Millisecond)
	is.Equal(sim.engine.Waiting()["queue"], 0)
}

// started returns how many runs have started.
func (sim *simulation) started() int {
	n := 0
	for _, e := range sim.endpoints {
		n += len(e.running) + int(e.ended)
	}
	return n
}
