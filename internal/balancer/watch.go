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
	// Popped counts the items that the duty took.
	Popped() uint64
}

// Watch is the duty that tells a stuck duty from a running one: items wait in its inbox, and it took
// none of them for Patience. A duty without work waits in its ring and is not stuck.
type Watch struct {
	// The fields are set before Run. Duties that wait for outside systems are left out of Inboxes.
	Inboxes  []Inbox
	Stuck    *ring.Latest[[]ring.Name]
	Clock    clock.Clock
	Patience time.Duration

	moved map[ring.Name]movement
}

// movement is the count of an inbox and since when it has not changed while items wait.
type movement struct {
	popped uint64
	since  time.Time
}

// Name implements duty.Duty.
func (*Watch) Name() fleet.DutyName { return "watch" }

// checksPerPatience is how often Watch looks within its patience.
const checksPerPatience = 10

// Run implements duty.Duty.
func (w *Watch) Run(ctx context.Context) error {
	w.moved = map[ring.Name]movement{}
	for {
		w.Stuck.Set(w.check(w.Clock.Now()))
		if err := clock.Wait(ctx, w.Clock, w.Patience/checksPerPatience); err != nil {
			return trace.Wrap(err)
		}
	}
}

func (w *Watch) check(now time.Time) []ring.Name {
	var stuck []ring.Name
	for _, inbox := range w.Inboxes {
		last, ok := w.moved[inbox.Name()]
		popped := inbox.Popped()
		if !ok || popped != last.popped || inbox.Depth() == 0 {
			w.moved[inbox.Name()] = movement{popped: popped, since: now}
			continue
		}
		if now.Sub(last.since) >= w.Patience {
			stuck = append(stuck, inbox.Name())
		}
	}
	return stuck
}
