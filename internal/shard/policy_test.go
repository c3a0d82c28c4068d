package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against more attempts than the queue allows after its route was removed, at this holder and at the next one.
func TestRemovedQueueKeepsItsAttempts(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		is := is.New(t)
		sim := newSimulation(1, 4, worker64)
		sim.policy.MaxAttempts = 2
		sim.engine.SetPolicies([]job.Policy{sim.policy})
		for _, e := range sim.endpoints {
			e.failAll = true
		}
		sim.run(time.Second)
		sim.submit(batchJob("job", 2, 3000))
		sim.run(20 * time.Millisecond)
		if takeOver {
			sim.takeOver(shard.Inheritance{End: sim.now})
		}
		sim.engine.SetPolicies(nil)
		sim.run(15 * time.Second)
		is.Equal(sim.state("job"), fleet.JobStateFailed)
		is.True(sim.mostFailures("job") <= 2)
	}
}
