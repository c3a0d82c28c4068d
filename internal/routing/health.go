package routing

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// healthState is whether an endpoint gets work.
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
	// fastFailure weighs a failure that came much faster than the usual run time, because an
	// endpoint that fails fast looks idle and attracts work.
	fastFailure = 2
	// fastFraction of the expected run time is the time below which a failure is fast.
	fastFraction = 4
	// firstProbe and lastProbe bound the growing interval before an ejected endpoint is probed.
	firstProbe = time.Second
	lastProbe  = time.Minute
	// probesToReadmit is how many probes in a row must succeed.
	probesToReadmit = 2
)

// health is the record of an endpoint's outcomes.
type health struct {
	state healthState
	// score counts recent failures; an answer lowers it.
	score int
	// answered says that the endpoint gave an answer since it was last ejected.
	answered  bool
	ejections int
	probes    int
	probeAt   time.Time
	// readmitted is when the endpoint last got all its work back.
	readmitted time.Time
	// place is the place among the endpoints that wait for a probe, -1 outside.
	place int
}

// Verdict is what an attempt says of the endpoint's health.
type Verdict string

// Verdicts of an attempt.
const (
	// VerdictAnswered means that the endpoint did its work.
	VerdictAnswered Verdict = "answered"
	// VerdictFailed means that the endpoint failed, or that nothing complete came back.
	VerdictFailed Verdict = "failed"
	// VerdictNeutral says nothing of the endpoint's health.
	VerdictNeutral Verdict = "neutral"
)

// Judge records what an attempt says of an endpoint. Ran is how long the attempt took and expected
// the usual run time of its type.
func (r *Router) Judge(now time.Time, id fleet.EndpointID, verdict Verdict, ran, expected time.Duration) {
	e := r.endpoints[id]
	if e == nil {
		return
	}
	switch verdict {
	case VerdictAnswered:
		r.answered(now, e)
	case VerdictFailed:
		if e.health.state == healthStateEjected {
			// Attempts from before the ejection add nothing to it.
			return
		}
		e.health.score++
		if ran < expected/fastFraction {
			e.health.score += fastFailure - 1
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
		e.health = health{state: healthStateHealthy, ejections: ejections, answered: true, readmitted: now, place: -1}
	})
}

// Absolve takes back a failure of an endpoint for which a request was found to be the cause.
func (r *Router) Absolve(now time.Time, id fleet.EndpointID) {
	e := r.endpoints[id]
	if e == nil {
		return
	}
	e.health.score = max(e.health.score-fastFailure, 0)
	if e.health.state == healthStateEjected && e.health.score < ejectScore && e.health.ejections > 0 {
		e.health.ejections--
		r.readmit(now, e)
	}
}

// ServesWell reports whether an endpoint answers other requests: it has answered and has at most the
// failure of one request on its record.
func (r *Router) ServesWell(id fleet.EndpointID) bool {
	e := r.endpoints[id]
	return e != nil && e.health.answered && e.health.state == healthStateHealthy && e.health.score <= fastFailure
}

// eject stops work to an endpoint, unless the bound for its pool is reached.
func (r *Router) eject(now time.Time, e *endpoint) {
	fresh := e.health.state == healthStateHealthy
	if e.pool == nil || fresh && e.pool.ejected+1 > r.EjectPercent.Of(len(e.pool.byID)) {
		return
	}
	if fresh {
		e.pool.ejected++
	}
	if now.Sub(e.health.readmitted) > lastProbe && fresh {
		e.health.ejections = 0
	}
	e.health.ejections++
	wait := min(firstProbe<<min(e.health.ejections-1, 10), lastProbe)
	e.health.probeAt = now.Add(wait)
	r.change(e, func() { e.health.state, e.health.answered = healthStateEjected, false })
	r.probes.Push(e)
}

// startProbes lets ejected endpoints whose interval has passed take one request.
func (r *Router) startProbes(now time.Time) {
	for r.probes.Len() > 0 && !now.Before(r.probes.First().health.probeAt) {
		e := r.probes.First()
		r.probes.Remove(e)
		r.change(e, func() { e.health.state = healthStateProbing })
	}
}
