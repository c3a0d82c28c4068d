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
	// PerEndpoint is the average processor capacity of the endpoints that have answered, or of all before any has.
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
	var listed, contacted capacityMean
	for _, w := range e.sorted() {
		l.Used += w.used.Millicores
		l.Waiting += e.stranded(now, w)
		if !w.listed || w.Draining {
			continue
		}
		listed.add(w.Capacity.Millicores)
		if !w.contacted {
			continue
		}
		contacted.add(w.Capacity.Millicores)
		load := EndpointLoad{Endpoint: w.Endpoint, Used: w.used.Millicores, Runs: len(w.runs)}
		for _, a := range w.runs {
			load.Lasting = load.Lasting || a.step.Lasting
		}
		l.Endpoints = append(l.Endpoints, load)
	}
	// An entry of the registry may name an endpoint that doesn't exist.
	if l.PerEndpoint = contacted.mean(); l.PerEndpoint == 0 {
		l.PerEndpoint = listed.mean()
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

// capacityMean is the mean of processor capacities.
type capacityMean struct{ sum, count fleet.Millicores }

func (m *capacityMean) add(c fleet.Millicores) { m.sum, m.count = m.sum+c, m.count+1 }

func (m *capacityMean) mean() fleet.Millicores { return m.sum / max(1, m.count) }

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
