package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// killWorking ends the process of an endpoint that executes a lasting task, for good.
func killWorking(sim *simulation) fleet.EndpointID {
	for id, e := range sim.endpoints {
		if len(e.running) > 0 {
			e.dead = true
			return id
		}
	}
	return ""
}

// Guards against a wait for the lease of an earlier holder that no line shows, or that looks like a lack of room.
func TestWaitForInheritedLeaseIsObserved(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 6, worker64)
	sim.submit(lastingJob("lasting", 5, 1, 1))
	sim.run(3 * time.Second)
	killed := killWorking(sim)
	sim.takeOver(shard.Inheritance{End: sim.now.Add(10 * time.Second)})
	sim.run(12 * time.Second)
	is.Equal(len(sim.observer.waits), 2) // until the lease has expired, and until the start is confirmed
	first := sim.observer.waits[0]
	is.Equal(first.Reason, shard.WaitInheritedLease)
	is.Equal(first.Process.Endpoint, killed)
	is.True(first.Inherited)
	is.True(first.Left > 7*time.Second && first.Left < 10*time.Second)
	is.Equal(len(sim.observer.resumed), 1)
	resumed := sim.observer.resumed[0]
	is.Equal(resumed.Task, first.Task)
	is.Equal(resumed.Run, first.Run+1)
	is.True(resumed.Waited >= 9*time.Second)
}

// Guards against a wait for the holder's own lease that is attributed to an earlier holder, and against waits of tasks
// that run.
func TestWaitForOwnLeaseIsObserved(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 6, worker64)
	sim.submit(lastingJob("lasting", 5, 1, 1))
	sim.run(3 * time.Second)
	is.Equal(len(sim.observer.waits), 0)
	killWorking(sim)
	sim.run(8 * time.Second)
	is.Equal(sim.observer.waits[0].Reason, shard.WaitLease)
	is.True(!sim.observer.waits[0].Inherited)
	is.Equal(len(sim.observer.resumed), 1)
	is.True(sim.observer.resumed[0].Waited > 3*time.Second)
}

// Guards against a task without room whose wait is not told from the wait for a lease.
func TestWaitForRoomIsObserved(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2, worker64)
	sim.submit(lastingJob("lasting", 2, 1, 1))
	sim.run(3 * time.Second)
	killWorking(sim)
	sim.run(10 * time.Second)
	is.Equal(len(sim.observer.waits), 2)
	is.Equal(sim.observer.waits[1].Reason, shard.WaitNoRoom)
	is.Equal(sim.observer.waits[1].Process, fleet.EndpointProcess{})
	is.Equal(len(sim.observer.resumed), 0)
}
