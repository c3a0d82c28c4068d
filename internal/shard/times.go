package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// timeKey names tasks that are expected to take equally long.
type timeKey struct {
	queue fleet.QueueID
	image fleet.ImageID
}

// runTime is the learned run time of a kind of task.
type runTime struct {
	mean    time.Duration
	samples int
}

const (
	// learnedWeight is how many samples the mean remembers.
	learnedWeight = 50
	// samplesBeforeTrust is how many runs are seen before the mean replaces declared estimates, which
	// are often far off.
	samplesBeforeTrust = 8
	// stallFactor is how many times its expected run time a task may take without any sign of progress.
	stallFactor = 3
	// stallMinimum keeps short tasks from being stopped for a pause of their endpoint.
	stallMinimum = 2500 * time.Millisecond
)

// learn takes the run time of a task that ended as done.
func (e *Engine) learn(q fleet.QueueID, a *assignment, ran time.Duration) {
	key := timeKey{q, a.step.Image}
	t := e.times[key]
	if t == nil {
		t = &runTime{}
		e.times[key] = t
	}
	t.samples++
	t.mean += (ran - t.mean) / time.Duration(min(t.samples, learnedWeight))
}

// expected returns how long a task of a step probably runs.
func (e *Engine) expected(q fleet.QueueID, s fleet.Step) time.Duration {
	if t := e.times[timeKey{q, s.Image}]; t != nil && t.samples >= samplesBeforeTrust {
		return t.mean
	}
	return s.Estimate
}
