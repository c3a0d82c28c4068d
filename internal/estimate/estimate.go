// Package estimate learns the run times of requests, per service and request type.
package estimate

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	// defaultRunTime is the prior of a type that declares no run time.
	defaultRunTime = 100 * time.Millisecond
	// minWeight is the weight of one observation after many. At 5% the mean follows a change within some
	// tens of requests, and 2% of stragglers move it little.
	minWeight = 0.05
	// stragglerFactor times the mean is the straggler bound. Observations count up to the bound,
	// so that the stragglers themselves do not raise it.
	stragglerFactor = 4
	// minStragglerBound keeps scheduling noise from making stragglers of very short requests.
	minStragglerBound = 20 * time.Millisecond
)

// key identifies a request type within its service.
type key struct {
	service     fleet.ServiceID
	requestType fleet.RequestType
}

// mean is a running mean whose first observations weigh more.
type mean struct {
	value        time.Duration
	observations int
}

// Estimator holds the learned run times. One goroutine owns it. The zero value is ready for use.
type Estimator struct {
	means map[key]*mean
}

// Expected returns the expected run time of a type. The declared run time is used until the first
// observation.
func (e *Estimator) Expected(service fleet.ServiceID, rule fleet.RequestTypeRule) time.Duration {
	if m := e.means[key{service, rule.Name}]; m != nil {
		return m.value
	}
	if rule.DeclaredRunTime > 0 {
		return rule.DeclaredRunTime
	}
	return defaultRunTime
}

// IsObserved reports whether a run of a type was observed, so that its estimate is more than its prior.
func (e *Estimator) IsObserved(service fleet.ServiceID, name fleet.RequestType) bool {
	return e.means[key{service, name}] != nil
}

// StragglerBound returns the run time from which a request of a type counts as long.
func (e *Estimator) StragglerBound(service fleet.ServiceID, rule fleet.RequestTypeRule) time.Duration {
	return max(stragglerFactor*e.Expected(service, rule), minStragglerBound)
}

// Observe updates the estimate of a type with a run that ended with an answer.
func (e *Estimator) Observe(service fleet.ServiceID, rule fleet.RequestTypeRule, ran time.Duration) {
	ran = min(max(ran, 0), e.StragglerBound(service, rule))
	k := key{service, rule.Name}
	m := e.means[k]
	if m == nil {
		if e.means == nil {
			e.means = map[key]*mean{}
		}
		m = &mean{value: e.Expected(service, rule)}
		e.means[k] = m
	}
	m.observations++
	weight := max(1/float64(m.observations+1), minWeight)
	m.value += time.Duration(weight * float64(ran-m.value))
}
