package command

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"
)

// logLine is one structured line of a log. Fields that it does not have are empty.
type logLine struct {
	Time     string  `json:"ts"`
	Message  string  `json:"msg"`
	Job      string  `json:"job"`
	Task     string  `json:"task"`
	Run      int     `json:"run"`
	Endpoint string  `json:"endpoint"`
	Service  string  `json:"service"`
	Duty     string  `json:"duty"`
	Epoch    uint64  `json:"epoch"`
	Method   string  `json:"method"`
	Status   int     `json:"status"`
	Reason   string  `json:"reason"`
	How      string  `json:"how"`
	State    string  `json:"state"`
	Order    string  `json:"order"`
	Answer   string  `json:"answer"`
	Ran      float64 `json:"ran"`
	SinceDue float64 `json:"since-due"`

	// StartedMillis is the start time of the endpoint's process.
	StartedMillis         int64   `json:"started-ms"`
	AssignedStartedMillis int64   `json:"assigned-started-ms"`
	PreviousStartedMillis int64   `json:"previous-started-ms"`
	CurrentStartedMillis  int64   `json:"current-started-ms"`
	CurrentEndpoint       string  `json:"current-endpoint"`
	CurrentRun            int     `json:"current-run"`
	Evidence              string  `json:"evidence"`
	EvidenceAge           float64 `json:"evidence-age"`
	SinceAnswer           float64 `json:"since-answer"`
	LeaseLeft             float64 `json:"lease-left"`
	Lost                  int     `json:"runs"`
	Kept                  int     `json:"kept"`
	InheritedRuns         int     `json:"inherited-runs"`
	FromPredecessor       bool    `json:"from-predecessor"`
	PredecessorLeasesLeft float64 `json:"predecessor-leases-left"`
	After                 float64 `json:"after"`
	Deadline              float64 `json:"deadline"`
	Clock                 float64 `json:"clock"`
	Earliest              float64 `json:"earliest"`
	Latest                float64 `json:"latest"`
	ListClock             float64 `json:"list-clock"`
	StartedClock          float64 `json:"started-clock"`
	Waited                float64 `json:"waited"`
}

// maxLineBytes bounds a line of a log, in bytes.
const maxLineBytes = 1 << 20

// readLogs returns the lines of log files that can be decoded, ordered by time. Text before the JSON
// object of a line, such as the name of the process, is ignored.
func readLogs(paths []string) ([]logLine, error) {
	var lines []logLine
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, trace.Wrap(&UsageError{Problem: err.Error()})
		}
		scanner := bufio.NewScanner(f)
		scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
		for scanner.Scan() {
			text := scanner.Text()
			start := strings.IndexByte(text, '{')
			var l logLine
			if start < 0 || json.Unmarshal([]byte(text[start:]), &l) != nil || l.Message == "" {
				continue
			}
			lines = append(lines, l)
		}
		err = scanner.Err()
		_ = f.Close() // The file was only read.
		if err != nil {
			return nil, trace.Wrap(&UsageError{Problem: path + ": " + err.Error()})
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.Time, b.Time) })
	return lines, nil
}

// explanation is the part of the logs that concerns one job.
type explanation struct {
	Lines []logLine
	// Cause describes the decision that ended the job, or how far the job came.
	Cause string
}

// explainJob collects the lines about a job, those about the endpoints of its runs and the holder of its
// service while it ran, and determines the cause.
func explainJob(lines []logLine, job string) explanation {
	var e explanation
	service, endpoints := "", map[string]bool{}
	first, last := "", ""
	for _, l := range lines {
		if l.Job != job {
			continue
		}
		service = cmp.Or(service, l.Service)
		if l.Endpoint != "" {
			endpoints[l.Endpoint] = true
		}
		first, last = cmp.Or(first, l.Time), l.Time
	}
	if first == "" {
		e.Cause = "no line names the job"
		return e
	}
	for _, l := range lines {
		inRange := l.Time >= first && l.Time <= last
		ofJob := l.Job == job
		related := inRange && l.Job == "" && (service != "" && l.Duty == "jobs-"+service || endpoints[l.Endpoint] && (strings.HasPrefix(l.Message, "shard:") || strings.HasPrefix(l.Message, "lease:")))
		if ofJob || related {
			e.Lines = append(e.Lines, l)
		}
	}
	e.Cause = cause(e.Lines, job)
	return e
}

// cause describes the decision that ended a job, or how far the job came, and the first of its foreign runs.
func cause(lines []logLine, job string) string {
	outcome, foreign, first := jobOutcome(lines, job)+lastingOutcome(lines, job), 0, ""
	for _, l := range lines {
		if l.Message != "lease: foreign run listed" || l.Job != job {
			continue
		}
		if foreign++; foreign == 1 {
			first = fmt.Sprintf("run %d of %s at %s", l.Run, l.Task, l.Endpoint)
			if l.CurrentEndpoint != "" {
				first += fmt.Sprintf(" while run %d was assigned to %s", l.CurrentRun, l.CurrentEndpoint)
			}
		}
	}
	if foreign == 0 {
		return outcome
	}
	return fmt.Sprintf("%s; %d foreign runs, first: %s", outcome, foreign, first)
}

