package routing

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// healthState determines how much work an endpoint gets.
type healthState string

const (
	healthStateHealthy healthState = "healthy"
	// healthStateEjected means that the endpoint gets no work until its next probe.
	healthStateEjected healthState = "ejected"
	// healthStateProbing means that the endpoint gets one request at a time.
	healthStateProbing healthState = "probing"
)

const (
	// ejectScore is the score at which an endpoint is ejected: 5 plain failures in a row.
	ejectScore = 5
	// fastFailureScore is the score of a failure that came much faster than the usual run time. It is
	// higher because an endpoint that fails fast looks idle and attracts work.
	fastFailureScore = 2
	// A failure is fast when it comes within the expected run time divided by fastDivisor.
	fastDivisor = 4
	// minProbeInterval and maxProbeInterval bound the interval after which an ejected endpoint is probed.
	// It doubles with each ejection.
	minProbeInterval = time.Second
	maxProbeInterval = time.Minute
	// probesToReadmit is how many probes in a row must succeed before an endpoint is healthy again.
	probesToReadmit = 2
)

// health is the record of an endpoint's outcomes.
type health struct {
	state healthState
	// score counts recent failures; an answer lowers it.
	score int
	// answered is set when the endpoint has answered since it was last ejected.
	answered  bool
	ejections int
	probes    int
	probeAt   time.Time
	// readmitted is when the endpoint was last readmitted after an ejection.
	readmitted time.Time
	// index is the index in the queue of endpoints that wait for a probe, -1 outside.
	index int
}

// Verdict is what an attempt shows about the health of its endpoint.
type Verdict string

// Verdicts of an attempt.
const (
	// VerdictAnswered means that the endpoint answered.
	VerdictAnswered Verdict = "answered"
	// VerdictFailed means that the endpoint failed or returned no complete answer.
	VerdictFailed Verdict = "failed"
	// VerdictNeutral means that the attempt does not affect the endpoint's health.
	VerdictNeutral Verdict = "neutral"
)

// RecordVerdict updates the health of an endpoint after an attempt. ran is how long the attempt took and
// expected the usual run time of its request type.
func (r *Router) RecordVerdict(now time.Time, id fleet.EndpointID, verdict Verdict, ran, expected time.Duration) {
	e := r.endpoints[id]
	if e == nil {
		return
	}
	switch verdict {
	case VerdictAnswered:
		r.answered(now, e)
	case VerdictFailed:
		if e.health.state == healthStateEjected {
			// Attempts from before the ejection do not extend it.
			return
		}
		e.health.score++
		if ran < expected/fastDivisor {
			e.health.score += fastFailureScore - 1
		}
		e.health.probes = 0
		if e.health.state == healthStateProbing || e.health.score >= ejectScore {
			r.eject(now, e)
		}
	}
}

func (r *Router) answered(now time.Time, e *endpoint) {
	e.health.answered = true
	if e.health.state != healthStateProbing {
		e.health.score = max(e.health.score-1, 0)
		return
	}
	e.health.probes++
	if e.health.probes >= probesToReadmit {
		r.readmit(now, e)
	}
}

func (r *Router) readmit(now time.Time, e *endpoint) {
	r.probes.Remove(e)
	if e.pool != nil {
		e.pool.ejected--
	}
	ejections := e.health.ejections
	r.change(e, func() {
		e.health = health{state: healthStateHealthy, ejections: ejections, answered: true, readmitted: now, index: -1}
	})
}

// RetractFailure removes a failure from the health record of an endpoint, because the request was found
// to be its cause.
func (r *Router) RetractFailure(now time.Time, id fleet.EndpointID) {
	e := r.endpoints[id]
	if e == nil {
		return
	}
	e.health.score = max(e.health.score-fastFailureScore, 0)
	if e.health.state == healthStateEjected && e.health.score < ejectScore && e.health.ejections > 0 {
		e.health.ejections--
		r.readmit(now, e)
	}
}

// ServesWell reports whether an endpoint serves other requests: it is healthy, has answered, and its
// score is at most that of one failed request.
func (r *Router) ServesWell(id fleet.EndpointID) bool {
	e := r.endpoints[id]
	return e != nil && e.health.answered && e.health.state == healthStateHealthy && e.health.score <= fastFailureScore
}

// eject stops work to an endpoint, unless EjectPercent of its pool are ejected already.
func (r *Router) eject(now time.Time, e *endpoint) {
	wasHealthy := e.health.state == healthStateHealthy
	if e.pool == nil || wasHealthy && e.pool.ejected+1 > r.EjectPercent.Of(len(e.pool.byID)) {
		return
	}
	if wasHealthy {
		e.pool.ejected++
	}
	if now.Sub(e.health.readmitted) > maxProbeInterval && wasHealthy {
		e.health.ejections = 0
	}
	e.health.ejections++
	wait := min(minProbeInterval<<min(e.health.ejections-1, 10), maxProbeInterval)
	e.health.probeAt = now.Add(wait)
	r.change(e, func() { e.health.state, e.health.answered = healthStateEjected, false })
	r.probes.Push(e)
}

// startProbes lets ejected endpoints whose probe is due take one request at a time.
func (r *Router) startProbes(now time.Time) {
	for r.probes.Len() > 0 && !now.Before(r.probes.First().health.probeAt) {
		e := r.probes.First()
		r.probes.Remove(e)
		r.change(e, func() { e.health.state = healthStateProbing })
	}
}
