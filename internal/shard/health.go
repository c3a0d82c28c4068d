package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Setting endpoints aside.
const (
	// failuresBeforeAside is how many jobs in a row have to fail on an endpoint, none succeeding, before
	// it is set aside. One failure is common: a small share of all runs fails by itself.
	failuresBeforeAside = 2
	// firstAside and longestAside bound how long an endpoint is set aside; each time doubles.
	firstAside   = 2 * time.Second
	longestAside = 16 * time.Second
	// asideShare is the largest share of a pool that is set aside, in percent, so that a fault of the
	// jobs never takes all endpoints away.
	asideShare = 40
	// blamedEndpoints is on how many endpoints a job fails before the failures count as its own.
	blamedEndpoints = 2
)

// succeeded clears the failures of a worker.
func (e *Engine) succeeded(w *worker) {
	w.failures, w.stalled, w.asideFor = 0, 0, 0
}

// failed counts a failed run of a job against the worker, unless the job fails on other workers too.
func (e *Engine) failed(now time.Time, w *worker, id fleet.JobID) {
	blamed := e.blame[id]
	if blamed == nil {
		blamed = map[fleet.EndpointID]bool{}
		e.blame[id] = blamed
	}
	if blamed[w.Endpoint] {
		return
	}
	blamed[w.Endpoint] = true
	if len(blamed) >= blamedEndpoints {
		for endpoint := range blamed {
			if other := e.workers[endpoint]; other != nil && other != w && other.failures > 0 {
				other.failures--
			}
		}
		return
	}
	w.failures++
	if w.failures >= failuresBeforeAside {
		e.setAside(now, w)
	}
}

// setAside gives a worker no work for a while. After that a single task tries it again.
func (e *Engine) setAside(now time.Time, w *worker) {
	aside := 0
	for _, other := range e.workers {
		if other != w && now.Before(other.asideUntil) {
			aside++
		}
	}
	if (aside+1)*100 > len(e.workers)*asideShare {
		return
	}
	w.asideFor = min(max(firstAside, 2*w.asideFor), longestAside)
	w.asideUntil = now.Add(w.asideFor)
	e.Observer.SetAside(w.Endpoint, w.failures, w.asideFor)
}

// onTrial reports whether a worker was set aside and has not shown a success since.
func (w *worker) onTrial() bool { return w.asideFor > 0 }
