package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against removing the progress of an old job while its acceptance is still stored: the next holder
// would see a job that has not run, and run it again.
func TestOldJobIsForgottenAfterItsAcceptance(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1, worker64)
	sim.statusRetention = time.Second
	sim.takeOver(shard.Inheritance{})
	sim.submit(batchJob("old", 2, 1000))
	sim.run(5 * time.Second)
	is.Equal(sim.state("old"), fleet.JobStateCompleted)
	is.Equal(len(sim.engine.Expired(sim.now)), 0) // its state is still kept
	sim.run(40 * time.Second)
	is.Equal(sim.engine.Expired(sim.now), []fleet.JobID{"old"})
	is.Equal(len(sim.store.rows), 1) // kept until its acceptance is removed
	sim.takeOver(shard.Inheritance{End: sim.now})
	sim.run(5 * time.Second)
	is.Equal(sim.state("old"), fleet.JobStateCompleted)
	sim.engine.Forget("old")
	sim.run(time.Second)
	is.Equal(len(sim.store.rows), 0)
	is.Equal(len(sim.violations), 0)
}

// Guards against rows of ended jobs that pile up at a service with more than a few jobs a second.
func TestManyOldJobsExpireAtOnce(t *testing.T) {
	is := is.New(t)
	const jobs = 300
	sim := newSimulation(1, 4, worker64)
	sim.statusRetention = time.Second
	sim.takeOver(shard.Inheritance{})
	for n := range jobs {
		sim.submit(batchJob(fleet.JobID(fmt.Sprintf("job-%d", n)), 1, 1000))
	}
	sim.run(60 * time.Second)
	is.Equal(len(sim.engine.Expired(sim.now)), jobs)
}
