package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Load is the demand that a service puts on its endpoints, as processor capacity. A task that needs a larger part of
// an endpoint's memory than of its processor counts for that part.
type Load struct {
	// Used is the demand of runs that execute or are being started or stopped. Waiting is that of tasks which
	// could start at once and still meet their objective, and of lasting tasks.
	Used, Waiting fleet.Millicores
	// Backlog is the work of the tasks that Waiting counts, apart from lasting ones.
	Backlog fleet.Work
	// Late is the demand of tasks which could start at once but can no longer meet their objective, or whose account has
	// submitted more than its weight.
	Late fleet.Millicores
	// Lasting is the part of Used that lasting tasks account for, UsedLate that of jobs that can no longer meet their
	// objective.
	Lasting, UsedLate fleet.Millicores
	// Stranded is the number of endpoints that lasting tasks need because they fit on none of the present ones.
	Stranded int
	// Arrived is the work of all jobs that the holder has accepted.
	Arrived fleet.Work
	// ArrivedJobs is their number.
	ArrivedJobs int
	// PerEndpoint is the average processor capacity of the endpoints that have answered, or of all before any has.
	PerEndpoint fleet.Millicores
	// Endpoints lists the load of each endpoint that may get work.
	Endpoints []EndpointLoad
}

// EndpointLoad is the load of one endpoint.
type EndpointLoad struct {
	Endpoint fleet.EndpointID
	// Capacity is the endpoint's processor capacity.
	Capacity fleet.Millicores
	Used     fleet.Millicores
	// Runs counts runs, including those that are being started or stopped.
	Runs int
	// Lasting is set when one of the runs belongs to a lasting step.
	Lasting bool
}

// Load returns the current demand.
func (e *Engine) Load(now time.Time) Load {
	l := Load{Arrived: e.arrived, ArrivedJobs: e.arrivedJobs}
	mean := e.meanCapacity()
	late := e.lateJobs(now)
	l.PerEndpoint = mean.Millicores
	for _, w := range e.sorted() {
		load := EndpointLoad{Endpoint: w.Endpoint, Capacity: w.Capacity.Millicores, Runs: len(w.runs)}
		for id, a := range w.runs {
			demand := dominantDemand(a.step.CountedDemand(), mean)
			load.Used += demand
			switch {
			case a.step.Lasting:
				load.Lasting = true
				l.Lasting += demand
			case late(job.Key{Job: id.Job, Occurrence: id.Occurrence}):
				l.UsedLate += demand
			}
		}
		l.Used += load.Used
		for _, a := range e.stranded(now, w) {
			l.Stranded++
			l.Waiting += max(dominantDemand(a.step.CountedDemand(), mean), minWaitingDemand)
		}
		if w.listed && !w.Draining && w.contacted {
			l.Endpoints = append(l.Endpoints, load)
		}
	}
	e.loadBuffer = e.candidates(now, e.loadBuffer)
	limited := e.limited()
	for _, c := range e.loadBuffer {
		step := &c.occurrence.Job.Steps[c.step]
		demand, count := dominantDemand(step.CountedDemand(), mean), 0
		for t := range c.occurrence.Tasks[c.step] {
			if task := &c.occurrence.Tasks[c.step][t]; !task.Done && !task.Running() && limited.take(c.occurrence.Job.Account, step.Demand) {
				count++
			}
		}
		switch {
		case c.lasting:
			// Lasting tasks are never late: they have to run as soon as they can.
			l.Waiting += max(demand, minWaitingDemand) * fleet.Millicores(count)
			if e.choose(now, c.occurrence.ID(c.step, 0), *step, nil) == nil {
				l.Stranded += (count + tasksPerEndpoint(*step, mean) - 1) / tasksPerEndpoint(*step, mean)
			}
		case c.rank.Late, c.rank.Excess:
			l.Late += demand * fleet.Millicores(count)
		default:
			waiting := max(demand, minWaitingDemand) * fleet.Millicores(count)
			l.Waiting += waiting
			l.Backlog += fleet.Work(min(float64(waiting)*e.expected(c.occurrence.Job.Queue, step).Seconds(), maxWork))
		}
	}
	return l
}

