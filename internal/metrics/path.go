package metrics

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/uber-go/tally/v4"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/routing"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Buckets of histograms: waits from 1 ms to about 9 minutes, waves from 1 s to about 12 days.
var (
	waitBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 20)
	waveBuckets = tally.MustMakeExponentialDurationBuckets(time.Second, 2, 21)
)

// The histogram of the waits of short work, in milliseconds, covers the last one to two windows. Each
// call of Counted, once a second, counts towards a window.
const (
	maxWait         = 10 * time.Minute
	waitDigits      = 2
	waitWindows     = 2
	countsPerWindow = 60
)

// Dispatch publishes the metrics of the dispatcher. It implements dispatch.Observer, and only the
// dispatcher calls it.
type Dispatch struct {
	// Scope is set before use.
	Scope tally.Scope

	waits      map[fleet.Class]tally.Histogram
	retries    map[fleet.Class]tally.Counter
	shortWaits *hdrhistogram.WindowedHistogram
	counts     int
}

// NewDispatch returns the metrics of a dispatcher. The waits and retries of each class exist from the
// start, so that scrapers see them at 0 before the first event.
func NewDispatch(scope tally.Scope) *Dispatch {
	d := &Dispatch{
		Scope: scope, waits: map[fleet.Class]tally.Histogram{}, retries: map[fleet.Class]tally.Counter{},
		shortWaits: hdrhistogram.NewWindowed(waitWindows, 1, maxWait.Milliseconds(), waitDigits),
	}
	for _, class := range fleet.Classes() {
		tagged := scope.Tagged(map[string]string{"class": string(class)})
		d.waits[class] = tagged.Histogram("wait_seconds", waitBuckets)
		d.retries[class] = tagged.Counter("retries")
		d.retries[class].Inc(0)
	}
	return d
}

// Started implements dispatch.Observer.
func (d *Dispatch) Started(class fleet.Class, wait time.Duration) {
	wait = min(max(wait, 0), maxWait)
	if waits := d.waits[class]; waits != nil {
		waits.RecordDuration(wait)
	}
	if class.IsShort() {
		// The wait is within the bounds of the histogram.
		_ = d.shortWaits.Current.RecordValue(wait.Milliseconds())
	}
}

// Retried implements dispatch.Observer.
func (d *Dispatch) Retried(class fleet.Class) {
	if retries := d.retries[class]; retries != nil {
		retries.Inc(1)
	}
}

// Counted implements dispatch.Observer.
func (d *Dispatch) Counted(c routing.Count) {
	d.Scope.Gauge("ejected_endpoints").Update(float64(c.Ejected))
	d.Scope.Gauge("slots_lent").Update(float64(c.Lent))
	d.Scope.Gauge("slots_borrowed").Update(float64(c.Borrowed))
	p99 := time.Duration(d.shortWaits.Merge().ValueAtQuantile(99)) * time.Millisecond
	d.Scope.Gauge("short_wait_p99_seconds").Update(p99.Seconds())
	if d.counts++; d.counts%countsPerWindow == 0 {
		d.shortWaits.Rotate()
	}
}

// Outcomes counts requests by outcome and reason. It is safe for concurrent use.
type Outcomes struct {
	Scope tally.Scope
}

// Ended counts a request. An answer has no reason.
func (o Outcomes) Ended(kind request.OutcomeKind, reason request.Reason) {
	o.Scope.Tagged(map[string]string{"outcome": string(kind), "reason": string(reason)}).Counter("requests").Inc(1)
}
