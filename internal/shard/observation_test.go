package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// executing returns the endpoint that executes a task, or nil.
func (sim *simulation) executing(id fleet.TaskID) *fakeEndpoint {
	for _, e := range sim.sorted() {
		if !e.dead && e.running[id] != nil {
			return e
		}
	}
	return nil
}

// Guards against a run that is given up without a reason, the evidence of its start or the age of both.
func TestLossNamesReasonAndEvidence(t *testing.T) {
	task := fleet.TaskID{Job: "job"}
	for _, c := range []struct {
		name     string
		fault    func(*simulation, *fakeEndpoint)
		reason   shard.LossReason
		evidence shard.Evidence
		check    func(is *is.I, l shard.Loss)
	}{
		{
			"the lease expired", func(_ *simulation, e *fakeEndpoint) { e.unreachable = true }, shard.LossLeaseExpired, shard.EvidenceList,
			func(is *is.I, l shard.Loss) {
				is.True(l.LeaseLeft <= 0)
				is.True(l.SinceAnswer >= shard.HoldWait)
			},
		},
		{
			"the endpoint restarted", func(sim *simulation, e *fakeEndpoint) { sim.restart(e); sim.list() }, shard.LossRestarted, shard.EvidenceList,
			func(is *is.I, l shard.Loss) { is.True(l.LeaseLeft > 0) },
		},
		{
			"the list lacks the run", func(_ *simulation, e *fakeEndpoint) { delete(e.running, task) }, shard.LossNotListed, shard.EvidenceList,
			func(is *is.I, l shard.Loss) { is.True(l.ListClock > l.StartedClock) },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1, 2, worker64)
			sim.duration = func(fleet.TaskID) time.Duration { return 30 * time.Second }
			sim.submit(batchJob("job", 1, 1000))
			sim.run(3 * time.Second)
			e := sim.executing(task)
			is.True(e != nil)
			process := e.Process()
			c.fault(sim, e)
			sim.run(8 * time.Second)
			is.Equal(len(sim.observer.losses), 1)
			l := sim.observer.losses[0]
			is.Equal(l.Task, task)
			is.Equal(l.Run, fleet.RunNumber(1))
			is.Equal(l.Assigned, process)
			is.Equal(l.Reason, c.reason)
			is.Equal(l.Evidence, c.evidence)
			is.True(l.EvidenceAge > 0)
			c.check(is, l)
		})
	}
}

// Guards against a restart that is reported more than once or without its source.
func TestRestartIsObservedOnce(t *testing.T) {
	for _, c := range []struct {
		name          string
		registryDelay time.Duration
	}{
		{"the registry shows it first", 0},
		{"an answer shows it first", 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1, 1, worker64)
			sim.run(2 * time.Second)
			e := sim.sorted()[0]
			before := e.StartMillis
			sim.restartWith(e, lowClock, c.registryDelay)
			sim.run(8 * time.Second)
			is.Equal(len(sim.observer.restarts), 1)
			r := sim.observer.restarts[0]
			is.Equal(r.Process, e.Process())
			is.Equal(r.PreviousStartMillis, before)
		})
	}
}

// Guards against a run without an assignment that is stopped silently, and against a report for each list
// of many such runs.
func TestForeignRunsAreObservedOnce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2, worker64)
	sim.duration = func(fleet.TaskID) time.Duration { return 30 * time.Second }
	sim.submit(batchJob("job", 1, 1000))
	sim.run(3 * time.Second)
	task := fleet.TaskID{Job: "job"}
	current := sim.executing(task)
	is.True(current != nil)
	var other *fakeEndpoint
	for _, e := range sim.sorted() {
		if e != current {
			other = e
		}
	}
	other.running[task] = &fakeRun{run: 1, began: sim.now, duration: time.Minute}
	const unknown = 300
	for i := range unknown {
		other.running[fleet.TaskID{Job: "unknown", Task: fleet.TaskIndex(i)}] = &fakeRun{run: 2, began: sim.now, duration: time.Minute}
	}
	sim.run(8 * time.Second) // several lists; one run a tenth of a second is stopped
	is.Equal(len(sim.observer.foreign), unknown+1)
	found := 0
	for _, f := range sim.observer.foreign {
		is.Equal(f.Process, other.Process())
		if f.Task != task {
			is.Equal(f.Current, fleet.EndpointProcess{}) // no current run
			continue
		}
		found++
		is.Equal(f.CurrentRun, fleet.RunNumber(1))
		is.Equal(f.Current, current.Process())
		is.Equal(f.Evidence, shard.EvidenceList)
	}
	is.Equal(found, 1)
}

// Guards against a process that answers in place of another one and is not noticed, because answers to
// starts and stops do not name the process.
func TestClockOfAnotherProcessIsObservedOnce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1, worker64)
	sim.run(20 * time.Second)
	is.Equal(len(sim.observer.steps), 0)
	e := sim.sorted()[0]
	e.began = sim.now // another clock under the same start time
	sim.run(8 * time.Second)
	is.Equal(len(sim.observer.steps), 1)
	s := sim.observer.steps[0]
	is.Equal(s.Process, e.Process())
	is.True(s.Clock < s.Earliest)
}

// Guards against a report for each renewal that an unreachable endpoint does not answer.
func TestUnansweredRenewalsAreObservedOnce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1, worker64)
	sim.run(2 * time.Second)
	for outage := 1; outage <= 2; outage++ {
		sim.sorted()[0].unreachable = true
		sim.run(8 * time.Second)
		is.Equal(len(sim.observer.rejected), outage)
		is.Equal(sim.observer.rejected[outage-1].Kind, shard.OrderHold)
		sim.sorted()[0].unreachable = false
		sim.run(3 * time.Second)
	}
}

// Guards against a takeover that does not show how many runs the new holder has to wait for.
func TestInheritedRunsAreCounted(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 2, worker64)
	sim.duration = func(fleet.TaskID) time.Duration { return 30 * time.Second }
	sim.submit(batchJob("job", 3, 1000))
	sim.run(3 * time.Second)
	is.Equal(sim.engine.InheritedRuns(), 0)
	sim.takeOver(shard.Inheritance{End: sim.now.Add(5 * time.Second)})
	is.Equal(sim.engine.InheritedRuns(), 3)
}
