package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const specialLabel fleet.Label = "special"

// newSpecialSimulation returns a simulation in which only the returned endpoint has specialLabel.
func newSpecialSimulation() (*simulation, *fakeEndpoint) {
	sim := newSimulation(1, 4, worker64)
	special := sim.endpoints["endpoint-03"]
	special.Labels = []fleet.Label{specialLabel}
	sim.list()
	return sim, special
}

// ejectSpecial has the endpoint fail runs until it is ejected. Then it is sound again.
func (sim *simulation) ejectSpecial(is *is.I, special *fakeEndpoint) {
	is.Helper()
	special.failAll = true
	for _, id := range []fleet.JobID{"faulty-1", "faulty-2"} {
		j := batchJob(id, 1, 1000)
		j.Steps[0].RequiredLabel = specialLabel
		sim.submit(j)
		sim.run(200 * time.Millisecond)
		sim.cancel(id)
	}
	special.failAll = false
	is.Equal(sim.observer.ejections[special.Endpoint], 1)
}

// Guards against an endpoint that gets no task after an ejection while a task runs there that never ends.
func TestEndpointWithLastingTaskLeavesProbation(t *testing.T) {
	for _, test := range []struct {
		name    string
		lasting int
		step    func(*fleet.Step)
	}{
		{"single tasks", 1, func(*fleet.Step) {}},
		{"single tasks beside several lasting ones", 3, func(*fleet.Step) {}},
		{"gang", 1, func(s *fleet.Step) { s.Gang = true }},
		{"same rack", 1, func(s *fleet.Step) { s.SameRack = true }},
		{"lasting tasks", 1, func(s *fleet.Step) { s.Lasting = true }},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sim, special := newSpecialSimulation()
			lasting := lastingJob("lasting", test.lasting, 0, 1)
			lasting.Steps[0].RequiredLabel = specialLabel
			sim.submit(lasting)
			sim.run(2 * time.Second)
			is.Equal(sim.available("lasting"), test.lasting)
			sim.ejectSpecial(is, special)
			later := batchJob("later", 3, 4000)
			later.Steps[0].RequiredLabel = specialLabel
			test.step(&later.Steps[0])
			sim.submit(later)
			sim.run(10 * time.Second)
			if later.Steps[0].Lasting {
				is.Equal(sim.available("later"), 3)
				return
			}
			is.Equal(sim.state("later"), fleet.JobStateCompleted)
		})
	}
}

// Guards against a run of before the ejection that ends the probation: the endpoint got all waiting tasks at once and
// failed them.
func TestEarlierRunDoesNotEndProbation(t *testing.T) {
	is := is.New(t)
	sim, special := newSpecialSimulation()
	sim.duration = func(id fleet.TaskID) time.Duration {
		if id.Job == "before" {
			return 2 * time.Second
		}
		return time.Second
	}
	sim.run(time.Second)
	sim.submit(specialJob("before", 1, 3000))
	sim.run(time.Second)
	special.failFrom = sim.now
	sim.ejectSpecial(is, special)
	special.failAll = true
	sim.submit(specialJob("later", 6, 3000))
	sim.run(3 * time.Second)
	is.Equal(sim.state("before"), fleet.JobStateCompleted)
	is.True(special.ended <= 5) // that of before, those that led to the ejection, and the trial
}

// Guards against a gang that never starts because its members would be the first tasks on an endpoint after an ejection.
func TestGangRunsOnEndpointOnProbation(t *testing.T) {
	is := is.New(t)
	sim, special := newSpecialSimulation()
	sim.run(time.Second)
	sim.ejectSpecial(is, special)
	gang := batchJob("gang", 4, 4000)
	gang.Steps[0].RequiredLabel, gang.Steps[0].Gang = specialLabel, true
	sim.submit(gang)
	sim.run(10 * time.Second)
	is.Equal(sim.state("gang"), fleet.JobStateCompleted)
}

// Guards against a task on probation that comes to work on no endpoint and holds up all others: a lasting task that
// stands still has no end.
func TestStandingTrialDoesNotHoldUpOthers(t *testing.T) {
	is := is.New(t)
	sim, special := newSpecialSimulation()
	sim.run(time.Second)
	sim.ejectSpecial(is, special)
	special.stall = true
	lasting := lastingJob("lasting", 1, 0, 1)
	lasting.Steps[0].RequiredLabel = specialLabel
	sim.submit(lasting)
	sim.run(4 * time.Second)
	special.stall = false
	later := batchJob("later", 1, 4000)
	later.Steps[0].RequiredLabel = specialLabel
	sim.submit(later)
	sim.run(20 * time.Second)
	is.Equal(sim.state("later"), fleet.JobStateCompleted)
}

// Guards against more than one task at a time on an endpoint that has not shown that it is sound again.
func TestEndpointOnProbationGetsOneTask(t *testing.T) {
	is := is.New(t)
	sim, special := newSpecialSimulation()
	sim.duration = func(fleet.TaskID) time.Duration { return 3 * time.Second }
	lasting := lastingJob("lasting", 1, 0, 1)
	lasting.Steps[0].RequiredLabel = specialLabel
	sim.submit(lasting)
	sim.run(2 * time.Second)
	sim.ejectSpecial(is, special)
	later := batchJob("later", 6, 4000)
	later.Steps[0].RequiredLabel = specialLabel
	sim.submit(later)
	most := 0
	for range 400 {
		sim.step()
		most = max(most, len(special.running))
	}
	is.Equal(most, 2) // the lasting task and one more
}

// Guards against a lasting task that waits for the end of a long task on trial, or has it stopped and still does not
// start because another task runs there.
func TestLastingTaskPreemptsTrial(t *testing.T) {
	is := is.New(t)
	sim, special := newSpecialSimulation()
	sim.duration = func(fleet.TaskID) time.Duration { return time.Minute }
	first := lastingJob("first", 1, 0, 1)
	first.Steps[0].RequiredLabel = specialLabel
	sim.submit(first)
	sim.run(2 * time.Second)
	sim.ejectSpecial(is, special)
	sim.run(2 * time.Second)
	trial := batchJob("trial", 1, 30000)
	trial.Steps[0].RequiredLabel = specialLabel
	sim.submit(trial)
	sim.run(time.Second)
	is.Equal(len(special.running), 2)
	second := lastingJob("second", 1, 0, 1)
	second.Steps[0].RequiredLabel = specialLabel
	sim.submit(second)
	sim.run(2 * time.Second)
	is.Equal(sim.available("first"), 1)
	is.Equal(sim.available("second"), 1)
}

// Guards against an endpoint that gets no task any more after it has rejected a start for lack of room: the flag was
// cleared when one of its runs ended, and it has none.
func TestFullEndpointIsTriedAgain(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1, worker64)
	e := sim.endpoints["endpoint-00"]
	sim.run(time.Second)
	e.running[fleet.TaskID{Job: "foreign"}] = &fakeRun{run: 1, began: sim.now, duration: time.Second, demand: worker64}
	sim.submit(batchJob("job", 1, 4000))
	sim.run(10 * time.Second)
	is.Equal(sim.state("job"), fleet.JobStateCompleted)
}
