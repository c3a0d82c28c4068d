package holder

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Buckets of the rounds of a scheduler: from 0.25 ms to 4 s, and from no event to more than the inbox holds.
var (
	roundBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 15)
	inboxBuckets = append(tally.ValueBuckets{0}, tally.MustMakeExponentialValueBuckets(1, 4, 8)...)
)

// Rounds are the metrics of the rounds of a scheduler.
type Rounds struct {
	took, waiting tally.Histogram
}

// NewRounds returns the metrics of a scheduler.
func NewRounds(scope tally.Scope) *Rounds {
	return &Rounds{took: scope.Histogram("scheduler_round", roundBuckets), waiting: scope.Histogram("scheduler_inbox", inboxBuckets)}
}

// RoundEnded implements RoundObserver.
func (r *Rounds) RoundEnded(took time.Duration, waiting int) {
	r.took.RecordDuration(took)
	r.waiting.RecordValue(float64(waiting))
}
