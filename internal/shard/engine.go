// Package shard runs the jobs of one service: it decides which task runs on which endpoint, keeps the
// leases of running tasks, and tells what has to be committed before an order may be sent. One entry at a
// time holds the lease of a service. The engine is free of network, logger and clock, so that tests play
// any schedule on it.
package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Bounds are the limits that the platform states.
type Bounds struct {
	// MaxLease is the longest lease that an endpoint grants.
	MaxLease time.Duration
	// StopTime is how long a stop takes at most.
	StopTime time.Duration
	// StatusLife is how long the state of an ended job is kept.
	StatusLife time.Duration
}

// Observer is told of decisions, for logs and metrics.
type Observer interface {
	Assigned(id fleet.TaskID, run fleet.RunNumber, at fleet.EndpointID, waited time.Duration)
	RunEnded(id fleet.TaskID, run fleet.RunNumber, at fleet.EndpointID, how fleet.RunEnd, ran time.Duration)
	JobEnded(id fleet.JobID, state fleet.JobState, after time.Duration)
	Cancelled(id fleet.JobID)
	Rejected(o Order, answer Answer)
	SetAside(at fleet.EndpointID, failures int, until time.Duration)
	Replaced(at fleet.EndpointID, lost int, reason string)
	// Reached is called when an endpoint answers again that had missed a renewal.
	Reached(at fleet.EndpointID)
}

// Engine is the state of one service's jobs. One goroutine uses it.
type Engine struct {
	Service fleet.ServiceID
	Token   fleet.FencingToken
	Bounds  Bounds
	// Observer is never nil.
	Observer Observer

	policies map[fleet.QueueID]job.Policy
	jobs     map[fleet.JobID]*jobEntry
	active   map[job.Key]*job.Occurrence
	workers  map[fleet.EndpointID]*worker
	// byID holds the workers in the order of their ids; it is nil after the set has changed.
	byID []*worker
	// plannedAt and crowded describe the last round of placement.
	plannedAt time.Time
	crowded   bool
	// times holds learned run times.
	times map[timeKey]*runTime
	// blame counts the endpoints on which a job's runs failed.
	blame map[fleet.JobID]map[fleet.EndpointID]bool
	// avoid is where the latest run of a task failed or stalled.
	avoid map[fleet.TaskID]fleet.EndpointID
	// away is since when a task of a lasting step has not been at work.
	away map[fleet.TaskID]time.Time

	// advice holds the tickets of steps; adviceAsked counts requests under way.
	advice      map[StepID]*stepAdvice
	adviceAsked int
	adviceOut   []AdviceRequest

	dirty map[job.Key]bool
	// drop lists ended jobs whose rows may be removed, orphans single rows without a job.
	drop    map[fleet.JobID]bool
	orphans map[job.Key]bool
	// batch is in the store's hands.
	batch *Batch
	out   []Order
	// fenced is set when an endpoint has seen a newer holder.
	fenced bool
	// takeover is until when runs on endpoints that do not answer may still execute under the lease of
	// the previous holder.
	takeover time.Time
	// evacuateFrom is when stops that the previous holder ordered have taken effect. Until then a task that
	// is being stopped may be listed as at work.
	evacuateFrom time.Time
}

// jobEntry is one job with its occurrences.
type jobEntry struct {
	job         *fleet.Job
	occurrences []*job.Occurrence
	// shown is the committed state.
	shown    fleet.JobState
	endedAt  time.Time
	canceled bool
	// begun is set once an endpoint has shown that a task of the job started. An order alone does not
	// show it: it may be lost or carried out seconds later.
	begun bool
}

// NewEngine returns an engine without jobs. PreviousEnd is when the last order of the previous holder
// has certainly lapsed at endpoints that this holder cannot reach.
func NewEngine(service fleet.ServiceID, token fleet.FencingToken, bounds Bounds, observer Observer, previousEnd time.Time) *Engine {
	return &Engine{
		Service: service, Token: token, Bounds: bounds, Observer: observer, takeover: previousEnd,
		policies: map[fleet.QueueID]job.Policy{},
		jobs:     map[fleet.JobID]*jobEntry{},
		active:   map[job.Key]*job.Occurrence{},
		workers:  map[fleet.EndpointID]*worker{},
		times:    map[timeKey]*runTime{},
		blame:    map[fleet.JobID]map[fleet.EndpointID]bool{},
		avoid:    map[fleet.TaskID]fleet.EndpointID{},
		away:     map[fleet.TaskID]time.Time{},
		advice:   map[StepID]*stepAdvice{},
		dirty:    map[job.Key]bool{},
		drop:     map[fleet.JobID]bool{},
		orphans:  map[job.Key]bool{},
	}
}

