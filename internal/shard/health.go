package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Ejection of endpoints on which runs fail.
const (
	// ejectionThreshold is the number of failed jobs, or of stalled runs, without a success in between after
	// which an endpoint is ejected. A single failure is common: a small share of all runs fails by chance.
	ejectionThreshold = 2
	// minEjection and maxEjection bound the duration of an ejection, which doubles each time.
	minEjection = 2 * time.Second
	maxEjection = 16 * time.Second
	// maxEjectedPercent is the largest share of a service's endpoints, of those that have answered, that is ejected
	// at a time, so that faulty jobs never take all endpoints out of use.
	maxEjectedPercent = 40
	// jobFaultEndpoints is the number of endpoints on which a job has to fail before its failures are attributed
	// to the job.
	jobFaultEndpoints = 2
)

// recordSuccess resets the failure counts of a worker and ends its probation. A run that was assigned before the
// ejection says nothing about a worker on probation.
func (w *worker) recordSuccess(a *assignment) {
	if !w.onProbation() || a.trial {
		w.failures, w.stalled, w.ejectedFor = 0, 0, 0
	}
}

// recordFailure counts a failed run of a job against the worker, unless the job fails on other workers too.
func (e *Engine) recordFailure(now time.Time, w *worker, id fleet.JobID) {
	endpoints := e.failedOn[id]
	if endpoints == nil {
		endpoints = map[fleet.EndpointID]bool{}
		e.failedOn[id] = endpoints
	}
	if endpoints[w.Endpoint] {
		return
	}
	endpoints[w.Endpoint] = true
	if len(endpoints) >= jobFaultEndpoints {
		for endpoint := range endpoints {
			if other := e.workers[endpoint]; other != nil && other != w && other.failures > 0 {
				other.failures--
			}
		}
		return
	}
	w.failures++
	if w.failures >= ejectionThreshold {
		e.eject(now, w)
	}
}

// eject withholds tasks from a worker for a while. After that it is on probation: it gets the tasks of one trial at
// a time until one of them succeeds.
func (e *Engine) eject(now time.Time, w *worker) {
	ejected, contacted := 0, 0
	for _, other := range e.workers {
		if other.contacted {
			contacted++
		}
		if other != w && now.Before(other.ejectedUntil) {
			ejected++
		}
	}
	if (ejected+1)*100 > contacted*maxEjectedPercent {
		return
	}
	w.ejectedFor = min(max(minEjection, 2*w.ejectedFor), maxEjection)
	w.ejectedUntil = now.Add(w.ejectedFor)
	e.Observer.Ejected(w.Endpoint, w.failures, w.ejectedFor)
}

// onProbation reports whether a worker was ejected and no run that was assigned since has succeeded on it.
func (w *worker) onProbation() bool { return w.ejectedFor > 0 }

// acceptsTrial reports whether a worker may get a task as far as its probation is concerned: it is on none, or no run
// that was assigned during the probation may yet show that the worker is sound. Earlier runs show nothing that is not
// known, and a lasting one would never end. The members of a step that starts at once are one trial, because none of
// them can start alone.
func (w *worker) acceptsTrial(now time.Time, id fleet.TaskID, step fleet.Step) bool {
	if !w.onProbation() {
		return true
	}
	startsAtOnce := step.Gang || step.SameRack
	for other, a := range w.runs {
		if a.isOnTrial(now) && !(startsAtOnce && sameStep(other, id)) {
			return false
		}
	}
	return true
}

// isOnTrial reports whether a run may yet show that its worker is sound. A lasting run does so when it comes to work,
// which ends the probation; it has no end to wait for if it never does.
func (a *assignment) isOnTrial(now time.Time) bool {
	return a.trial && (!a.step.Lasting || a.startedAt.IsZero() || now.Sub(a.startedAt) < lastingTrialTime)
}

// lastingTrialTime is how long a lasting task may take to come to work before a worker on probation gets another task.
const lastingTrialTime = 3 * time.Second
