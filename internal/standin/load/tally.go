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

// Record is what came of one request.
type Record struct {
	ID      fleet.RequestID
	Type    fleet.RequestType
	Once    bool
	Outcome attemptKind
	Reason  request.Reason
}

// Finding is a way in which a guarantee was broken.
type Finding string

// Findings.
const (
	// FindingLie is a request that ran although its caller was told that it did not.
	FindingLie Finding = "lies"
	// FindingDouble is a request with a ticket that ran more than once.
	FindingDouble Finding = "double-runs"
	// FindingWrong is an answer that is not the complete answer to its request.
	FindingWrong Finding = "wrong-answers"
	// FindingCut is a request that was cut off although its entry was not killed.
	FindingCut Finding = "cut"
)

// Range of the histogram of times, in microseconds, and its precision in digits.
const (
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

// timeFormat shows when a finding was made, to compare it with logs.
const timeFormat = "15:04:05.000"

// Tally is what one worker, or all of them, saw.
type Tally struct {
	Records  []Record
	Findings map[Finding][]string
	// Outcomes counts the final outcomes by kind and reason.
	Outcomes map[string]int
	// Attempts counts all calls by kind.
	Attempts map[attemptKind]int
	// Short holds the times of answered short requests, as their callers see them, in microseconds.
	Short *hdrhistogram.Histogram
}

func newTally() *Tally {
	return &Tally{
		Findings: map[Finding][]string{}, Outcomes: map[string]int{}, Attempts: map[attemptKind]int{},
		Short: hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

func (t *Tally) took(d time.Duration) { _ = t.Short.RecordValue(min(d.Microseconds(), histogramMax)) }

func (t *Tally) find(f Finding, example string) { t.Findings[f] = append(t.Findings[f], example) }

func (t *Tally) record(r Record) {
	t.Records = append(t.Records, r)
	kind := string(r.Outcome)
	if r.Reason != "" {
		kind += "/" + string(r.Reason)
	}
	t.Outcomes[kind]++
}

// note counts an attempt and finds what no failure of a killed entry explains.
func (t *Tally) note(now time.Time, m *callerv1.SubmitRequest, a attempt, killed map[fleet.EntryID]bool) {
	t.Attempts[a.Kind]++
	// The incarnation tells whether the issuer stopped or had just started.
	issued, _ := ticket.Decode(m.GetTicket())
	text := fmt.Sprintf("%s %s (%s) at %s: %s %s%s, issuer %s %s", now.UTC().Format(timeFormat), m.GetRequestId(), m.GetRequestType(),
		a.Entry, a.Kind, a.Reason, a.Detail, issued.Issuer, issued.Incarnation)
	switch {
	case a.Kind == attemptWrong:
		t.find(FindingWrong, text)
	case isCut(m, a, killed):
		t.find(FindingCut, text)
	}
}

// isCut reports whether a request was cut off at an entry that was not killed. A timeout is no cut: the
// caller named it. Tickets of a killed entry have an unknown outcome.
func isCut(m *callerv1.SubmitRequest, a attempt, killed map[fleet.EntryID]bool) bool {
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

// merge adds what another worker saw.
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

// judge compares the records with how often each request ran.
func (t *Tally) judge(runs map[fleet.RequestID]int) {
	for _, r := range t.Records {
		n := runs[r.ID]
		text := fmt.Sprintf("%s (%s): %s %s, %d runs", r.ID, r.Type, r.Outcome, r.Reason, n)
		if n > 0 && (r.Outcome == attemptNotRun || !r.Once && r.Outcome == attemptRefused) {
			t.find(FindingLie, text)
		}
		if n > 1 && r.Once {
			t.find(FindingDouble, text)
		}
		if n == 0 && r.Outcome == attemptAnswered {
			t.find(FindingWrong, text)
		}
	}
}