// leaseLength returns the length of the leases that this service uses.
func (e *Engine) leaseLength() time.Duration { return min(LeaseLength, e.Bounds.MaxLease) }

// SetPolicies replaces the configuration of the service's queues.
func (e *Engine) SetPolicies(policies []job.Policy) {
	clear(e.policies)
	for _, p := range policies {
		e.policies[p.Queue] = p
	}
}

// policy returns the policy of a queue. A queue that is no longer configured keeps serving the jobs that
// it accepted, with a policy that fits any queue.
func (e *Engine) policy(q fleet.QueueID) job.Policy {
	if p, ok := e.policies[q]; ok {
		return p
	}
	return job.Policy{Queue: q, Service: e.Service, MaxAttempts: defaultAttempts, Stretch: defaultStretch}
}

// Policy of a queue that was removed while it had jobs.
const (
	defaultAttempts = 4
	defaultStretch  = 2
)

// Restore adds an occurrence as read from the store.
func (e *Engine) Restore(now time.Time, o *job.Occurrence) {
	o.Restored()
	entry := e.entry(o.Job)
	entry.occurrences[o.Number] = o
	e.active[o.Key()] = o
	if o.State.Ended() {
		delete(e.active, o.Key())
	}
	for s := range o.Tasks {
		for t := range o.Tasks[s] {
			task := &o.Tasks[s][t]
			entry.begun = entry.begun || task.Noted > 0
			if task.Running() {
				w := e.workerOf(now, task.At)
				w.leaseEnd = later(w.leaseEnd, e.takeover)
				e.evacuateFrom = later(e.evacuateFrom, now.Add(e.Bounds.StopTime+stopSettle))
				w.add(&assignment{id: o.ID(fleet.StepIndex(s), fleet.TaskIndex(t)), run: task.Run, step: o.Job.Steps[s], phase: phaseOrdered, pace: 100, inherited: true})
			}
		}
	}
	entry.show()
}

// workerOf returns the worker of a process, and makes one when the process is known from an assignment
// only. An assignment to an earlier process under the same id is kept with the worker of that id, because
// the first answer tells which process runs.
func (e *Engine) workerOf(now time.Time, p fleet.EndpointProcess) *worker {
	w := e.workers[p.Endpoint]
	if w == nil {
		w = &worker{
			Runner: Runner{Endpoint: p.Endpoint, Born: p.Born}, runs: map[fleet.TaskID]*assignment{}, firstSeen: now,
			leaseEnd: e.takeover,
		}
		e.setWorker(w)
	}
	return w
}

// setWorker adds or replaces a worker.
func (e *Engine) setWorker(w *worker) {
	e.workers[w.Endpoint] = w
	e.byID = nil
}

func (e *Engine) entry(j *fleet.Job) *jobEntry {
	entry := e.jobs[j.ID]
	if entry != nil {
		return entry
	}
	entry = &jobEntry{job: j, shown: fleet.JobStatePending}
	for k := range j.Count() {
		o := job.New(j, fleet.Occurrence(k))
		entry.occurrences = append(entry.occurrences, o)
		e.active[o.Key()] = o
	}
	e.jobs[j.ID] = entry
	return entry
}

// Accept adds a job that the store holds. A job that is known is left as it is.
func (e *Engine) Accept(j *fleet.Job) { e.entry(j) }

// Cancel ends a job and stops its tasks. It returns false when the job is not known.
func (e *Engine) Cancel(now time.Time, id fleet.JobID) bool {
	entry := e.jobs[id]
	if entry == nil {
		return false
	}
	if entry.canceled {
		return true
	}
	entry.canceled = true
	changed := false
	for _, o := range entry.occurrences {
		if o.Cancel(now) {
			changed = true
			e.ended(now, o)
		}
	}
	if changed {
		e.Observer.Cancelled(id)
	}
	return true
}

