package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// takeOverAndLoad starts a new holder some time after the last renewal of the earlier one. It knows the endpoints at
// once, and the jobs and their progress after the load.
func (sim *simulation) takeOverAndLoad(silence, load time.Duration) {
	inherited := sim.inheritance()
	sim.frozen = true
	sim.run(silence)
	sim.frozen, sim.loading = false, true
	sim.takeOver(inherited)
	sim.run(load)
	sim.loading = false
	sim.list()
	sim.load()
}

// Guards against a holder that lets the leases of running tasks expire while it reads the service's jobs and progress:
// over a slow link that takes longer than what the takeover leaves of the leases.
func TestLeasesAreRenewedWhileServiceIsLoaded(t *testing.T) {
	for _, load := range []time.Duration{100 * time.Millisecond, 2500 * time.Millisecond, 12 * time.Second} {
		t.Run(load.String(), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1, 6, worker64)
			sim.duration = func(fleet.TaskID) time.Duration { return 20 * time.Second }
			sim.submit(lastingJob("lasting", 5, 1, 1))
			sim.submit(batchJob("batch", 20, 4000))
			sim.run(3 * time.Second)
			is.Equal(sim.available("lasting"), 5)
			sim.takeOverAndLoad(2500*time.Millisecond, load)
			for range 600 {
				sim.step()
				is.Equal(sim.available("lasting"), 5)
			}
			sim.run(15 * time.Second)
			is.Equal(sim.state("batch"), fleet.JobStateCompleted)
			for _, e := range sim.endpoints {
				is.True(e.lapsedAt.IsZero())
			}
			is.Equal(sim.violations, nil)
		})
	}
}

// Guards against ends that a loading holder takes note of without knowing their jobs, and against renewals without a
// pause where such ends wait.
func TestLoadingHolderLeavesEndsForLater(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2, worker64)
	sim.submit(batchJob("batch", 8, 4000))
	sim.run(300 * time.Millisecond)
	sim.takeOverAndLoad(2*time.Second, 4*time.Second)
	ends, renewals := 0, 0
	for _, e := range sim.endpoints {
		ends += len(e.ends)
		renewals += e.renewals
	}
	is.Equal(ends, 8)         // the tasks ended during the takeover, and no end was acknowledged
	is.True(renewals <= 2*12) // of two endpoints in 6.3 s
	sim.run(3 * time.Second)
	is.Equal(sim.state("batch"), fleet.JobStateCompleted)
	is.Equal(sim.violations, nil)
}

// Guards against an endpoint that counts as one with a single process, because the holder knew it before it had read
// which processes earlier holders knew: deadlines on the clock of the earlier process may have granted a longer lease.
func TestLoadingHolderLearnsOfEarlierProcesses(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1, worker64)
	sim.run(time.Second)
	sim.frozen = true // the earlier holder does not learn of the restart
	sim.restartWith(sim.endpoints["endpoint-00"], lowClock, 100*time.Millisecond)
	sim.takeOverAndLoad(2500*time.Millisecond, 12*time.Second) // until the leases of the earlier holder have ended
	bounds := sim.engine.PrepareBounds(sim.now).Bounds
	is.True(len(bounds) == 1 && bounds[0].End.After(shard.LeaseEnd(sim.now)))
	sim.run(fakeMaxLease + time.Second)
	is.Equal(sim.engine.PrepareBounds(sim.now), shard.Inheritance{})
}
