package shard_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	ticketLife = 2 * time.Second
	adviceTime = 100 * time.Millisecond
)

// serveAdvice simulates the advice service: only the given endpoints may run steps.
func (sim *simulation) serveAdvice(good ...fleet.EndpointID) {
	for _, r := range sim.engine.AdviceRequests() {
		sim.adviceCount++
		sim.advicePending = append(sim.advicePending, pendingAdvice{sim.now.Add(adviceTime), r})
	}
	var rest []pendingAdvice
	for _, p := range sim.advicePending {
		if sim.now.Before(p.at) {
			rest = append(rest, p)
			continue
		}
		answer := shard.Advice{Request: p.request, Tickets: map[fleet.EndpointID]shard.Ticket{}, ValidUntil: sim.now.Add(ticketLife - adviceTime)}
		for _, id := range good {
			if slices.Contains(p.request.Endpoints, id) {
				answer.Tickets[id] = "ticket"
			}
		}
		sim.engine.ApplyAdvice(sim.now, answer)
	}
	sim.advicePending = rest
}

// Guards against starts on endpoints without a ticket, against the use of expired tickets, and against a
// request for every task instead of one for a step.
func TestStepsRunWithTickets(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 4, worker64)
	sim.policy.NeedsTickets = true
	sim.engine.SetPolicies([]job.Policy{sim.policy})
	sim.run(500 * time.Millisecond)
	sim.submit(&fleet.Job{ID: "advised", Steps: []fleet.Step{
		{Tasks: 4, Demand: fleet.Capacity{Millicores: 20000, Memory: 100}}, // two rounds on the one good endpoint
		{Tasks: 2, Demand: fleet.Capacity{Millicores: 1000, Memory: 100}, After: []fleet.StepIndex{0}},
	}})
	for range 600 {
		sim.step()
		sim.serveAdvice("endpoint-01")
	}
	is.Equal(sim.state("advised"), fleet.JobStateCompleted)
	is.True(sim.adviceCount <= 6) // two steps, renewed while they wait
	for id, e := range sim.endpoints {
		is.True(id == "endpoint-01" || e.ended == 0)
	}
	is.Equal(len(sim.violations), 0)
}

// Guards against jobs that never start because the endpoints that may run them are not among the first that the advice
// service is asked about, or because those that have a ticket are gone or full.
func TestAdviceIsAskedAboutAllEndpoints(t *testing.T) {
	last := fleet.EndpointID("endpoint-65")
	for _, c := range []struct {
		name    string
		prepare func(*simulation)
	}{
		{"only the last one may run it", func(*simulation) {}},
		{"the first one is lost after its ticket", func(sim *simulation) {
			sim.submit(batchJob("before", 1, 4000))
			sim.runAdvised(400*time.Millisecond, "endpoint-00", last)
			e := sim.endpoints["endpoint-00"]
			e.dead, e.goneAt = true, sim.now.Add(time.Second)
		}},
		{"the first one is full", func(sim *simulation) {
			lasting := lastingJob("lasting", 12, 0, 1)
			sim.submit(lasting)
			sim.runAdvised(2*time.Second, "endpoint-00")
			is.New(t).Equal(len(sim.endpoints["endpoint-00"].running), 12)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1, 66, worker64)
			sim.policy.NeedsTickets = true
			sim.engine.SetPolicies([]job.Policy{sim.policy})
			sim.runAdvised(500*time.Millisecond, "endpoint-00", last)
			c.prepare(sim)
			sim.submit(batchJob("job", 2, 8000))
			before := sim.adviceCount
			sim.runAdvised(6*time.Second, last)
			is.Equal(sim.state("job"), fleet.JobStateCompleted)
			is.True(sim.adviceCount-before <= 10) // each is charged
		})
	}
}

// runAdvised advances the simulation while the advice service allows the given endpoints.
func (sim *simulation) runAdvised(d time.Duration, good ...fleet.EndpointID) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.step()
		sim.serveAdvice(good...)
	}
}
