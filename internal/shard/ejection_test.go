package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against an endpoint that gets one task only for ever: after its ejection it runs a task that never ends.
func TestLastingTaskAtWorkEndsProbation(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3, worker64)
	e := sim.endpoints["endpoint-00"]
	e.failAll = true
	for _, id := range []fleet.JobID{"first", "second"} {
		for _, other := range sim.endpoints {
			other.Draining = other != e
		}
		sim.list()
		sim.submit(batchJob(id, 1, 1000))
		sim.run(200 * time.Millisecond)
		sim.cancel(id)
	}
	is.True(sim.observer.ejections[e.Endpoint] > 0)
	e.failAll = false
	sim.submit(lastingJob("lasting", 3, 0, 1))
	sim.run(20 * time.Second)
	is.Equal(sim.available("lasting"), 3)
}

// Guards against a cut that counts as a stall of each run, which doubles the ejection several times at once.
func TestSilenceIsNoStall(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3, worker64)
	sim.duration = func(fleet.TaskID) time.Duration { return 12 * time.Second }
	sim.submit(batchJob("job", 8, 2000))
	sim.run(3 * time.Second)
	for _, e := range sim.endpoints {
		e.unreachable = len(e.running) > 0
	}
	sim.run(6 * time.Second)
	is.Equal(len(sim.observer.ejections), 0)
}
