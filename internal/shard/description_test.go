package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// specialJob returns a job that needs specialLabel.
func specialJob(id fleet.JobID, tasks int, millicores fleet.Millicores) *fleet.Job {
	j := batchJob(id, tasks, millicores)
	j.Steps[0].RequiredLabel = specialLabel
	return j
}

// Guards against tasks that start on the next process of an endpoint by the label, or the capacity, of the earlier one:
// the holder learns of the process from its lists, and of what it is from the registry only.
func TestNextProcessIsUsedOnceItIsDescribed(t *testing.T) {
	other := []fleet.Label{"other"}
	for _, c := range []struct {
		name     string
		labels   []fleet.Label
		capacity fleet.Capacity
		// registered is how long after its start the registry shows the process.
		registered time.Duration
		// starts is whether the job may run on the process in the end.
		starts bool
	}{
		{"other label, shown late", other, worker64, 2 * time.Second, false},
		{"other label, shown at once", other, worker64, 0, false},
		{"same label, shown late", []fleet.Label{specialLabel}, worker64, 2 * time.Second, true},
		{"less capacity, shown late", []fleet.Label{specialLabel}, fleet.Capacity{Millicores: 4000, Memory: 8000}, 2 * time.Second, true},
		{"never shown", []fleet.Label{specialLabel}, worker64, time.Hour, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim, special := newSpecialSimulation()
			sim.run(time.Second)
			sim.submit(specialJob("before", 2, 3000))
			sim.run(500 * time.Millisecond)
			is.Equal(len(special.running), 2)
			sim.restartWith(special, lowClock, c.registered)
			special.Labels, special.Capacity = c.labels, c.capacity
			if c.registered == 0 {
				sim.list()
			}
			sim.run(200 * time.Millisecond) // until its first list
			sim.submit(specialJob("after", 3, 3000))
			for sim.now.Before(fakeEpoch.Add(12 * time.Second)) {
				sim.step()
				if c.registered > 0 && sim.now.Before(special.registeredAt) {
					is.Equal(len(special.running), 0)
				}
			}
			is.Equal(sim.violations, nil)
			is.Equal(sim.state("after") == fleet.JobStateCompleted, c.starts)
		})
	}
}

// Guards against a description that outlives its process through a takeover: the row that the new holder reads is that
// of the earlier process.
func TestNewHolderWaitsForDescriptionOfNextProcess(t *testing.T) {
	is := is.New(t)
	sim, special := newSpecialSimulation()
	sim.run(time.Second)
	sim.restartWith(special, lowClock, 3*time.Second)
	special.Labels = []fleet.Label{"other"}
	sim.takeOver(shard.Inheritance{End: sim.now})
	sim.submit(specialJob("job", 3, 3000))
	sim.run(8 * time.Second)
	is.Equal(sim.violations, nil)
	is.Equal(len(special.running), 0)
}

// Guards against an endpoint whose draining is not noticed because its rows do not name their process.
func TestRowWithoutStartDescribesEndpoint(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2, worker64)
	rows := func(draining bool) []shard.EndpointInfo {
		var list []shard.EndpointInfo
		for _, e := range sim.sorted() {
			row := e.EndpointInfo
			row.StartMillis, row.Draining = 0, draining && e.Endpoint == "endpoint-00"
			list = append(list, row)
		}
		return list
	}
	sim.engine.SetEndpoints(sim.now, rows(false))
	sim.run(time.Second)
	sim.engine.SetEndpoints(sim.now, rows(true))
	sim.submit(batchJob("job", 4, 4000))
	sim.run(500 * time.Millisecond)
	is.Equal(len(sim.endpoints["endpoint-00"].running), 0)
	is.Equal(len(sim.endpoints["endpoint-01"].running), 4)
}
