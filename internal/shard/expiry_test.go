package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against the progress of an old job that is removed while its acceptance is still stored: the next
// holder would take the job for one that has not run, and run it again.
func TestOldJobIsForgottenAfterItsAcceptance(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 1, worker64)
	w.statusLife = time.Second
	w.takeOver(time.Time{})
	w.submit(batchJob("old", 2, 1000))
	w.play(5 * time.Second)
	is.Equal(w.state("old"), fleet.JobStateCompleted)
	is.Equal(len(w.engine.Expired(w.now)), 0) // its state is asked for
	w.play(40 * time.Second)
	is.Equal(w.engine.Expired(w.now), []fleet.JobID{"old"})
	is.Equal(len(w.store.rows), 1) // kept until its acceptance is gone
	w.takeOver(w.now)
	w.play(5 * time.Second)
	is.Equal(w.state("old"), fleet.JobStateCompleted)
	w.engine.Forget("old")
	w.play(time.Second)
	is.Equal(len(w.store.rows), 0)
	is.Equal(len(w.violations), 0)
}
