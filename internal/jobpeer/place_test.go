package jobpeer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/nearness"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
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

// Guards against a part of a backlog that is lost between the holder and the entry that was asked.
func TestBacklogSurvivesEncoding(t *testing.T) {
	is := is.New(t)
	b := shard.Backlog{
		Running: 3, Used: fleet.Capacity{Millicores: 3000, Memory: 12, Accelerators: 1}, Waiting: 9, Wanted: fleet.Capacity{Millicores: 9000}, Late: 2, Excess: 4, PutBack: 1,
		Next: fleet.TaskID{Job: "job", Occurrence: 2, Step: 1, Task: 7}, Verdict: shard.VerdictAllowance, Endpoints: 5, Capacity: fleet.Capacity{Millicores: 64000},
		IsLimited: true, IsBlocked: true, Allowed: fleet.Capacity{Memory: 8},
	}
	for _, b := range []shard.Backlog{b, {Verdict: shard.VerdictNothingWaits}, {IsLimited: true}} {
		m := &jobv1.Backlog{}
		fillBacklog(m, b)
		is.Equal(fromBacklog(m), b)
	}
}
