package shard_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// boundsRoom is what the row with the bounds may take: the store keeps 64 KB.
const boundsRoom = 60 << 10

// boundsSize is the most that the bounds take in their row.
func boundsSize(i shard.Inheritance) int {
	size := 0
	for _, b := range i.Bounds {
		size += len(b.Endpoint) + 48
	}
	return size
}

// withLongNames returns a simulation whose endpoints have names of 180 bytes. Their lasting tasks run, and all but the last
// one are silent.
func withLongNames(t *testing.T, endpoints int) (*simulation, fleet.EndpointID) {
	sim := newSimulation(1, endpoints, worker64)
	named := map[fleet.EndpointID]*fakeEndpoint{}
	for _, e := range sim.sorted() {
		e.Endpoint = fleet.EndpointID(strings.Repeat("n", 180-len(e.Endpoint))) + e.Endpoint
		e.Address = fleet.Address(e.Endpoint)
		named[e.Endpoint] = e
	}
	sim.endpoints = named
	sim.takeOver(shard.Inheritance{})
	sim.run(time.Second)
	sim.submit(lastingJob("lasting", endpoints-1, 1, 1))
	sim.run(3 * time.Second)
	idle := fleet.EndpointID("")
	for _, e := range sim.sorted() {
		if len(e.running) == 0 {
			idle = e.Endpoint
			continue
		}
		e.unreachable = true
	}
	is.New(t).True(idle != "")
	sim.run(1900 * time.Millisecond)
	return sim, idle
}

// Guards against a renewal that the store refuses while many endpoints are silent: the row with the bounds of their leases
// was bounded by their number, not by their size.
func TestBoundsOfManySilentEndpointsFitTheirRow(t *testing.T) {
	is := is.New(t)
	sim, _ := withLongNames(t, 400)
	b := sim.engine.PrepareBounds(sim.now)
	t.Logf("%d bounds of %d bytes, others end in %v", len(b.Bounds), boundsSize(b), b.End.Sub(sim.now))
	is.True(len(b.Bounds) > 200)
	is.True(boundsSize(b) <= boundsRoom)
	is.True(b.End.After(sim.now)) // The next holder waits for the others.
	is.True(!sim.engine.BoundsDue(sim.now))
}

// Guards against a VM that gets work from the next holder while the order for its maintenance is on the way: its cordon did
// not fit into the row.
func TestCordonIsReleasedWithFullListOfBounds(t *testing.T) {
	is := is.New(t)
	sim, idle := withLongNames(t, 400)
	is.True(sim.engine.Vacate(sim.now, idle, false))
	b := sim.engine.PrepareRelease(sim.now)
	is.True(boundsSize(b) <= boundsRoom)
	cordoned := 0
	for _, bound := range b.Bounds {
		if bound.Endpoint == idle && bound.CordonedUntil.After(sim.now) {
			cordoned++
		}
	}
	is.Equal(cordoned, 1)
}
