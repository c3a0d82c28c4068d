package dispatch

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/routing"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Observer receives the dispatcher's events for metrics. Only the dispatcher calls it.
type Observer interface {
	// Started reports the first attempt of a request and how long the request waited for it.
	Started(class fleet.Class, wait time.Duration)
	// Retried reports a further attempt.
	Retried(class fleet.Class)
	// Counted reports the state of the endpoints every countInterval.
	Counted(routing.Count)
}

// countInterval is how often the endpoints are counted.
const countInterval = time.Second

// observe reports a started attempt to the observer. A run that continues from a checkpoint is neither a
// first attempt nor a retry.
func (d *Dispatcher) observe(now time.Time, s Send) {
	switch {
	case d.Observer == nil || len(s.Checkpoint) > 0:
	case s.Attempt > 1:
		d.Observer.Retried(s.Request.Class)
	default:
		d.Observer.Started(s.Request.Class, now.Sub(s.Request.Received))
	}
}

func (d *Dispatcher) count(now time.Time) {
	if d.Observer != nil && now.Sub(d.countedAt) >= countInterval {
		d.countedAt = now
		d.Observer.Counted(d.Engine.Router.Count())
	}
}
