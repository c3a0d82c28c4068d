package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a step with same_rack that waits without end for a rack that could hold it if it were empty: on each
// rack an endpoint is taken by a task that lasts, or has stopped answering.
func TestStepIsSpreadWhenNoRackGetsRoom(t *testing.T) {
	for _, lasting := range []bool{false, true} {
		t.Run(fmt.Sprintf("lasting %v", lasting), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1, 16, worker64)
			for rack := range 3 {
				j := lastingJob(fleet.JobID(fmt.Sprintf("lasting-%d", rack)), 1, 1, 1)
				j.Steps[0].Demand.Millicores, j.Steps[0].DataRack = 30000, fleet.RackID(fmt.Sprintf("rack-%d", rack))
				sim.submit(j)
			}
			sim.run(2 * time.Second)
			sim.endpoints["endpoint-15"].unreachable = true
			sim.run(3 * time.Second)
			step := batchJob("step", 4, 40000)
			step.Steps[0].SameRack, step.Steps[0].Lasting = true, lasting
			sim.submit(step)
			sim.run(5 * time.Second)
			if lasting {
				is.Equal(sim.available("step"), 4)
			} else {
				is.Equal(sim.state("step"), fleet.JobStateCompleted)
			}
			is.Equal(sim.violations, nil)
		})
	}
}

// Guards against a step that is spread although a rack gets room within the time that this saves.
func TestStepWaitsForItsRack(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 8, worker64)
	sim.run(time.Second)
	for n := range 4 { // on both racks two endpoints are taken
		j := batchJob(fleet.JobID(fmt.Sprintf("before-%d", n)), 1, 60000)
		j.Steps[0].DataRack = fleet.RackID(fmt.Sprintf("rack-%d", n%2))
		sim.submit(j)
	}
	sim.run(500 * time.Millisecond)
	step := batchJob("step", 4, 40000)
	step.Steps[0].SameRack = true
	sim.submit(step)
	for sim.state("step") != fleet.JobStateCompleted {
		sim.step()
		racks := map[fleet.RackID]bool{}
		for _, e := range sim.endpoints {
			for id := range e.running {
				if id.Job == "step" {
					racks[e.Rack] = true
				}
			}
		}
		is.True(len(racks) <= 1)
	}
}
