package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/job"
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

// Guards against a step that waits forever for room in a rack whose endpoints never answered.
func TestStepDoesNotWaitForRackThatNeverAnswered(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 8, worker64)
	sim.addUnanswered(2, hugeCapacity)
	j := batchJob("wide", 12, 32000)
	j.Steps[0].SameRack = true
	sim.submit(j)
	sim.run(20 * time.Second)
	state, _ := sim.engine.State("wide")
	is.Equal(state, fleet.JobStateCompleted) // a rack holds 8 of the 12 tasks
	is.Equal(len(sim.violations), 0)
}

// Guards against a step that waits forever for room in a rack whose only entry names the address of another endpoint.
func TestStepDoesNotWaitForEntryWithAddressOfAnother(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 8, worker64)
	sim.addUnanswered(1, hugeCapacity)
	odd := sim.endpoints["odd-a"].EndpointInfo
	j := batchJob("wide", 12, 32000)
	j.Steps[0].SameRack = true
	sim.submit(j)
	for end := sim.now.Add(20 * time.Second); sim.now.Before(end); {
		sim.step()
		hold := shard.Order{Kind: shard.OrderHold, Service: "service", Process: odd.Process(), Address: odd.Address, Token: sim.epoch}
		sim.engine.Apply(sim.now, shard.Result{Order: hold, Answer: shard.AnswerGone, SentAt: sim.now})
	}
	state, _ := sim.engine.State("wide")
	is.Equal(state, fleet.JobStateCompleted)
	is.Equal(len(sim.violations), 0)
}

// Guards against faulty jobs that take all endpoints out of use because the share counts endpoints that never
// answered.
func TestEndpointsThatNeverAnsweredAllowNoEjections(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 5, worker64)
	sim.addUnanswered(20, hugeCapacity)
	sim.policy.MaxAttempts = 1
	sim.engine.SetPolicies([]job.Policy{sim.policy})
	for _, e := range sim.endpoints {
		e.failAll = true
	}
	for i := range 40 {
		sim.submit(batchJob(fleet.JobID("faulty-"+string(rune('A'+i))), 1, 40000))
	}
	sim.run(3 * time.Second)
	is.True(len(sim.observer.ejections) <= 2) // 40% of 5
}

// Guards against a search for room that takes long, or a sum that overflows, when a demand is zero or a capacity
// is the largest that is decoded.
func TestRoomOfLargestCapacityIsFoundAtOnce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 4, hugeCapacity)
	for _, millicores := range []fleet.Millicores{0, 1, hugeCapacity.Millicores, 1 << 32} {
		j := batchJob(fleet.JobID("job-"+string(rune('a'+millicores%7))), 1000, millicores)
		j.Steps[0].Demand.Memory = 0
		j.Steps[0].SameRack = true
		sim.submit(j)
	}
	began := time.Now()
	sim.run(500 * time.Millisecond)
	is.True(time.Since(began) < 30*time.Second)
	load := sim.engine.Load(sim.now)
	is.True(load.Used >= 0 && load.Waiting >= 0 && load.Late >= 0 && load.PerEndpoint == hugeCapacity.Millicores)
}

// Guards against an entry with the address of another endpoint that has it called ten times a second.
func TestEntryWithAddressOfAnotherIsCalledLessOften(t *testing.T) {
	is := is.New(t)
	engine := shard.NewEngine("service", 1, shard.Bounds{MaxLease: fakeMaxLease, StopTime: fakeStop}, &fakeObserver{}, shard.Inheritance{}, fakeEpoch.Add(time.Hour))
	now := fakeEpoch
	engine.SetEndpoints(now, []shard.EndpointInfo{{Endpoint: "odd", Service: "service", Address: "taken", Capacity: worker64, StartMillis: 1}})
	holds := 0
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(fakeTick) {
		engine.Tick(now)
		for _, o := range engine.Orders() {
			holds++
			engine.Apply(now, shard.Result{Order: o, Answer: shard.AnswerGone, SentAt: now})
		}
	}
	is.True(holds >= 10 && holds <= 20) // as often as an endpoint that does not answer
}