// lastingOutcome describes the longest wait of the lasting tasks of a job that ran before, or nothing.
func lastingOutcome(lines []logLine, job string) string {
	var longest logLine
	for _, l := range lines {
		if l.Job == job && strings.HasPrefix(l.Message, "lasting:") && l.Waited >= longest.Waited {
			longest = l
		}
	}
	if longest.Message == "" {
		return ""
	}
	return fmt.Sprintf("; longest wait of a lasting task: %s for %.1f s (%s)", longest.Task, longest.Waited, longest.Reason)
}

// jobOutcome describes the decision that ended a job, or how far the job came.
func jobOutcome(lines []logLine, job string) string {
	stored, refusal := false, ""
	firstAssigned := -1.0
	failed, repeated, taken := 0, 0, 0
	for _, l := range lines {
		switch {
		case l.Message == "front: request" && l.Method == "POST" && l.Status < 300:
			stored = true
		case l.Message == "front: request" && l.Method == "POST":
			refusal = fmt.Sprintf("refused with %d: %s", l.Status, l.Reason)
		case l.Message == "shard: task assigned" && firstAssigned < 0:
			firstAssigned = l.SinceDue
		case l.Message == "shard: run ended" && l.How == "failed":
			failed++
		case l.Message == "shard: run ended" && l.How != "done", l.Message == "lease: run given up":
			repeated++
		case l.Message == "scheduler: lease taken":
			taken++
		case l.Message == "shard: job ended" && l.Job == job:
			return summary(l, firstAssigned, failed, repeated, taken)
		}
	}
	switch {
	case !stored && refusal != "" && firstAssigned < 0:
		return "never accepted: " + refusal
	case firstAssigned < 0:
		return "accepted, and no task was assigned"
	}
	return fmt.Sprintf("not ended: first task after %.1f s, %d failed and %d repeated runs, %d changes of the holder", firstAssigned, failed, repeated, taken)
}

func summary(l logLine, firstAssigned float64, failed, repeated, taken int) string {
	return fmt.Sprintf("%s after %.1f s: first task after %.1f s, %d failed and %d repeated runs, %d changes of the holder",
		l.State, l.SinceDue, max(0, firstAssigned), failed, repeated, taken)
}

func (c *cli) explainCommand(parent *ff.FlagSet) *ff.Command {
	return leaf{
		path: "explain", operands: "<job-id> <log-file>...", minOperands: 2, maxOperands: -1, help: "tell the story of a job from log files of entries",
		example: "explain 0123456789abcdef entry-1.log entry-2.log", flags: ff.NewFlagSet("explain").SetParent(parent),
		run: func(_ context.Context, operands []string) error {
			lines, err := readLogs(operands[1:])
			if err != nil {
				return trace.Wrap(err)
			}
			explanation := explainJob(lines, operands[0])
			return c.printValues(map[string]string{"job": operands[0], "cause": explanation.Cause}, func(w *tabwriter.Writer) {
				for _, l := range explanation.Lines {
					_, _ = fmt.Fprintln(w, strings.Join(l.columns(), "\t"))
				}
				_, _ = fmt.Fprintf(w, "cause: %s\n", explanation.Cause)
			})
		},
	}.command()
}

// columns returns the fields of a line that the table shows.
func (l logLine) columns() []string {
	row := []string{l.Time, l.Message, cmp.Or(l.Task, l.Duty), l.Endpoint}
	var details []string
	for _, d := range []struct{ name, value string }{
		{"method", l.Method},
		{"reason", l.Reason},
		{"how", l.How},
		{"state", l.State},
		{"order", l.Order},
		{"answer", l.Answer},
		{"evidence", l.Evidence},
		{"current-endpoint", l.CurrentEndpoint},
	} {
		if d.value != "" {
			details = append(details, d.name+"="+d.value)
		}
	}
	for _, d := range []struct {
		name  string
		value int64
	}{
		{"status", int64(l.Status)},
		{"run", int64(l.Run)},
		{"started-ms", l.StartedMillis},
		{"assigned-started-ms", l.AssignedStartedMillis},
		{"previous-started-ms", l.PreviousStartedMillis},
		{"current-run", int64(l.CurrentRun)},
		{"current-started-ms", l.CurrentStartedMillis},
		{"runs", int64(l.Lost)},
		{"kept", int64(l.Kept)},
		{"inherited-runs", int64(l.InheritedRuns)},
	} {
		if d.value != 0 {
			details = append(details, fmt.Sprintf("%s=%d", d.name, d.value))
		}
	}
	details = append(details, l.times()...)
	if l.FromPredecessor {
		details = append(details, "from-predecessor")
	}
	return append(row, strings.Join(details, " "))
}

// times returns the durations of a line, in seconds.
func (l logLine) times() []string {
	var details []string
	for _, d := range []struct {
		name  string
		value float64
	}{
		{"since-due", l.SinceDue},
		{"ran", l.Ran},
		{"after", l.After},
		{"evidence-age", l.EvidenceAge},
		{"since-answer", l.SinceAnswer},
		{"lease-left", l.LeaseLeft},
		{"predecessor-leases-left", l.PredecessorLeasesLeft},
		{"deadline", l.Deadline},
		{"clock", l.Clock},
		{"earliest", l.Earliest},
		{"latest", l.Latest},
		{"list-clock", l.ListClock},
		{"started-clock", l.StartedClock},
		{"waited", l.Waited},
	} {
		if d.value != 0 {
			details = append(details, fmt.Sprintf("%s=%.2fs", d.name, d.value))
		}
	}
	return details
}
