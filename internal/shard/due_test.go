package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a scheduler that goes round without waiting while a large commit is under way: it is called again when
// the placement is due.
func TestPlacementIsNeverDueInThePast(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 40, worker64)
	sim.run(time.Second)
	for n := range 200 {
		sim.submit(batchJob(fleet.JobID(fmt.Sprintf("job-%03d", n)), 1, 100))
	}
	sim.storeDown = true // the first commit stays under way
	sim.step()
	sim.engine.Plan(sim.now.Add(time.Millisecond))
	is.Equal(sim.engine.PlanDue().IsZero(), false) // too soon
	for n := range 200 {
		sim.engine.Cancel(sim.now, fleet.JobID(fmt.Sprintf("job-%03d", n)))
	}
	now := sim.now.Add(time.Second)
	sim.engine.Plan(now)
	is.True(sim.engine.PlanDue().IsZero() || sim.engine.PlanDue().After(now))
}
