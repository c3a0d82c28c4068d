package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Load is the demand that a service puts on its endpoints.
type Load struct {
	// Used is the demand of runs that execute or are being started or stopped. Waiting is that of tasks which
	// could start at once and still meet their objective, and of lasting tasks which have to move.
	Used, Waiting fleet.Millicores
	// Late is the demand of tasks which could start at once but can no longer meet their objective.
	Late fleet.Millicores
	// PerEndpoint is the average processor capacity of an endpoint.
	PerEndpoint fleet.Millicores
	// Endpoints lists the load of each endpoint that may get work.
	Endpoints []EndpointLoad
}

// EndpointLoad is the load of one endpoint.
type EndpointLoad struct {
	Endpoint fleet.EndpointID
	Used     fleet.Millicores
	// Runs counts runs, including those that are being started or stopped.
	Runs int
	// Lasting is set when one of the runs belongs to a lasting step.
	Lasting bool
}

// Load returns the current demand.
func (e *Engine) Load(now time.Time) Load {
	var l Load
	var capacity fleet.Millicores
	listed := 0
	for _, w := range e.sorted() {
		l.Used += w.used.Millicores
		l.Waiting += e.stranded(now, w)
		if !w.listed || w.Draining {
			continue
		}
		listed++
		capacity += w.Capacity.Millicores
		if !w.contacted {
			continue
		}
		load := EndpointLoad{Endpoint: w.Endpoint, Used: w.used.Millicores, Runs: len(w.runs)}
		for _, a := range w.runs {
			load.Lasting = load.Lasting || a.step.Lasting
		}
		l.Endpoints = append(l.Endpoints, load)
	}
	if listed > 0 {
		l.PerEndpoint = capacity / fleet.Millicores(listed)
	}
	for _, c := range e.candidates(now) {
		step := c.occurrence.Job.Steps[c.step]
		for t := range c.occurrence.Tasks[c.step] {
			if task := &c.occurrence.Tasks[c.step][t]; !task.Done && !task.Running() {
				// Lasting tasks are never late: they have to run as soon as they can.
				if c.rank.Late && !c.lasting {
					l.Late += step.CountedDemand().Millicores
				} else {
					l.Waiting += max(step.CountedDemand().Millicores, minWaitingDemand)
				}
			}
		}
	}
	return l
}

// stranded returns the demand of lasting tasks that have to leave a worker and fit on no other.
func (e *Engine) stranded(now time.Time, w *worker) fleet.Millicores {
	if !w.Draining && !now.Before(w.cordonedUntil) {
		return 0
	}
	var demand fleet.Millicores
	for id, a := range w.runs {
		if a.step.Lasting && e.choose(now, id, a.step, nil) == nil {
			demand += max(a.step.CountedDemand().Millicores, minWaitingDemand)
		}
	}
	return demand
}

// minWaitingDemand is the least demand that a waiting task counts for: a fill task has no processor demand but
// still needs an endpoint.
const minWaitingDemand fleet.Millicores = 1000
