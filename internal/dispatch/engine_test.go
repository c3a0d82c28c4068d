package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a wrong outcome of a request whose attempts all end with the same result, and against
// attempts beyond the bound.
func TestOutcomeOfRepeatedResult(t *testing.T) {
	failed := request.Result{Kind: request.ResultFailed, Blame: request.BlameEndpoint}
	lost := request.Result{Kind: request.ResultLost, Reason: request.ReasonConnectionLost}
	busy := request.Result{Kind: request.ResultNotRun, Refusal: request.RefusalBusy}
	cases := []struct {
		name       string
		result     request.Result
		repeatable bool
		// healthy is set when the endpoints have answered other requests.
		healthy  bool
		attempts fleet.Attempt
		kind     request.OutcomeKind
	}{
		{"failing endpoints", failed, true, false, 3, request.OutcomeAnswer},
		{"a request that fails on healthy endpoints", failed, true, true, 2, request.OutcomeAnswer},
		{"a request that healthy endpoints lose", lost, true, true, 2, request.OutcomeAnswer},
		{"lost by endpoints of unknown health", lost, true, false, 3, request.OutcomeUnknown},
		{"not repeatable and lost", lost, false, false, 1, request.OutcomeUnknown},
		{"not repeatable and failed", failed, false, false, 1, request.OutcomeAnswer},
		{"not repeatable and refused", busy, false, false, 3, request.OutcomeNotRun},
		{"blamed on the request", request.Result{Kind: request.ResultFailed, Blame: request.BlameRequest}, true, true, 1, request.OutcomeAnswer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := deployment{endpoints: 5}
			random := rand.New(rand.NewPCG(1, 1))
			v, means := d.configuration(random)
			f := newFleetLoop(d, v, 1)
			e := f.engines[0]
			submit := func(number int) *job {
				j := d.job(random, means, 0, 0, 0, number)
				j.left, j.request.Ticket = time.Millisecond, e.IssueTickets(epoch, j.request.Account, 1)[0]
				f.submit(e, j)
				return j
			}
			if c.healthy {
				for number := range 40 {
					submit(100 + number)
				}
				f.run(epoch.Add(time.Second))
			}
			for name, rule := range v.Configuration.Services["service-0"].RequestTypes {
				rule.Repeatable = c.repeatable
				v.Configuration.Services["service-0"].RequestTypes[name] = rule
			}
			f.fault = func(fleet.EndpointID) (request.Result, bool) { return c.result, true }
			j := submit(1)
			f.run(epoch.Add(8 * time.Second))
			is.Equal(j.outcomes, 1)
			is.Equal(j.attempts, c.attempts)
			is.Equal(j.outcome.Kind, c.kind)
		})
	}
}

// oneEndpoint returns a loop with one engine and one endpoint, and a function that creates its jobs.
func oneEndpoint() (*fleetLoop, func(number int) *job) {
	d := deployment{endpoints: 1}
	random := rand.New(rand.NewPCG(1, 1))
	v, means := d.configuration(random)
	return newFleetLoop(d, v, 1), func(number int) *job { return d.job(random, means, 0, 0, 0, number) }
}

// Guards against a cancellation that leaves queued requests behind or touches another account's.
func TestCancelByGroup(t *testing.T) {
	is := is.New(t)
	f, newJob := oneEndpoint()
	for number := range 30 {
		j := newJob(number)
		j.request.Group, j.request.Account = "week", fleet.ClientAccountID([]string{"account-1", "account-2"}[number%2])
		f.submit(f.engines[0], j)
	}
	f.run(epoch)
	is.Equal(f.engines[0].Cancel("account-1", nil, "week"), dispatch.CancelCount{Dequeued: 11, Stopping: 4})
	is.Equal(f.engines[0].Cancel("account-1", nil, "week"), dispatch.CancelCount{}) // a repetition finds nothing new
	is.Equal(f.engines[0].InFlight(), 19)
}

// Guards against reporting the issuer of a ticket as gone while it is handing the ticket over.
func TestTicketDuringHandOver(t *testing.T) {
	is := is.New(t)
	f, newJob := oneEndpoint()
	e, j := f.engines[0], newJob(1)
	j.request.Ticket = e.IssueTickets(epoch, j.request.Account, 1)[0]
	e.HandOver()
	f.submit(e, j)
	f.run(epoch)
	is.Equal(j.outcome, request.Unknown(request.ReasonHandingOver))
}
