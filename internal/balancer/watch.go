package balancer

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Inbox is the ring of a duty.
type Inbox interface {
	Name() ring.Name
	Depth() int
	// Popped returns the number of items that the duty has taken.
	Popped() uint64
}

// Watchdog is the duty that detects stuck duties: a duty is stuck if items wait in its inbox and it has taken
// none of them for Timeout. A duty with an empty inbox is idle, not stuck.
type Watchdog struct {
	// The fields are set before Run. Inboxes excludes duties that wait for external systems.
	Inboxes []Inbox
	Stuck   *ring.Latest[[]ring.Name]
	Clock   clock.Clock
	Timeout time.Duration

	progress map[ring.Name]inboxProgress
}

// inboxProgress is the count of items taken from an inbox, and since when it has not changed while items
// wait.
type inboxProgress struct {
	popped uint64
	since  time.Time
}

// Name implements duty.Duty.
func (*Watchdog) Name() fleet.DutyName { return "watch" }

// checksPerTimeout is the number of checks of the inboxes within Timeout.
const checksPerTimeout = 10

// Run implements duty.Duty.
func (w *Watchdog) Run(ctx context.Context) error {
	w.progress = map[ring.Name]inboxProgress{}
	for {
		w.Stuck.Set(w.check(w.Clock.Now()))
		if err := clock.Wait(ctx, w.Clock, w.Timeout/checksPerTimeout); err != nil {
			return trace.Wrap(err)
		}
	}
}

func (w *Watchdog) check(now time.Time) []ring.Name {
	var stuck []ring.Name
	for _, inbox := range w.Inboxes {
		last, ok := w.progress[inbox.Name()]
		popped := inbox.Popped()
		if !ok || popped != last.popped || inbox.Depth() == 0 {
			w.progress[inbox.Name()] = inboxProgress{popped: popped, since: now}
			continue
		}
		if now.Sub(last.since) >= w.Timeout {
			stuck = append(stuck, inbox.Name())
		}
	}
	return stuck
}
