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

// Guards against a new holder that takes a run of its predecessor for a task at work although the
// endpoint does not answer, and stops another task of the step.
func TestNewHolderCountsUnseenRunsAsAway(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 6, worker64)
	w.submit(lastingJob("lasting", 5, 1, 1))
	w.play(3 * time.Second)
	is.Equal(w.atWork("lasting"), 5)
	for _, e := range w.endpoints {
		if len(e.running) > 0 {
			e.dead = true
			break
		}
	}
	w.takeOver(w.now.Add(10 * time.Second))
	var working fleet.EndpointID
	for id, e := range w.endpoints {
		if !e.dead && len(e.running) > 0 {
			working = id
		}
	}
	for range 300 {
		w.engine.Vacate(w.now, working)
		w.step()
		is.True(w.atWork("lasting") >= 4) // one task is away already
	}
}
