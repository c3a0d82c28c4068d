package shard_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

var (
	restartSchedules = flag.Int("restart-schedules", 10, "how many random schedules of restarts are run with each fault")
	restartFirst     = flag.Uint64("restart-first", 0, "first seed of the random schedules of restarts")
	traceOrders      = flag.Bool("trace-orders", false, "print the orders that endpoints execute, their answers and the events")
)

// restartTime is how long faults are injected, restartFinish how long the jobs may take afterwards: a run without an
// answer may be executed for as long as orders are late and the longest lease lasts, and a job has up to three steps.
const (
	restartTime   = 25 * time.Second
	restartFinish = 150 * time.Second
)

// restartFaults are the faults of calls that are injected beside restarts and cuts, each alone and all together.
var restartFaults = []struct {
	name   string
	faults networkFaults
	// newIDs is set where a process that ends is followed by one with another id only.
	newIDs bool
}{
	{"restarts and cuts", networkFaults{}, false},
	{"late starts and stops", networkFaults{delayShare: 0.15}, false},
	{"late renewals", networkFaults{delayHoldShare: 0.15}, false},
	{"lost answers", networkFaults{loseAnswerShare: 0.1}, false},
	{"overtaking answers", networkFaults{overtakeShare: 0.3}, false},
	{"all faults", networkFaults{delayShare: 0.1, delayHoldShare: 0.1, loseAnswerShare: 0.05, overtakeShare: 0.2}, false},
	{"all faults and new ids", networkFaults{delayShare: 0.1, delayHoldShare: 0.1, loseAnswerShare: 0.05, overtakeShare: 0.2, reachesUnseen: true}, true},
}

// The invariants hold while endpoints restart, are cut off and return, with tasks that outlast every lease.
func TestInvariantsHoldOverRestarts(t *testing.T) {
	for _, c := range restartFaults {
		t.Run(c.name, func(t *testing.T) {
			for n := range uint64(*restartSchedules) {
				seed := *restartFirst + n
				if violations := runRestartSchedule(t, seed, c.faults, c.newIDs); len(violations) > 0 {
					t.Errorf("seed %d: %d violations, first: %s", seed, len(violations), violations[0])
				}
			}
		})
	}
}

// runRestartSchedule runs one random schedule in which most events concern two endpoints, and returns the violations.
func runRestartSchedule(t *testing.T, seed uint64, faults networkFaults, newIDs bool) []string {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 5))
	sim := newSimulation(seed, 4+r.IntN(3), fleet.Capacity{Millicores: 16000, Memory: 64000})
	sim.networkFaults = faults
	if *traceOrders {
		sim.trace = func(line string) { t.Log(line) }
	}
	sim.duration = func(id fleet.TaskID) time.Duration {
		base := time.Duration(200+(len(id.String())*int(id.Task+7)*131)%1800) * time.Millisecond
		if id.Task%2 == 1 {
			return 6 * base // up to 12 s, longer than the longest lease
		}
		return base
	}
	for end := sim.now.Add(restartTime); sim.now.Before(end); {
		sim.restartEvent(r, newIDs)
		sim.run(time.Duration(50+r.IntN(400)) * time.Millisecond)
	}
	sim.clearFaults()
	for end := sim.now.Add(restartFinish); sim.now.Before(end) && !sim.allEnded(); {
		sim.run(time.Second)
	}
	sim.run(maxOrderDelay)
	sim.checkJobs()
	return sim.violations
}

// restartEvent applies one random event.
func (sim *simulation) restartEvent(r *rand.Rand, newIDs bool) {
	endpoints := sim.sorted()
	endpoints = slices.DeleteFunc(endpoints, func(e *fakeEndpoint) bool { return e.dead && e.backAt.IsZero() })
	e := endpoints[r.IntN(2)]
	if r.IntN(5) == 0 {
		e = endpoints[r.IntN(len(endpoints))]
	}
	kind := r.IntN(15)
	if newIDs && kind >= 3 && kind <= 6 { // restarts under the same id
		kind = 8 + kind%3 // 8 to 10
	}
	sim.tracef("event %d at %s", kind, e.Endpoint)
	switch kind {
	case 0, 1, 2:
		sim.submit(randomJob(r, fleet.JobID(fmt.Sprintf("job-%d", len(sim.jobs)))))
	case 3:
		if !e.dead {
			sim.restart(e)
		}
	case 4: // restarts and is cut off before or after its first answer
		if !e.dead {
			sim.restart(e)
			sim.run(time.Duration(r.IntN(400)) * time.Millisecond)
			e.unreachable = true
		}
	case 5: // crashes behind a cut and starts again
		if !e.dead {
			e.unreachable = true
			sim.crash(e, time.Duration(r.IntN(4000))*time.Millisecond)
		}
	case 6:
		if !e.dead {
			sim.crash(e, time.Duration(r.IntN(2000))*time.Millisecond)
		}
	case 7, 8, 9:
		e.unreachable, e.mute = false, false
	case 10:
		e.unreachable = true
	case 11:
		e.mute = true
	case 12:
		if r.IntN(4) == 0 {
			sim.takeOver(sim.inheritance())
		}
	case 13:
		if !e.dead {
			sim.replace(e)
		}
	case 14:
		sim.engine.Vacate(sim.now, e.Endpoint, r.IntN(2) == 0)
	}
}

func (sim *simulation) allEnded() bool {
	for _, j := range sim.jobs {
		if !sim.state(j.ID).IsFinal() {
			return false
		}
	}
	return true
}

// traceExecuted traces an order that an endpoint executes.
func (sim *simulation) traceExecuted(e *fakeEndpoint, o shard.Order, answer shard.Answer, isLate bool) {
	if sim.trace == nil {
		return
	}
	late := ""
	if isLate {
		late = " late"
	}
	sim.tracef("%s start %d%s %s %s run %d for start %d, ack %d, deadline %v: %s, lease %v, ends %d", e.Endpoint, e.StartMillis, late, o.Kind, o.Task, o.Run,
		o.Process.StartMillis, o.Acknowledged, o.Deadline-e.clock(sim.now), answer, e.deadline-e.clock(sim.now), len(e.ends))
}

func (sim *simulation) tracef(format string, arguments ...any) {
	if sim.trace != nil {
		sim.trace(fmt.Sprintf("%v: ", sim.now.Sub(fakeEpoch)) + fmt.Sprintf(format, arguments...))
	}
}
