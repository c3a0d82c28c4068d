package shard_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/nearness"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// newNearSimulation returns a simulation of two racks of four endpoints, each of which holds one task of dataJob. The first
// rack is taken by tasks that end after a second.
func newNearSimulation(factor float64) *simulation {
	sim := newSimulation(1, 8, worker64)
	sim.farFactor = factor
	sim.takeOver(shard.Inheritance{})
	sim.run(time.Second)
	for n := range 4 {
		sim.submit(dataJob(fleet.JobID(fmt.Sprintf("before-%d", n))))
	}
	sim.run(500 * time.Millisecond)
	return sim
}

// dataJob returns a job whose task fills an endpoint and has data on the first rack.
func dataJob(id fleet.JobID) *fleet.Job {
	j := batchJob(id, 1, 60000)
	j.Steps[0].DataRack = "rack-0"
	return j
}

// Guards against a task that runs away from its data at any price, and against one that waits although it costs more.
func TestTaskWaitsForItsDataWhenThatPays(t *testing.T) {
	for _, c := range []struct {
		factor float64
		isFar  bool
	}{{3, false}, {1.2, true}, {0, true}} {
		t.Run(fmt.Sprintf("factor %v", c.factor), func(t *testing.T) {
			is := is.New(t)
			sim := newNearSimulation(c.factor)
			sim.submit(dataJob("job"))
			sim.run(5 * time.Second)
			is.Equal(sim.state("job"), fleet.JobStateCompleted)
			last := sim.observer.places[len(sim.observer.places)-1]
			is.Equal(last.Far, c.isFar)
			is.Equal(last.Waited > 0, !c.isFar)
			is.Equal(sim.violations, nil)
		})
	}
}

// Guards against tasks that wait for endpoints of their data's rack which no longer answer, are to leave, or are cordoned.
func TestTaskDoesNotWaitForLostRack(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(*simulation, *fakeEndpoint)
	}{
		{"dark", func(_ *simulation, e *fakeEndpoint) { e.unreachable = true }},
		{"draining", func(sim *simulation, e *fakeEndpoint) { e.Draining = true; sim.list() }},
		{"cordoned", func(sim *simulation, e *fakeEndpoint) { sim.engine.Vacate(sim.now, e.Endpoint, true) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newNearSimulation(3)
			sim.submit(dataJob("job"))
			sim.run(100 * time.Millisecond)
			is.Equal(len(sim.observer.places), 4) // it waits
			for _, e := range sim.sorted()[:4] {
				c.lose(sim, e)
			}
			sim.run(2 * time.Second) // within which an endpoint without an answer is noticed
			is.Equal(len(sim.observer.places), 5)
			is.True(sim.observer.places[4].Far)
		})
	}
}

// Guards against a wait beyond the bound where a policy expects the end of runs that go on.
func TestWaitForDataIsBounded(t *testing.T) {
	is := is.New(t)
	sim := newNearSimulation(1000)
	sim.duration = func(fleet.TaskID) time.Duration { return time.Minute }
	sim.run(2 * time.Second)
	for n := range 4 {
		sim.submit(dataJob(fleet.JobID(fmt.Sprintf("endless-%d", n))))
	}
	sim.run(time.Second)
	sim.submit(dataJob("job"))
	sim.run(nearness.MaxWait + 500*time.Millisecond)
	last := sim.observer.places[len(sim.observer.places)-1]
	is.Equal(last.Reason, nearness.ReasonWaited)
	is.True(last.Far && last.Waited <= nearness.MaxWait+200*time.Millisecond)
}

// Guards against a step on one rack that is spread although a rack gets room soon, or waits for one that gets none.
func TestStepOnOneRackIsDecidedByItsWait(t *testing.T) {
	for _, lasting := range []bool{false, true} {
		is := is.New(t)
		sim := newSimulation(1, 8, worker64)
		sim.farFactor = 3
		sim.takeOver(shard.Inheritance{})
		sim.run(time.Second)
		for n := range 4 { // on both racks two endpoints are taken
			j := batchJob(fleet.JobID(fmt.Sprintf("before-%d", n)), 1, 60000)
			j.Steps[0].DataRack, j.Steps[0].Lasting = fleet.RackID(fmt.Sprintf("rack-%d", n%2)), lasting
			sim.submit(j)
		}
		sim.run(500 * time.Millisecond)
		step := batchJob("step", 4, 40000)
		step.Steps[0].SameRack = true
		sim.submit(step)
		sim.run(300 * time.Millisecond)
		racks := map[fleet.RackID]bool{}
		for at := sim.now; sim.state("step") != fleet.JobStateCompleted && sim.now.Sub(at) < 5*time.Second; sim.step() {
			for _, e := range sim.sorted() {
				if slices.ContainsFunc(e.tasks(), func(id fleet.TaskID) bool { return id.Job == "step" }) {
					racks[e.Rack] = true
				}
			}
		}
		is.Equal(sim.state("step"), fleet.JobStateCompleted)
		is.Equal(len(racks) == 1, !lasting)
	}
}

// Guards against decisions on near places that change where steps without data run.
func TestStepsWithoutDataAreUntouched(t *testing.T) {
	placed := func(factor float64) []string {
		sim := newSimulation(3, 12, worker64)
		sim.farFactor = factor
		sim.takeOver(shard.Inheritance{})
		random := rand.New(rand.NewPCG(3, 1))
		var list []string
		sim.intercept = func(o shard.Order) bool {
			if o.Kind == shard.OrderStart {
				list = append(list, fmt.Sprintf("%v %s on %s", sim.now, o.Task, o.Process.Endpoint))
			}
			return false
		}
		for n := range 60 {
			j := batchJob(fleet.JobID(fmt.Sprintf("job-%02d", n)), 1+random.IntN(6), fleet.Millicores(1000+random.IntN(30000)))
			sim.submit(j)
			sim.run(time.Duration(random.IntN(400)) * time.Millisecond)
		}
		return list
	}
	is := is.New(t)
	is.Equal(placed(3), placed(0))
}
