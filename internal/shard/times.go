package shard

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// runTimeKey identifies tasks that are expected to take equally long.
type runTimeKey struct {
	queue fleet.QueueID
	// image is a hash of the image's name, whose length callers choose.
	image uint64
}

func newRunTimeKey(q fleet.QueueID, image fleet.ImageID) runTimeKey {
	return runTimeKey{q, xxhash.Sum64String(string(image))}
}

// maxRunTimes bounds the images whose run times are known. Callers choose their names.
const maxRunTimes = 4096

// runTime is the observed run time of the tasks with one key.
type runTime struct {
	// actual and ratio hold the logarithms of the run times, in seconds, and of their ratios to the declared
	// estimates.
	actual, ratio logMean
	mean          time.Duration
	// longest is the mean ratio of the longest run of a step to the mean of its runs.
	longest float64
	steps   int
	// recordedAt is when a run was last recorded.
	recordedAt time.Time
}

// logMean is the mean and the variance of logarithms, as exponential moving averages.
type logMean struct {
	mean, variance float64
	samples        int
}

func (m *logMean) add(x float64) {
	m.samples++
	weight := 1 / float64(min(m.samples, meanWindow))
	d := x - m.mean
	m.mean += weight * d
	m.variance = (1 - weight) * (m.variance + weight*d*d)
}

// stepRuns are the run times of the tasks of one step that have completed.
type stepRuns struct {
	count        int
	sum, longest time.Duration
}

const (
	// meanWindow is the number of samples after which the mean becomes an exponential moving average.
	meanWindow = 50
	// minSamples is the number of runs from which on observed run times replace or correct declared estimates, which
	// are often far off.
	minSamples = 8
	// maxStepFactor bounds the ratio of a step's longest run to its mean, so that a single endpoint that is slow does
	// not make all work look late.
	maxStepFactor = 3
	// stallFactor is how many times its expected run time a task may take without progress.
	stallFactor = 3
	// minStallTime keeps short tasks from being stopped because their endpoint pauses.
	minStallTime = 2500 * time.Millisecond
)

// recordRunTime adds the run time of a completed task.
func (e *Engine) recordRunTime(now time.Time, o *job.Occurrence, a *assignment, ran time.Duration) {
	key := newRunTimeKey(o.Job.Queue, a.step.Image)
	t := e.runTimes[key]
	if t == nil {
		e.forgetRunTime()
		t = &runTime{longest: 1}
		e.runTimes[key] = t
	}
	t.recordedAt = now
	ran = max(ran, time.Millisecond)
	t.actual.add(math.Log(ran.Seconds()))
	if a.step.Estimate > 0 {
		t.ratio.add(math.Log(ran.Seconds() / a.step.Estimate.Seconds()))
	}
	t.mean += (ran - t.mean) / time.Duration(min(t.actual.samples, meanWindow))
	e.recordStep(t, StepID{a.id.Job, a.id.Occurrence, a.id.Step}, a.step.Tasks, ran)
}

// forgetRunTime makes room for another image by the one that has not run for the longest.
func (e *Engine) forgetRunTime() {
	if len(e.runTimes) < maxRunTimes {
		return
	}
	var oldest runTimeKey
	var at time.Time
	for key, t := range e.runTimes {
		if at.IsZero() || t.recordedAt.Before(at) {
			oldest, at = key, t.recordedAt
		}
	}
	delete(e.runTimes, oldest)
}

// recordStep adds the run time of a task to those of its step, and the step's to the key's when it is complete.
func (e *Engine) recordStep(t *runTime, id StepID, tasks int, ran time.Duration) {
	runs := e.stepRuns[id]
	if runs == nil {
		runs = &stepRuns{}
		e.stepRuns[id] = runs
	}
	runs.count, runs.sum, runs.longest = runs.count+1, runs.sum+ran, max(runs.longest, ran)
	if runs.count < tasks {
		return
	}
	delete(e.stepRuns, id)
	factor := float64(runs.longest) * float64(runs.count) / float64(runs.sum)
	t.steps++
	t.longest += (min(factor, maxStepFactor) - t.longest) / float64(min(t.steps, meanWindow))
}

// expected returns the expected run time of a task of a step. Declared estimates are used where they have predicted
// run times better than the mean has, corrected by their usual error.
func (e *Engine) expected(q fleet.QueueID, s *fleet.Step) time.Duration {
	return e.runTimes[newRunTimeKey(q, s.Image)].expected(s)
}

func (t *runTime) expected(s *fleet.Step) time.Duration {
	if t == nil || t.actual.samples < minSamples {
		return s.Estimate
	}
	if s.Estimate > 0 && t.ratio.samples >= minSamples && t.ratio.variance < t.actual.variance {
		return time.Duration(float64(s.Estimate) * math.Exp(t.ratio.mean+t.ratio.variance/2))
	}
	return t.mean
}

// deviation returns the standard deviation of the logarithm of the run time of a task from the expected one.
func (e *Engine) deviation(q fleet.QueueID, s *fleet.Step) float64 {
	t := e.runTimes[newRunTimeKey(q, s.Image)]
	switch {
	case t == nil || t.actual.samples < minSamples:
		return unknownDeviation
	case s.Estimate > 0 && t.ratio.samples >= minSamples:
		return math.Sqrt(min(t.ratio.variance, t.actual.variance))
	}
	return math.Sqrt(t.actual.variance)
}

// unknownDeviation is the deviation from declared estimates before any run was observed: a factor of two.
const unknownDeviation = 0.7

// expectedStep returns the expected time from the start of a step's tasks to the end of the last one.
func (e *Engine) expectedStep(q fleet.QueueID, s *fleet.Step) time.Duration {
	t := e.runTimes[newRunTimeKey(q, s.Image)]
	expected := t.expected(s)
	if t != nil && t.steps >= minSamples && s.Tasks > 1 {
		expected = time.Duration(float64(expected) * t.longest)
	}
	return expected
}
