package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	turnSeconds = 16
	// turnEndpoints run turnJobs jobs a second at most.
	turnEndpoints = 100
	turnJobs      = 80
)

// turn plays the demand of one queue on a holder that lacks neither processor time nor a store.
type turn struct {
	*peak
	cameAt map[fleet.JobID]int
	// longest is the run time of the longest task of each step. The objective of a job follows from it.
	longest map[fleet.JobID]map[fleet.StepIndex]time.Duration
	// jobs and stored are what the store holds.
	jobs   map[fleet.JobID]*fleet.Job
	stored map[shard.RowKey][]byte
	// inTime counts the jobs that ended in time by the second in which they came.
	inTime [turnSeconds]int
}

// playTurn offers jobs at a share of what the fleet can run, from the second to the tenth second. The holder stands still
// while it is told to.
func playTurn(load float64, still func(second int) bool) *turn {
	return newTurn().play(load, still, func(int) {})
}

func newTurn() *turn {
	t := &turn{peak: newPeak(1, turnEndpoints, fleet.Capacity{Millicores: 64000, Memory: 256000}), cameAt: map[fleet.JobID]int{}, longest: map[fleet.JobID]map[fleet.StepIndex]time.Duration{}}
	t.counts.ejections = map[fleet.EndpointID]int{}
	t.counts.jobEnded = func(id fleet.JobID, after time.Duration) {
		objective := 600 * time.Millisecond
		for _, d := range t.longest[id] {
			objective += d * 8 / 5
		}
		if after <= objective {
			t.inTime[t.cameAt[id]]++
		}
	}
	t.took = func(id fleet.TaskID, d time.Duration) {
		steps := t.longest[id.Job]
		if steps == nil {
			steps = map[fleet.StepIndex]time.Duration{}
			t.longest[id.Job] = steps
		}
		steps[id.Step] = max(steps[id.Step], d)
	}
	t.jobs, t.stored = map[fleet.JobID]*fleet.Job{}, map[shard.RowKey][]byte{}
	t.peak.committed = func(b *shard.Batch) {
		for _, row := range b.Rows {
			t.stored[row.Key] = row.Value
		}
	}
	return t
}

// play offers jobs and calls at with each millisecond.
func (t *turn) play(load float64, still func(second int) bool, at func(ms int)) *turn {
	for ms := range turnSeconds * 1000 {
		at(ms)
		second, rate := ms/1000, 4
		if second >= 1 && second < 10 {
			rate = int(turnJobs * load)
		}
		t.advance()
		if ms%(1000/rate) == 0 {
			j := t.newJob()
			t.cameAt[j.ID], t.jobs[j.ID] = second, j
			t.inbox = append(t.inbox, peakMessage{job: j})
		}
		if !still(second) {
			t.round()
		}
		t.now = t.now.Add(time.Millisecond)
	}
	return t
}

// changeHolder starts a holder that knows what is stored.
func (t *turn) changeHolder() {
	t.inbox, t.writing = nil, false
	for _, e := range t.endpoints {
		e.orders, e.holds = peakSender{}, peakSender{}
	}
	t.newEngine(t.epoch+shard.EpochStep, shard.Inheritance{End: t.now.Add(fakeMaxLease)})
	for _, j := range t.jobs {
		t.engine.Accept(j)
	}
	for _, row := range t.stored {
		if o, err := wire.DecodeProgress(row, func(id fleet.JobID) *fleet.Job { return t.jobs[id] }, nil); err == nil {
			t.engine.Restore(t.now, o)
		}
	}
	t.engine.Loaded(t.now)
}

// came returns how many jobs that came in some seconds ended in time.
func (t *turn) came(from, to int) int {
	n := 0
	for _, inTime := range t.inTime[from:to] {
		n += inTime
	}
	return n
}

func never(int) bool { return false }

// Guards against a queue that serves fewer jobs in time the more it is offered, because each begins at the last moment:
// turns of 1.2, 1.5 and 3 times what the fleet can run, against one that it can just run.
func TestTurnBeyondTheFleetKeepsWhatIsInTime(t *testing.T) {
	is := is.New(t)
	usual := playTurn(1, never).came(1, 10)
	for _, load := range []float64{1.2, 1.5, 3} {
		inTime := playTurn(load, never).came(1, 10)
		t.Logf("%.1f times the fleet: %d in time, %d at once the fleet", load, inTime, usual)
		is.True(inTime >= usual)
	}
}

// Guards against new work that pays for old work after a shock: the holder stands still from the third to the seventh
// second of turns of 1 and 1.5 times what the fleet can run. What comes after it is served as without it.
func TestWorkAfterShockIsInTime(t *testing.T) {
	is := is.New(t)
	usual := playTurn(1, never).came(7, 10)
	for _, load := range []float64{1, 1.5} {
		after := playTurn(load, func(second int) bool { return second >= 3 && second < 7 }).came(7, 10)
		t.Logf("%.1f times the fleet: %d in time after the shock, %d at once the fleet without it", load, after, usual)
		is.True(float64(after) >= 0.95*float64(usual))
	}
}

// Guards against a service that serves late after its holder has changed at its queue's peak: the holder is lost in the
// third second of a turn of 1.5 times what the fleet can run, and the next one follows when the lease has expired.
func TestHolderThatChangesAtPeakServesInTime(t *testing.T) {
	is := is.New(t)
	usual := playTurn(1, never).came(6, 10)
	c := newTurn()
	c.play(1.5, func(second int) bool { return second >= 3 && second < 5 }, func(ms int) {
		if ms == 5000 {
			c.changeHolder()
		}
	})
	t.Logf("%d in time after the change, %d at once the fleet without it", c.came(6, 10), usual)
	is.True(float64(c.came(6, 10)) >= 0.95*float64(usual))
}
