package holder_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/logging"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// BenchmarkObservedTask measures what the observer of a holder takes for a task at a peak: its assignment, its end, and a
// part of the end of its job.
func BenchmarkObservedTask(b *testing.B) {
	const tasksPerJob = 13
	log, err := logging.NewRateLimited(logging.NewWriter(io.Discard, clock.Real()), logging.Level("info"))
	if err != nil {
		b.Fatal(err)
	}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Reporter: tally.NullStatsReporter}, time.Second)
	defer func() { _ = closer.Close() }()
	o := holder.NewObserver(log, scope, "service", 7)
	at := fleet.EndpointProcess{Endpoint: "edge-becancour-est-1-endpoint-001", StartMillis: 1}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		id := fleet.TaskID{Job: fleet.JobID(fmt.Sprintf("%016x", n/tasksPerJob)), Task: fleet.TaskIndex(n % tasksPerJob)}
		o.Assigned(id, 1, at, time.Second)
		o.RunEnded(id, 1, at, fleet.RunEndDone, time.Second)
		if n++; n%tasksPerJob == 0 {
			o.JobEnded(id.Job, fleet.JobStateCompleted, time.Second)
		}
	}
}
