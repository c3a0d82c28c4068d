package holder

import "github.com/mimosawharf/mimosawharf/internal/ring"

// Outbox passes what a follower has read on to the scheduler, in order. A change for which the scheduler's ring has no
// room waits for the next one: the follower does not read it again. While the ring is full, one change a read waits. It is
// used by one duty.
type Outbox struct {
	// Scheduler is set before the first call.
	Scheduler *ring.Ring[Event]

	waiting []Event
}

// Change passes on an event that must not be lost. It returns false while events wait.
func (o *Outbox) Change(e Event) bool {
	o.waiting = append(o.waiting, e)
	return o.flush()
}

// Confirm passes on that all changes before it were passed on. It is left out while some wait.
func (o *Outbox) Confirm(e Event) {
	if o.flush() {
		// The next confirmation replaces one without room.
		_ = o.Scheduler.PushReserved(e)
	}
}

func (o *Outbox) flush() bool {
	for len(o.waiting) > 0 {
		if o.Scheduler.PushReserved(o.waiting[0]) != nil {
			return false
		}
		o.waiting = o.waiting[1:]
	}
	return true
}
