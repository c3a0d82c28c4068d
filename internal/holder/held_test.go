package holder

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a new holder that counts other jobs as beyond their account's weight than the one before did.
func TestJobsBeyondWeightAreTheSameAfterTakeover(t *testing.T) {
	is := is.New(t)
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	h := &heldDuty{jobs: map[fleet.JobID]*fleet.Job{}}
	for n := range 40 { // a weight of 2 lets 20 jobs through in ten seconds
		j := &fleet.Job{ID: fleet.JobID(fmt.Sprintf("job-%02d", n)), Account: "account", AcceptedAt: began.Add(time.Duration(n) * 100 * time.Millisecond)}
		j.Steps = []fleet.Step{{Tasks: 1, Demand: fleet.Capacity{Millicores: 1}, Estimate: time.Second}}
		h.jobs[j.ID] = j
	}
	h.engine = shard.NewEngine("service", 1, shard.Bounds{}, nil, shard.Inheritance{}, began.Add(time.Minute))
	h.engine.SetWeights(map[fleet.ClientAccountID]fleet.Weight{"account": 2})
	h.acceptAll()
	for _, j := range h.jobs {
		is.Equal(h.engine.Place(began.Add(5*time.Second), j).Rank.Excess, j.ID >= "job-20")
	}
}
