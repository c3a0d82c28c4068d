package shard_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against an explanation that changes what the holder does, and against one that the next placement contradicts.
func TestExplainedPlaceIsTakenAndChangesNothing(t *testing.T) {
	play := func(explains bool) (starts []string, wrong int) {
		sim := newSimulation(5, 12, worker64)
		sim.farFactor = 3
		sim.takeOver(shard.Inheritance{})
		sim.intercept = func(o shard.Order) bool {
			if o.Kind == shard.OrderStart {
				starts = append(starts, fmt.Sprintf("%v %s run %d on %s", sim.now, o.Task, o.Run, o.Process.Endpoint))
			}
			return false
		}
		random := rand.New(rand.NewPCG(5, 1))
		for n := range 80 {
			j := batchJob(fleet.JobID(fmt.Sprintf("job-%02d", n)), 1+random.IntN(6), fleet.Millicores(3000+random.IntN(40000)))
			j.Steps[0].DataRack = []fleet.RackID{"", "rack-0", "rack-1"}[random.IntN(3)]
			j.Steps[0].SameRack = random.IntN(4) == 0
			var p shard.Placement
			if explains {
				p = sim.engine.Place(sim.now, j)
				sim.engine.Backlog(sim.now, "")
			}
			sim.submit(j)
			sim.run(fakeTick)
			if explains {
				if again := sim.engine.Place(sim.now, j); (again.Verdict == shard.VerdictNothingWaits) != (p.Verdict == shard.VerdictStarts) && p.Ahead == 0 && j.Steps[0].Tasks == 1 {
					wrong++
				}
			}
			sim.run(time.Duration(20+random.IntN(300)) * time.Millisecond)
		}
		sim.run(20 * time.Second)
		return starts, wrong
	}
	is := is.New(t)
	plain, _ := play(false)
	explained, wrong := play(true)
	is.Equal(plain, explained)
	is.Equal(wrong, 0)
}

// Guards against an explanation that names no reason, or another one than that for which an endpoint gets no task.
func TestPlacementNamesReasons(t *testing.T) {
	is := is.New(t)
	sim, special := newSpecialSimulation()
	sim.run(time.Second)
	sim.submit(batchJob("large", 1, 60000))
	sim.run(100 * time.Millisecond)
	sim.endpoints["endpoint-01"].Draining = true
	sim.list()
	sim.endpoints["endpoint-02"].unreachable = true
	sim.run(3 * time.Second)
	sim.submit(batchJob("second", 1, 60000))
	sim.run(100 * time.Millisecond)
	reasons := func(j *fleet.Job) (shard.Placement, map[fleet.EndpointID]shard.PassReason) {
		p, list := sim.engine.Place(sim.now, j), map[fleet.EndpointID]shard.PassReason{}
		for _, c := range p.Candidates {
			list[c.Endpoint] = c.PassedOver
		}
		return p, list
	}
	p, list := reasons(specialJob("job", 1, 30000))
	is.Equal(p.Verdict, shard.VerdictStarts)
	is.Equal(p.Endpoint, special.Endpoint)
	is.Equal(list["endpoint-00"], shard.PassRoom)
	is.Equal(list["endpoint-01"], shard.PassDraining)
	is.Equal(list["endpoint-02"], shard.PassSilent)
	_, list = reasons(specialJob("job", 1, 1000))
	is.Equal(list["endpoint-00"], shard.PassLabel)
	p, _ = reasons(batchJob("large", 1, 60000))
	is.Equal(p.Verdict, shard.VerdictNothingWaits)
	is.True(p.Known)
	p, _ = reasons(batchJob("none", 1, 65000))
	is.Equal(p.Verdict, shard.VerdictNoRoom)
}