// ended stops what still runs of an occurrence that has ended.
func (e *Engine) ended(now time.Time, o *job.Occurrence) {
	delete(e.active, o.Key())
	e.forgetAdvice(o)
	e.dirty[o.Key()] = true
	for s := range o.Tasks {
		for t := range o.Tasks[s] {
			task := &o.Tasks[s][t]
			id := o.ID(fleet.StepIndex(s), fleet.TaskIndex(t))
			delete(e.avoid, id)
			delete(e.away, id)
			if !task.Running() {
				continue
			}
			if w := e.workers[task.At.Endpoint]; w != nil {
				e.stop(now, w, id)
			}
		}
	}
	delete(e.blame, o.Job.ID)
	e.Observer.JobEnded(o.Job.ID, o.State, now.Sub(o.Job.Due(o.Number)))
}

// State returns the committed state of a job, and false when the job is not known.
func (e *Engine) State(id fleet.JobID) (fleet.JobState, bool) {
	entry := e.jobs[id]
	if entry == nil {
		return "", false
	}
	return entry.shown, true
}

// JobStatus is a job and its committed state.
type JobStatus struct {
	ID    fleet.JobID
	State fleet.JobState
}

// listedJobs bounds a list of jobs.
const listedJobs = 500

// Jobs returns the jobs of a queue by id, at most listedJobs.
func (e *Engine) Jobs(q fleet.QueueID) []JobStatus {
	var list []JobStatus
	for id, entry := range e.jobs {
		if entry.job.Queue == q {
			list = append(list, JobStatus{id, entry.shown})
		}
	}
	slices.SortFunc(list, func(a, b JobStatus) int { return cmp.Compare(a.ID, b.ID) })
	return list[:min(len(list), listedJobs)]
}

// Waiting returns how many jobs of each queue have not started a task, as far as this holder has seen.
func (e *Engine) Waiting() map[fleet.QueueID]int {
	counts := map[fleet.QueueID]int{}
	for _, entry := range e.jobs {
		if !entry.begun && !entry.state().Ended() {
			counts[entry.job.Queue]++
		}
	}
	return counts
}

// begin notes that an endpoint has started a task of a job.
func (e *Engine) begin(id fleet.JobID) {
	if entry := e.jobs[id]; entry != nil {
		entry.begun = true
	}
}

// Settled reports whether the orders of all earlier holders have lapsed.
func (e *Engine) Settled(now time.Time) bool { return !now.Before(e.takeover) }

// Fenced reports whether an endpoint has seen a newer holder.
func (e *Engine) Fenced() bool { return e.fenced }

// state derives the state of a job from its occurrences.
func (j *jobEntry) state() fleet.JobState {
	state, pending, done := fleet.JobStateRunning, true, true
	for _, o := range j.occurrences {
		switch o.State {
		case fleet.JobStateFailed, fleet.JobStateCancelled:
			return o.State
		}
		pending = pending && o.State == fleet.JobStatePending
		done = done && o.State == fleet.JobStateCompleted
	}
	switch {
	case done:
		state = fleet.JobStateCompleted
	case pending:
		state = fleet.JobStatePending
	}
	return state
}

// show publishes the state of the job once it is committed.
func (j *jobEntry) show() {
	j.shown = j.state()
	for _, o := range j.occurrences {
		j.endedAt = later(j.endedAt, o.EndedAt)
	}
}

// stop orders the end of a run. The run keeps its capacity until the endpoint lists the end.
func (e *Engine) stop(now time.Time, w *worker, id fleet.TaskID) {
	a := w.runs[id]
	if a == nil || now.Before(a.stopAgainAt) {
		return
	}
	if a.phase == phasePlanned && !e.inFlight(id) {
		// The assignment was never handed to the store, so no start was sent.
		e.lost(now, w, a, id)
		return
	}
	a.phase = phaseStopping
	a.stopAgainAt = now.Add(stopRepeat)
	e.out = append(e.out, e.order(w, OrderStop, a))
}

func (e *Engine) order(w *worker, kind OrderKind, a *assignment) Order {
	o := Order{Kind: kind, Service: e.Service, Process: w.Process(), Address: w.Address, Token: e.Token}
	if a != nil {
		o.Task, o.Run = a.id, a.run
	}
	return o
}

// Orders returns the orders that may be sent now.
func (e *Engine) Orders() []Order {
	out := e.out
	e.out = nil
	return out
}

// sorted returns the workers in a fixed order, so that a schedule can be played again.
func (e *Engine) sorted() []*worker {
	if e.byID != nil {
		return e.byID
	}
	list := make([]*worker, 0, len(e.workers))
	for _, w := range e.workers {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *worker) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	e.byID = list
	return list
}
