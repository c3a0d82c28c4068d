package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// addUnanswered lists endpoints that never answer, as an entry of another writer may name.
func (sim *simulation) addUnanswered(count int, capacity fleet.Capacity) {
	for i := range count {
		id := fleet.EndpointID("odd-" + string(rune('a'+i)))
		sim.endpoints[id] = &fakeEndpoint{
			EndpointInfo: shard.EndpointInfo{Endpoint: id, Service: "service", Address: fleet.Address(id), Rack: "odd", Capacity: capacity, StartMillis: 1},
			began:        sim.now, running: map[fleet.TaskID]*fakeRun{}, highest: map[fleet.TaskID]fleet.RunNumber{}, unreachable: true,
		}
	}
	sim.list()
}

var hugeCapacity = fleet.Capacity{Millicores: 1 << 24, Memory: 1 << 30, Accelerators: 1 << 10}

// Guards against a pool that gets no VMs because the average capacity counts an endpoint that never answered.
func TestLoadLeavesOutEndpointThatNeverAnswered(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 4, worker64)
	sim.addUnanswered(3, hugeCapacity)
	sim.submit(batchJob("waits", 40, 32000))
	sim.run(time.Second)
	load := sim.engine.Load(sim.now)
	is.Equal(load.PerEndpoint, worker64.Millicores)
	is.Equal(len(load.Endpoints), 4)
	is.True(load.Waiting+load.Late > 0)
}
