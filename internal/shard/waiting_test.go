package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a count of waiting jobs that leaves out a job because its start was ordered: the order may
// be lost or carried out seconds later, and until then no task has started.
func TestOrderedJobCountsAsWaiting(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 2, worker64)
	w.lateShare = 1
	w.submit(batchJob("late", 2, 4000))
	w.play(time.Second)
	is.Equal(w.started(), 0)
	is.Equal(w.engine.Waiting()["queue"], 1)
	w.takeOver(w.now.Add(5 * time.Second))
	w.step()
	is.Equal(w.engine.Waiting()["queue"], 1) // the next holder knows the order from the store only
	w.lateShare = 0
	for range 3000 {
		w.step()
		if w.started() > 0 {
			break
		}
	}
	w.play(100 * time.Millisecond)
	is.Equal(w.engine.Waiting()["queue"], 0)
}

// started returns how many runs have started.
func (w *fakeWorld) started() int {
	n := 0
	for _, e := range w.endpoints {
		n += len(e.running) + int(e.ended)
	}
	return n
}
