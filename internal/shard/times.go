package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// runTimeKey identifies tasks that are expected to take equally long.
type runTimeKey struct {
	queue fleet.QueueID
	image fleet.ImageID
}

// runTime is the observed run time of the tasks with one key.
type runTime struct {
	mean    time.Duration
	samples int
}

const (
	// meanWindow is the number of samples after which the mean becomes an exponential moving average.
	meanWindow = 50
	// minSamples is the number of runs from which on the mean replaces declared estimates, which are often far
	// off.
	minSamples = 8
	// stallFactor is how many times its expected run time a task may take without progress.
	stallFactor = 3
	// minStallTime keeps short tasks from being stopped because their endpoint pauses.
	minStallTime = 2500 * time.Millisecond
)

// recordRunTime adds the run time of a completed task.
func (e *Engine) recordRunTime(q fleet.QueueID, a *assignment, ran time.Duration) {
	key := runTimeKey{q, a.step.Image}
	t := e.runTimes[key]
	if t == nil {
		t = &runTime{}
		e.runTimes[key] = t
	}
	t.samples++
	t.mean += (ran - t.mean) / time.Duration(min(t.samples, meanWindow))
}

// expected returns the expected run time of the tasks of a step.
func (e *Engine) expected(q fleet.QueueID, s fleet.Step) time.Duration {
	if t := e.runTimes[runTimeKey{q, s.Image}]; t != nil && t.samples >= minSamples {
		return t.mean
	}
	return s.Estimate
}
