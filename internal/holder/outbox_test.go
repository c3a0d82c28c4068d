package holder

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a cancellation that is lost because the scheduler's ring has no room, and is confirmed all the same.
func TestCancellationWithoutRoomIsPassedOnBeforeItIsConfirmed(t *testing.T) {
	is := is.New(t)
	events := ring.New[Event]("scheduler", 2)
	sink := &jobSink{out: Outbox{Scheduler: events}, log: zap.NewNop()}
	for _, id := range []fleet.JobID{"a", "b", "c"} {
		sink.Change([]rowstore.Row{{Key: cancelKey(id)}})
	}
	var ids []fleet.JobID
	for range 2 {
		sink.Synced(time.Unix(1, 0))
		for e, ok := events.TryPop(); ok; e, ok = events.TryPop() {
			is.True(e.Known == nil || len(ids) == 3) // nothing is confirmed before its change
			if e.Jobs != nil {
				ids = append(ids, e.Jobs.Cancelled...)
			}
		}
	}
	is.Equal(ids, []fleet.JobID{"a", "b", "c"})
}
