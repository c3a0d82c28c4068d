package holder_test

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

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

// Guards against waits of lasting tasks and steps of starts that are not counted, or not logged as the page says.
func TestWaitsAndStartsAreCounted(t *testing.T) {
	is := is.New(t)
	o, scope, log := newObserver(t)
	wait := shard.LastingWait{
		Task: fleet.TaskID{Job: "job"}, Run: 3, Process: fleet.EndpointProcess{Endpoint: "e-1"}, Reason: shard.WaitInheritedLease,
		Waited: 2 * time.Second, Left: 5 * time.Second, Inherited: true,
	}
	o.LastingWaits(wait)
	o.LastingWaited(shard.WaitInheritedLease, 3, 500*time.Millisecond)
	o.LastingWaited(shard.WaitInheritedLease, 1, 500*time.Millisecond)
	o.LastingResumed(wait)
	o.RenewalMissed()
	o.StartAnswered(shard.StartTimes{Answer: shard.AnswerDone, ToSend: time.Millisecond, ToAnswer: time.Millisecond})
	o.StartAnswered(shard.StartTimes{Answer: shard.AnswerUnsent, Stale: true})
	o.StartAnswered(shard.StartTimes{Answer: shard.AnswerUnsent})
	for _, run := range []fleet.RunNumber{1, 2} {
		o.Assigned(fleet.TaskID{Job: "job"}, run, fleet.EndpointProcess{Endpoint: "e-1"}, time.Second)
	}
	text := log()
	for _, line := range []string{"lasting: task waits", "lasting: task runs again"} {
		is.Equal(strings.Count(text, line), 1)
	}
	for _, field := range []string{`"reason":"inherited-lease"`, `"waited":2`, `"lease-left":5`, `"from-predecessor":true`, `"endpoint":"e-1"`, `"run":3`} {
		is.True(strings.Contains(text, field))
	}
	for name, want := range map[string]int64{
		"job_lasting_waiting_ms+reason=inherited-lease,": 2000, "job_renewals_missed+": 1, "job_starts_sent+": 1, "job_starts_stale+": 1,
	} {
		is.Equal(scope.Snapshot().Counters()[name+"service=service"].Value(), want)
	}
	for name, want := range map[string]int64{
		"job_lasting_wait": 1, "job_start_to_send": 1, "job_start_to_answer": 1, "job_first_plan": 1, "job_task_wait": 2,
	} {
		count := int64(0)
		for _, n := range scope.Snapshot().Histograms()[name+"+service=service"].Durations() {
			count += n
		}
		is.Equal(count, want)
	}
}

// Guards against an operators' page that names lines, reasons or metrics that do not exist.
func TestPageOfWaitsNamesWhatExists(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	_, section, ok := strings.Cut(string(page), "### A lasting task that does not run")
	is.True(ok)
	section, _, ok = strings.Cut(section, "### A job with room")
	is.True(ok)
	var source strings.Builder
	for _, pattern := range []string{"*.go", "../shard/*.go", "../follow/*.go", "../../pkg/fleet/*.go"} {
		files, err := filepath.Glob(pattern)
		is.NoErr(err)
		for _, name := range files {
			if !strings.HasSuffix(name, "_test.go") {
				text, err := os.ReadFile(name)
				is.NoErr(err)
				source.Write(text)
			}
		}
	}
	names := regexp.MustCompile("`([a-z]+(?:[-_: ]+[a-z]+)+|[a-z]+)`").FindAllStringSubmatch(section, -1)
	is.True(len(names) > 30)
	for _, name := range names {
		if !strings.Contains(source.String(), `"`+name[1]+`"`) {
			t.Errorf("%q is on the page and not in the source", name[1])
		}
	}
}
