package shard_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against starts on endpoints without the label that they need, whatever the order of restarts, takeovers, loads
// and lagging rows of the registry.
func TestLabelsHoldOverRandomRestarts(t *testing.T) {
	for seed := range uint64(30) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 7))
		sim := newSimulation(seed, 8, worker64)
		sim.loseAnswerShare = 0.02
		label := func() []fleet.Label { return []fleet.Label{[]fleet.Label{specialLabel, "other"}[random.IntN(2)]} }
		for _, e := range sim.sorted() {
			e.Labels = label()
		}
		sim.list()
		for n := range 40 {
			j := batchJob(fleet.JobID(fmt.Sprintf("job-%02d", n)), 1+random.IntN(4), 6000)
			if random.IntN(3) > 0 {
				j.Steps[0].RequiredLabel = specialLabel
			}
			sim.submit(j)
			for _, e := range sim.sorted() {
				if random.IntN(8) == 0 {
					sim.restart(e)
					e.Labels = label()
				}
			}
			if random.IntN(10) == 0 {
				sim.takeOverAndLoad(2*time.Second, time.Duration(random.IntN(3))*time.Second)
			}
			sim.run(time.Duration(100+random.IntN(900)) * time.Millisecond)
		}
		sim.loseAnswerShare = 0
		sim.endpoints["endpoint-00"].Labels = []fleet.Label{specialLabel}
		sim.list()
		sim.run(40 * time.Second)
		is.Equal(sim.violations, nil)
		for _, j := range sim.jobs {
			is.Equal(sim.state(j.ID), fleet.JobStateCompleted)
		}
	}
}
