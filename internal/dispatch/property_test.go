package dispatch_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

var schedules = flag.Int("schedules", 200, "random schedules of the property test")

// randomFault decides the result of an attempt that does not run normally. Most attempts run.
func (f *fleetLoop) randomFault(random *rand.Rand, id fleet.EndpointID) (request.Result, bool) {
	switch random.IntN(12) {
	case 0:
		return request.Result{Kind: request.ResultNotRun, Refusal: request.RefusalUnreachable}, true
	case 1:
		return request.Result{Kind: request.ResultNotRun, Refusal: request.RefusalBusy}, true
	case 2:
		return request.Result{Kind: request.ResultLost, Reason: request.ReasonConnectionLost}, true
	case 3:
		return request.Result{Kind: request.ResultFailed, Blame: request.BlameEndpoint}, true
	case 4:
		if f.leaving[id].IsZero() && random.IntN(4) == 0 {
			f.leaving[id] = f.now
			// The entry that learns of it reports it to its peers.
			f.after(reportEvery, func() {
				for _, e := range f.engines {
					e.Reported(f.now, id, request.Load{Leaving: true})
				}
			})
			return request.Result{Kind: request.ResultNotRun, Refusal: request.RefusalLeaving}, true
		}
	}
	return request.Result{}, false
}

// Guards against violations of the guarantees under faults: more or less than one outcome for a request,
// a not-run that ran (P4), a second run of what must not be repeated (P5), work on a leaving endpoint
// (P6), attempts beyond the bound, and requests that never end.
func TestGuaranteesHoldOverRandomSchedules(t *testing.T) {
	for seed := range *schedules {
		if problem := runSchedule(uint64(seed)); problem != "" {
			is.New(t).Equal(fmt.Sprintf("seed %d: %s", seed, problem), "")
		}
	}
}

func runSchedule(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 0))
	d := deployment{latency: time.Millisecond, endpoints: 4, seed: seed, mixed: true}
	v, means := d.configuration(random)
	for _, s := range v.Configuration.Services {
		for name, rule := range s.RequestTypes {
			rule.Repeatable = name[len(name)-1]%3 != 0
			s.RequestTypes[name] = rule
		}
	}
	f := newFleetLoop(d, v, 1+random.IntN(3))
	f.fault = func(id fleet.EndpointID) (request.Result, bool) { return f.randomFault(random, id) }
	for n := range 120 {
		at := time.Duration(random.IntN(300)) * time.Millisecond
		j := d.job(random, means, 0, random.IntN(6), at, n+1)
		j.request.Deadline = j.at.Add(time.Duration(random.IntN(20_000)) * time.Millisecond)
		j.request.Group = fleet.RequestGroup(fmt.Sprint(random.IntN(10)))
		e := f.engines[random.IntN(len(f.engines))]
		j.request.Ticket = e.IssueTickets(epoch, j.request.Account, 1)[0]
		f.submit(e, j)
		if n%20 == 0 {
			f.after(at+time.Duration(random.IntN(500))*time.Millisecond, func() {
				e.Cancel(j.request.Account, nil, j.request.Group)
				f.execute(e)
			})
		}
	}
	f.run(epoch.Add(horizon))
	return f.violation(v)
}

// violation returns the first guarantee that a run broke, or "".
func (f *fleetLoop) violation(v *fleet.View) string {
	for _, j := range f.jobs {
		rule := v.Configuration.Services[j.request.Service].RequestTypes[j.request.Type]
		switch {
		case j.outcomes != 1:
			return fmt.Sprintf("request %s has %d outcomes", j.request.ID, j.outcomes)
		case j.outcome.Kind == request.OutcomeNotRun && j.runs > 0:
			return fmt.Sprintf("request %s ran and was reported as not-run: %s", j.request.ID, j.outcome.Reason)
		case !rule.Repeatable && j.runs > 1:
			return fmt.Sprintf("request %s ran %d times", j.request.ID, j.runs)
		case j.attempts > 3:
			return fmt.Sprintf("request %s was sent %d times", j.request.ID, j.attempts)
		}
	}
	if f.lateAttempts > 0 {
		return fmt.Sprintf("%d attempts at an endpoint 3 s after it began to leave", f.lateAttempts)
	}
	for _, e := range f.engines {
		if e.InFlight() > 0 {
			return fmt.Sprintf("%d requests never ended", e.InFlight())
		}
	}
	return ""
}
