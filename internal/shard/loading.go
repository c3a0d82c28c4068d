package shard

import "time"

// loadingInterval is the time between renewals of an endpoint while the service is loaded. Its ends are not
// acknowledged yet, so that it would answer each renewal at once.
const loadingInterval = time.Second

// Renew renews the leases of all listed endpoints while the jobs and their progress are not known yet, so that no run
// ends because they take long to read. Until Loaded is called, lists show which process answers and its clock, and
// nothing else is concluded from them.
func (e *Engine) Renew(now time.Time) {
	e.loading = true
	for _, w := range e.sorted() {
		e.hold(now, w)
	}
}

// Loaded ends the time of Renew. It is called once the jobs were accepted, their progress restored and the endpoints
// set again: an earlier holder may have known other processes of them.
func (e *Engine) Loaded(now time.Time) {
	e.loaded = true
	for _, entry := range e.jobs {
		e.closeEnded(entry) // An earlier holder had no time to.
	}
	if !e.loading {
		return
	}
	e.loading = false
	for _, w := range e.workers {
		w.nextHoldAt = now
	}
}

// noteRestart records that an endpoint whose process has answered already had another one before. Deadlines that were
// set on the clock of that one may have granted the longest lease.
func (e *Engine) noteRestart(now time.Time, w *worker, settled bool) {
	if w.hasRestarted {
		return
	}
	w.hasRestarted = true
	switch {
	case settled:
	case w.contacted:
		e.outwaitLongestLease(now, w)
	default:
		w.mayHoldLongestLease = true
	}
}
