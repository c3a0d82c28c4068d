package shard_test

import (
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

// serveAdvice simulates the advice service: only the given endpoint may run steps.
func (sim *simulation) serveAdvice(good fleet.EndpointID) {
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
		sim.engine.ApplyAdvice(sim.now, shard.Advice{
			Request: p.request, Tickets: map[fleet.EndpointID]shard.Ticket{good: "ticket"}, ValidUntil: sim.now.Add(ticketLife - adviceTime),
		})
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
