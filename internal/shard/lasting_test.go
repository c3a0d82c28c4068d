package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

var worker64 = fleet.Capacity{Millicores: 64000, Memory: 128000}

func lastingJob(id fleet.JobID, tasks, perEndpoint, maxUnavailable int) *fleet.Job {
	return &fleet.Job{ID: id, Steps: []fleet.Step{{
		Tasks: tasks, Demand: fleet.Capacity{Millicores: 5000, Memory: 9000}, Lasting: true, MaxPerEndpoint: perEndpoint, MaxUnavailable: maxUnavailable,
	}}}
}

// Guards against an evacuation that stops a second task of a step while the first one is still listed as
// at work, because its stop takes time.
func TestEvacuationKeepsBudgetOfLastingStep(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 6, worker64)
	w.submit(lastingJob("lasting", 5, 2, 1))
	w.play(3 * time.Second)
	is.Equal(w.atWork("lasting"), 5)
	vacating := []fleet.EndpointID{"endpoint-00", "endpoint-01", "endpoint-02"}
	for range 800 {
		for _, id := range vacating {
			w.engine.Vacate(w.now, id)
		}
		w.step()
		is.True(w.atWork("lasting") >= 4) // at most one task is away through planned actions
	}
	for _, id := range vacating {
		is.True(w.engine.Vacate(w.now, id)) // nothing is left on the endpoint
	}
	is.Equal(len(w.violations), 0)
}
