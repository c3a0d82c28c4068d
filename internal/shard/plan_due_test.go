package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a scheduler that spins while a batch is committed: a placement that the batch holds back was still due.
func TestPlacementIsNotDueBehindBatch(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 100, worker64)
	sim.run(time.Second)
	for n := range 400 {
		sim.submit(batchJob(fleet.JobID(fmt.Sprintf("job-%03d", n)), 1, 4000))
	}
	sim.engine.Plan(sim.now.Add(20 * time.Millisecond))
	batch, err := sim.engine.NextBatch(sim)
	is.NoErr(err)
	is.True(batch != nil)
	sim.engine.Plan(sim.now.Add(21 * time.Millisecond))
	is.True(!sim.engine.PlanDue().IsZero()) // It is too soon.
	for n := range 200 {
		sim.engine.Cancel(sim.now, fleet.JobID(fmt.Sprintf("job-%03d", 399-n)))
	}
	sim.engine.Plan(sim.now.Add(time.Second))
	is.True(sim.engine.PlanDue().IsZero())
}
