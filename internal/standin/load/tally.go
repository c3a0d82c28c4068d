package load

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Record is the final result of one request.
type Record struct {
	ID          fleet.RequestID
	Type        fleet.RequestType
	NeedsTicket bool
	Outcome     attemptKind
	Reason      request.Reason
}

// Finding is a kind of violation of a guarantee.
type Finding string

// Findings.
const (
	// FindingFalseNotRun is a request that ran although its caller got the outcome that it did not.
	FindingFalseNotRun Finding = "lies"
	// FindingDoubleRun is a request with a ticket that ran more than once.
	FindingDoubleRun Finding = "double-runs"
	// FindingWrongAnswer is an answer that is not the complete answer to its request.
	FindingWrongAnswer Finding = "wrong-answers"
	// FindingCutOff is a request that was cut off although its entry was not killed.
	FindingCutOff Finding = "cut"
)

// Maximum of the latency histogram in microseconds, and its precision in significant digits.
const (
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

// timeFormat is the time format of findings, for comparison with logs.
const timeFormat = "15:04:05.000"

// Tally collects the results of one worker, or of all workers after merge.
type Tally struct {
	Records  []Record
	Findings map[Finding][]string
	// Outcomes counts the final outcomes by kind and reason.
	Outcomes map[string]int
	// Attempts counts all calls by kind.
	Attempts map[attemptKind]int
	// Short holds the latencies of answered short requests at their callers, in microseconds.
	Short *hdrhistogram.Histogram
}

func newTally() *Tally {
	return &Tally{
		Findings: map[Finding][]string{}, Outcomes: map[string]int{}, Attempts: map[attemptKind]int{},
		Short: hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

func (t *Tally) recordLatency(d time.Duration) {
	_ = t.Short.RecordValue(min(d.Microseconds(), histogramMax))
}

func (t *Tally) addFinding(f Finding, example string) { t.Findings[f] = append(t.Findings[f], example) }

func (t *Tally) record(r Record) {
	t.Records = append(t.Records, r)
	kind := string(r.Outcome)
	if r.Reason != "" {
		kind += "/" + string(r.Reason)
	}
	t.Outcomes[kind]++
}

// recordAttempt counts an attempt and records findings that the failure of a killed entry does not explain.
func (t *Tally) recordAttempt(now time.Time, m *callerv1.SubmitRequest, a attempt, killed map[fleet.EntryID]bool) {
	t.Attempts[a.Kind]++
	// The incarnation in the text shows whether the issuer had stopped or had just started.
	issued, _ := ticket.Decode(m.GetTicket())
	text := fmt.Sprintf("%s %s (%s) at %s: %s %s%s, issuer %s %s", now.UTC().Format(timeFormat), m.GetRequestId(), m.GetRequestType(),
		a.Entry, a.Kind, a.Reason, a.Detail, issued.Issuer, issued.Incarnation)
	switch {
	case a.Kind == attemptWrong:
		t.addFinding(FindingWrongAnswer, text)
	case isCutOff(m, a, killed):
		t.addFinding(FindingCutOff, text)
	}
}

// isCutOff reports whether a request was cut off at an entry that was not killed. A timeout does not count,
// as the caller set it. Tickets issued by a killed entry may have an unknown outcome.
func isCutOff(m *callerv1.SubmitRequest, a attempt, killed map[fleet.EntryID]bool) bool {
	if killed[a.Entry] {
		return false
	}
	switch {
	case a.Kind == attemptBroken:
		return true
	case a.Kind != attemptUnknown:
		return false
	}
	switch a.Reason {
	case request.ReasonConnectionLost, request.ReasonIncompleteAnswer, request.ReasonHandingOver:
		return true
	case request.ReasonIssuerGone, request.ReasonIssuerUnreachable:
		t, err := ticket.Decode(m.GetTicket())
		return err != nil || !killed[t.Issuer]
	default:
		return false
	}
}

// merge adds the results of another worker.
func (t *Tally) merge(other *Tally) {
	t.Records = append(t.Records, other.Records...)
	for f, list := range other.Findings {
		t.Findings[f] = append(t.Findings[f], list...)
	}
	for kind, n := range other.Outcomes {
		t.Outcomes[kind] += n
	}
	for kind, n := range other.Attempts {
		t.Attempts[kind] += n
	}
	t.Short.Merge(other.Short)
}

// checkRuns compares the outcomes with how often each request ran.
func (t *Tally) checkRuns(runs map[fleet.RequestID]int) {
	for _, r := range t.Records {
		n := runs[r.ID]
		text := fmt.Sprintf("%s (%s): %s %s, %d runs", r.ID, r.Type, r.Outcome, r.Reason, n)
		if n > 0 && (r.Outcome == attemptNotRun || !r.NeedsTicket && r.Outcome == attemptRefused) {
			t.addFinding(FindingFalseNotRun, text)
		}
		if n > 1 && r.NeedsTicket {
			t.addFinding(FindingDoubleRun, text)
		}
		if n == 0 && r.Outcome == attemptAnswered {
			t.addFinding(FindingWrongAnswer, text)
		}
	}
}