// lateJobs returns a function that reports whether an active job can no longer meet its objective. It ranks each job
// once and only those that are asked for: there may be thousands without a run.
func (e *Engine) lateJobs(now time.Time) func(job.Key) bool {
	known := map[job.Key]bool{}
	return func(key job.Key) bool {
		late, ok := known[key]
		if !ok {
			o := e.active[key]
			if o != nil {
				r := e.rank(now, o)
				late = r.Late || r.Excess
			}
			known[key] = late
		}
		return late
	}
}

// meanCapacity returns the average capacity of the endpoints that have answered, or of all before any has: an entry of
// the registry may name an endpoint that doesn't exist.
func (e *Engine) meanCapacity() fleet.Capacity {
	if e.mean == nil {
		mean := e.computeMeanCapacity()
		e.mean = &mean
	}
	return *e.mean
}

func (e *Engine) computeMeanCapacity() fleet.Capacity {
	var listed, contacted capacityMean
	for _, w := range e.workers {
		if !w.described || w.Draining {
			continue
		}
		listed.add(w.Capacity)
		if w.contacted {
			contacted.add(w.Capacity)
		}
	}
	if contacted.count > 0 {
		return contacted.mean()
	}
	return listed.mean()
}

// capacityMean is the mean of capacities.
type capacityMean struct {
	sum   fleet.Capacity
	count int64
}

func (m *capacityMean) add(c fleet.Capacity) { m.sum, m.count = m.sum.Plus(c), m.count+1 }

func (m *capacityMean) mean() fleet.Capacity {
	n := max(1, m.count)
	return fleet.Capacity{Millicores: m.sum.Millicores / fleet.Millicores(n), Memory: m.sum.Memory / fleet.Megabytes(n)}
}

// dominantDemand returns the processor capacity that a task needs, or the part of an endpoint's processor that
// corresponds to the part of the memory that it needs if that is larger.
func dominantDemand(need, endpoint fleet.Capacity) fleet.Millicores {
	if endpoint.Memory <= 0 {
		return need.Millicores
	}
	byMemory := float64(need.Memory) / float64(endpoint.Memory) * float64(endpoint.Millicores)
	return max(need.Millicores, fleet.Millicores(byMemory))
}

// tasksPerEndpoint returns how many tasks of a step an empty endpoint can run, at least 1.
func tasksPerEndpoint(step fleet.Step, endpoint fleet.Capacity) int {
	n, need := step.Tasks, step.CountedDemand()
	if step.MaxPerEndpoint > 0 {
		n = min(n, step.MaxPerEndpoint)
	}
	if need.Millicores > 0 {
		n = min(n, int(endpoint.Millicores/need.Millicores))
	}
	if need.Memory > 0 {
		n = min(n, int(endpoint.Memory/need.Memory))
	}
	return max(1, n)
}

// stranded returns the lasting tasks that have to leave a worker and fit on no other.
func (e *Engine) stranded(now time.Time, w *worker) []*assignment {
	if !w.Draining && !now.Before(w.cordonedUntil) {
		return nil
	}
	var list []*assignment
	for id, a := range w.runs {
		if a.step.Lasting && e.choose(now, id, a.step, nil) == nil {
			list = append(list, a)
		}
	}
	return list
}

// workOf returns the work of a job.
func (e *Engine) workOf(j *fleet.Job) fleet.Work {
	mean := e.meanCapacity()
	var work float64
	for _, s := range j.Steps {
		if !s.Lasting {
			work += float64(s.Tasks) * float64(dominantDemand(s.CountedDemand(), mean)) * e.expected(j.Queue, &s).Seconds()
		}
	}
	return fleet.Work(min(work, maxWork))
}

// maxWork bounds the work of one job, so that sums of odd values do not overflow: a billion core-seconds.
const maxWork = 1 << 40

// minWaitingDemand is the least demand that a waiting task counts for: a fill task has no processor demand but
// still needs an endpoint.
const minWaitingDemand fleet.Millicores = 1000
