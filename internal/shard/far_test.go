package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a new holder that takes the longer run times of runs away from their data for those near it.
func TestInheritedFarRunsDoNotLengthenExpectedRunTime(t *testing.T) {
	for _, sameRack := range []bool{false, true} {
		is := is.New(t)
		sim := newSimulation(1, 12, worker64)
		sim.farFactor = 3
		sim.takeOver(shard.Inheritance{})
		sim.run(time.Second)
		far := batchJob("far", 12, 40000)
		if sameRack {
			far.Steps[0].SameRack = true
			sim.duration = func(fleet.TaskID) time.Duration { return 3 * time.Second } // No rack holds all of its tasks.
		} else {
			far.Steps[0].DataRack = "rack-without-endpoints"
		}
		sim.submit(far)
		sim.run(500 * time.Millisecond)
		sim.takeOver(sim.inheritance())
		sim.run(10 * time.Second)
		is.Equal(sim.state("far"), fleet.JobStateCompleted)
		is.True(sim.engine.Expected("queue", &far.Steps[0]) < 1500*time.Millisecond)
	}
}
