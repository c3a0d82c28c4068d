package holder_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/logging"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against losses in large numbers that flood the log, and against counters that leave out what the
// log leaves out.
func TestLossesUnderLoadAreBoundedAndCounted(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := logging.NewWriter(&out, clock.Real())
	log, err := logging.NewRateLimited(w, logging.Level("info"))
	is.NoErr(err)
	scope := tally.NewTestScope("", nil)
	o := holder.NewObserver(log, scope, "service", 7)
	const losses = 20000
	for i := range losses {
		o.RunLost(shard.Loss{
			Task: fleet.TaskID{Job: "job", Task: fleet.TaskIndex(i)}, Run: 1, Reason: shard.LossRestarted, Evidence: shard.EvidenceAnswer,
			Assigned: fleet.EndpointProcess{Endpoint: "e-1", StartMillis: 1}, Process: fleet.EndpointProcess{Endpoint: "e-1", StartMillis: 2},
		})
	}
	w.Flush()
	is.True(strings.Count(out.String(), "\n") < losses/2)
	is.True(strings.Contains(out.String(), `"started-ms":2`))
	is.True(strings.Contains(out.String(), `"assigned-started-ms":1`))
	is.Equal(scope.Snapshot().Counters()["job_runs_given_up+reason=restarted,service=service"].Value(), int64(losses))
}
