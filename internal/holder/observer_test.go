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

// manyEvents exceeds what the log admits of one part in the time of a test.
const manyEvents = 20000

// newObserver returns an observer with its scope, and a function that returns its log.
func newObserver(t *testing.T) (*holder.Observer, tally.TestScope, func() string) {
	t.Helper()
	var out bytes.Buffer
	w := logging.NewWriter(&out, clock.Real())
	log, err := logging.NewRateLimited(w, logging.Level("info"))
	is.New(t).NoErr(err)
	scope := tally.NewTestScope("", nil)
	return holder.NewObserver(log, scope, "service", 7), scope, func() string { w.Flush(); return out.String() }
}

// Guards against losses in large numbers that flood the log, and against counters that leave out what the
// log leaves out.
func TestLossesUnderLoadAreBoundedAndCounted(t *testing.T) {
	is := is.New(t)
	o, scope, log := newObserver(t)
	for i := range manyEvents {
		o.RunLost(shard.Loss{
			Task: fleet.TaskID{Job: "job", Task: fleet.TaskIndex(i)}, Run: 1, Reason: shard.LossRestarted, Evidence: shard.EvidenceAnswer,
			Assigned: fleet.EndpointProcess{Endpoint: "e-1", StartMillis: 1}, Process: fleet.EndpointProcess{Endpoint: "e-1", StartMillis: 2},
		})
	}
	text := log()
	is.True(strings.Count(text, "\n") < manyEvents/2)
	is.True(strings.Contains(text, `"started-ms":2`))
	is.True(strings.Contains(text, `"assigned-started-ms":1`))
	is.Equal(scope.Snapshot().Counters()["job_runs_given_up+reason=restarted,service=service"].Value(), int64(manyEvents))
}

// Guards against assignments in large numbers that crowd a foreign run out of the log.
func TestForeignRunIsLoggedUnderLoad(t *testing.T) {
	is := is.New(t)
	o, _, log := newObserver(t)
	for i := range manyEvents {
		o.Assigned(fleet.TaskID{Job: "job", Task: fleet.TaskIndex(i)}, 1, fleet.EndpointProcess{Endpoint: "e-1", StartMillis: 2}, 0)
	}
	o.ForeignListed(shard.ForeignRun{Task: fleet.TaskID{Job: "job"}, Run: 1, Process: fleet.EndpointProcess{Endpoint: "e-2"}, Evidence: shard.EvidenceList})
	text := log()
	is.True(strings.Count(text, "\n") < manyEvents/2)
	is.Equal(strings.Count(text, "lease: foreign run listed"), 1)
}
