package jobpeer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/nearness"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a part of an explanation that is lost between the holder and the entry that was asked.
func TestPlacementSurvivesEncoding(t *testing.T) {
	p := shard.Placement{
		Verdict: shard.VerdictWaitsNear, Known: true, Task: fleet.TaskID{Job: "job", Occurrence: 2, Step: 1, Task: 7}, Account: "account", Running: 4000,
		Rank: job.Rank{Priority: 1, Late: true, Due: time.Unix(100, 5).UTC()}, Ahead: 3, Endpoint: "i-1", Rack: "r-1",
		Near:       nearness.Answer{Reason: nearness.ReasonPays, Expected: time.Second, Costs: 2 * time.Second, Saves: 3 * time.Second},
		Candidates: []shard.PlaceCandidate{{Endpoint: "i-1", Rack: "r-1", Score: 8.5}, {Endpoint: "i-2", Rack: "r-2", PassedOver: shard.PassLabel}},
	}
	is.New(t).Equal(fromPlacement(placement(p)), p)
}
