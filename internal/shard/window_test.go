package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a holder that plans many more starts than it can send: most waited too long to be sent and were planned
// again, and tasks that last stood still for ten seconds beside free endpoints.
func TestStartsFollowWhatIsSent(t *testing.T) {
	for _, perSecond := range []int{200, 1000} {
		t.Run(fmt.Sprintf("%d a second", perSecond), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1, 100, worker64)
			sim.duration = func(fleet.TaskID) time.Duration { return 500 * time.Millisecond }
			queue, sent, stale := []shard.Order{}, 0, 0
			queuedAt := map[fleet.TaskID]time.Time{}
			budget := 0.0
			sim.intercept = func(o shard.Order) bool {
				if o.Kind != shard.OrderStart {
					return false
				}
				queue, queuedAt[o.Task] = append(queue, o), sim.now
				return true
			}
			sim.run(time.Second)
			for n := range 40 {
				sim.submit(batchJob(fleet.JobID(fmt.Sprintf("job-%02d", n)), 40, 4000))
			}
			for range 400 {
				sim.step()
				// A stale order takes a tenth of the time of one that is sent.
				for budget += float64(perSecond) * fakeTick.Seconds(); budget > 0 && len(queue) > 0; {
					o := queue[0]
					queue = queue[1:]
					if sim.now.Sub(queuedAt[o.Task]) > 400*time.Millisecond {
						stale++
						budget -= 0.1
						sim.answer(0, shard.Result{Order: o, Answer: shard.AnswerUnsent, SentAt: sim.now, Stale: true})
						continue
					}
					sent++
					budget--
					sim.deliver(o)
				}
			}
			t.Logf("%d starts sent, %d stale", sent, stale)
			is.True(stale < sent/4)
			is.True(sent >= 3*min(perSecond, 400)) // The rate is used.
			is.Equal(sim.violations, nil)
		})
	}
}
