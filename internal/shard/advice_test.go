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

// answerAdvice plays the advice service: only the given endpoint may run steps.
func (w *fakeWorld) answerAdvice(good fleet.EndpointID) {
	for _, r := range w.engine.AdviceRequests() {
		w.adviceCount++
		w.advicePending = append(w.advicePending, pendingAdvice{w.now.Add(adviceTime), r})
	}
	var rest []pendingAdvice
	for _, p := range w.advicePending {
		if w.now.Before(p.at) {
			rest = append(rest, p)
			continue
		}
		w.engine.TakeAdvice(w.now, shard.Advice{
			Request: p.request, Tickets: map[fleet.EndpointID]shard.Ticket{good: "ticket"}, ValidUntil: w.now.Add(ticketLife - adviceTime),
		})
	}
	w.advicePending = rest
}

// Guards against starts on endpoints that the advice service does not allow, against tickets used after
// their end, and against a request for every task instead of one for a step.
func TestAdvisedStepsRunWithTickets(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 4, worker64)
	w.policy.Advised = true
	w.engine.SetPolicies([]job.Policy{w.policy})
	w.play(500 * time.Millisecond)
	w.submit(&fleet.Job{ID: "advised", Steps: []fleet.Step{
		{Tasks: 4, Demand: fleet.Capacity{Millicores: 20000, Memory: 100}}, // two rounds on the one good endpoint
		{Tasks: 2, Demand: fleet.Capacity{Millicores: 1000, Memory: 100}, After: []fleet.StepIndex{0}},
	}})
	for range 600 {
		w.step()
		w.answerAdvice("endpoint-01")
	}
	is.Equal(w.state("advised"), fleet.JobStateCompleted)
	is.True(w.adviceCount <= 6) // two steps, renewed while they wait
	for id, e := range w.endpoints {
		is.True(id == "endpoint-01" || e.ended == 0)
	}
	is.Equal(len(w.violations), 0)
}
