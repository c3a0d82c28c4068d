package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/election"
)

// knowledge is how much of what was stored has reached the engine. A time is zero before the first complete read.
type knowledge struct {
	// jobs and cancellations of the service that were stored before this time are known.
	jobs time.Time
	// endpoints whose rows were stored before this time are known as these rows describe them.
	endpoints time.Time
}

const (
	// minKnowledgeAge is the least age of what is known at which tasks still start. It exceeds the time between two
	// reads, so that a platform with short bounds is served.
	minKnowledgeAge = 800 * time.Millisecond
	// unnoticedTime is the longest time for which reads of changes may hear of none without a sign: a renewal of the
	// service's lease shows a newer version of the store.
	unnoticedTime = election.RenewInterval
	maxPercent    = 100
)

// JobsKnown records that the engine has all jobs and cancellations that were stored before a time.
func (e *Engine) JobsKnown(upTo time.Time) { e.known.jobs = later(e.known.jobs, upTo) }

// EndpointsKnown records that the engine has all changes of endpoints that were stored before a time.
func (e *Engine) EndpointsKnown(upTo time.Time) { e.known.endpoints = later(e.known.endpoints, upTo) }

// KnowledgeAge returns how long ago the jobs and the endpoints were read that the engine knows.
func (e *Engine) KnowledgeAge(now time.Time) (jobs, endpoints time.Duration) {
	return since(now, e.known.jobs), since(now, e.known.endpoints)
}

// Current reports whether what the engine knows is recent enough to start tasks: none of a job that was cancelled since,
// and none on an endpoint that leaves since, may start after its bound.
func (e *Engine) Current(now time.Time) bool {
	return isCurrent(now, e.known.jobs, e.Bounds.CancelTime) && isCurrent(now, e.known.endpoints, e.Bounds.DrainTime)
}

// isCurrent reports whether an order that rests on what was stored before a time reaches its endpoint within the bound
// after whatever was stored since. A bound of 0 holds always.
func isCurrent(now, upTo time.Time, bound time.Duration) bool {
	if bound == 0 {
		return true
	}
	maxAge := bound - bound/maxPercent*clockDriftPercent - orderTransit - unnoticedTime
	return now.Sub(upTo) <= max(maxAge, minKnowledgeAge)
}
