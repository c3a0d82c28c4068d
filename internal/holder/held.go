package holder

import (
	"context"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/follow"
	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// heldDuty is a duty whose lease this entry holds.
type heldDuty struct {
	chain   *Chain
	service fleet.ServiceID
	// engine is nil for maintenance.
	engine *shard.Engine
	// inherited is what earlier holders have stored of the leases that they granted.
	inherited shard.Inheritance
	takenAt   time.Time
	// jobs are those that are known to be stored, cancelled those whose cancellation is.
	jobs      map[fleet.JobID]*fleet.Job
	cancelled map[fleet.JobID]bool
	// withdrawnAt is when withdrawn jobs of the service were first seen.
	withdrawnAt map[fleet.JobID]time.Time
	// payloads leaves out payloads while the jobs are first read.
	payloads *payloadReducer
	// jobsRead is set once all jobs that were stored before the lease was taken are known.
	jobsRead bool
	// progress is nil until the progress of earlier holders has been read, and again once it is loaded.
	progress *ProgressRead
	// processes are the processes of endpoints that this holder or an earlier one knew.
	processes *processes
	// loaded is set once the engine has the jobs, the progress and the endpoints.
	loaded bool
	// refresh requests reads from the follower of the jobs.
	refresh *ring.Ring[follow.RefreshRequest]
	writes  *ring.Ring[Write]
	// release receives a token when the maintenance duty is to release its lease.
	release      *ring.Ring[struct{}]
	writing      bool
	batchWriting bool
	renewing     bool
	// batchedAt is when the last batch was passed to the writer.
	batchedAt time.Time
	renewedAt time.Time
	// suspended is set while the engine may order nothing, outdated while it may start nothing because what it knows is
	// too old.
	suspended, outdated bool
	// unloaded is how much memory the jobs take while the service is not loaded.
	unloaded fleet.Bytes
	// queues holds the configured queues, and whether their jobs run in the service.
	queues map[fleet.QueueID]bool
	// mayHaveMoved is set while there may be waiting jobs of queues that the configuration sends elsewhere now.
	mayHaveMoved bool
	// full is set while there is no memory for further jobs, fullDue until a renewal says so.
	full, fullDue bool
	// boundsDue is set while the stored bounds of leases are out of date.
	boundsDue bool
	// confirmedAt is when the last renewal that took effect was sent. The next holder sees renewals only.
	confirmedAt time.Time
	releasing   bool
	links       *routes
	// waitingJobs is the number of waiting jobs of each queue as counted at waitingAt.
	waitingJobs map[fleet.QueueID]int
	waitingAt   time.Time
	ctx         context.Context
	cancel      context.CancelFunc
}

// accept adds a stored job.
func (h *heldDuty) accept(now time.Time, j *fleet.Job) {
	if h.jobs[j.ID] != nil || j.Service != h.service {
		return
	}
	h.jobs[j.ID] = j
	h.mayHaveMoved = h.mayHaveMoved || !h.queues[j.Queue]
	h.unloaded += job.Footprint(j)
	if h.loaded {
		h.engine.Accept(j)
		if h.cancelled[j.ID] {
			h.engine.Cancel(now, j.ID)
		}
	}
}

// cancelJob adds a stored cancellation.
func (h *heldDuty) cancelJob(now time.Time, id fleet.JobID) {
	h.cancelled[id] = true
	if h.loaded && h.jobs[id] != nil {
		h.engine.Cancel(now, id)
	}
}

// forget removes a job whose rows were removed.
func (h *heldDuty) forget(id fleet.JobID) {
	if j := h.jobs[id]; j != nil {
		h.unloaded -= job.Footprint(j)
		if h.loaded {
			h.engine.Forget(id)
		}
	}
	delete(h.jobs, id)
	delete(h.cancelled, id)
	delete(h.withdrawnAt, id)
}

// read starts the duties that read what the holder of a service needs. All of it is read after the lease was taken,
// so it holds whatever earlier holders have committed.
func (s *Scheduler) read(h *heldDuty) {
	h.jobs, h.cancelled = map[fleet.JobID]*fleet.Job{}, map[fleet.JobID]bool{}
	h.withdrawnAt = map[fleet.JobID]time.Time{}
	h.processes, h.payloads = &processes{}, &payloadReducer{clock: s.Clock}
	h.refresh = ring.New[follow.RefreshRequest]("jobs-refresh", refreshCapacity)
	var parts []rowstore.Part
	for n := range intakeParts {
		parts = append(parts, intakePart(n))
	}
	s.Duties.Start(h.ctx, &follow.Follower{
		Duty: "follow-" + h.chain.Duty, Table: JobTable(h.service), Parts: parts, Readers: jobReaders, Duties: s.Duties, Store: s.Store, Clock: s.Clock, Log: s.Log,
		Interval: follow.Every(jobsInterval), Inbox: h.refresh, Reducer: h.payloads,
		Sink: &jobSink{out: Outbox{Scheduler: s.Inbox}, log: s.Log, duty: h.chain.Duty, epoch: h.chain.Epoch, service: h.service},
	})
	s.Duties.Start(h.ctx, &progressReader{
		chain: h.chain, payloads: h.payloads, clock: s.Clock, log: s.Log, done: func(p *ProgressRead) { s.push(Event{Progress: p}) },
	})
	if s.stopRegistry == nil {
		ctx, cancel := context.WithCancel(s.ctx)
		s.stopRegistry = cancel
		s.Duties.Start(ctx, s.NewRegistry())
	}
}

const (
	// jobsInterval is the time between reads of a service's jobs. Most jobs are announced before.
	jobsInterval = 400 * time.Millisecond
	// refreshCapacity bounds the requests that wait for the next read; one is enough for all.
	refreshCapacity = 16
)

func (s *Scheduler) applyJobs(now time.Time, c *JobsChange) {
	h := s.held[c.Duty]
	if h == nil || h.chain.Epoch != c.Epoch {
		return
	}
	for _, j := range c.Jobs {
		h.accept(now, j)
	}
	for _, id := range c.Cancelled {
		h.cancelJob(now, id)
	}
	for _, id := range c.Withdrawn {
		if h.withdrawnAt[id].IsZero() {
			h.withdrawnAt[id] = now
		}
	}
	for _, id := range c.Removed {
		h.forget(id)
	}
	if c.All && !h.jobsRead {
		h.payloads.disable()
		h.jobsRead = true
		s.load(now, h)
	}
}

func (s *Scheduler) applyKnown(k *Known) {
	if k.Duty == "" {
		if s.endpoints != nil {
			s.endpointsKnown = k.UpTo
		}
		for _, h := range s.held {
			if h.engine != nil {
				h.engine.EndpointsKnown(s.endpointsKnown)
			}
		}
		return
	}
	if h := s.held[k.Duty]; h != nil && h.chain.Epoch == k.Epoch {
		h.engine.JobsKnown(k.UpTo)
	}
}

func (s *Scheduler) applyProgress(now time.Time, p *ProgressRead) {
	h := s.held[p.Duty]
	if h == nil || h.chain.Epoch != p.Epoch || h.loaded {
		return
	}
	h.progress = p
	h.processes.inherit(p.Processes)
	s.load(now, h)
}

func (s *Scheduler) applyEndpoints(now time.Time, l *EndpointList) {
	if s.stopRegistry == nil || s.endpoints == nil && !l.All {
		return // Left over from a service that is not held any more.
	}
	before := s.endpoints
	if l.All {
		s.endpoints = map[fleet.EndpointID]shard.EndpointInfo{}
	}
	for _, endpoint := range l.Endpoints {
		old, known := before[endpoint.Endpoint]
		endpoint.Restarted = known && (old.Restarted || old.StartMillis != endpoint.StartMillis)
		s.endpoints[endpoint.Endpoint] = endpoint
	}
	for _, id := range l.Removed {
		delete(s.endpoints, id)
	}
	for _, h := range s.held {
		s.updateEndpoints(now, h)
		s.load(now, h)
	}
}

func (s *Scheduler) updateEndpoints(now time.Time, h *heldDuty) {
	if h.engine == nil {
		return
	}
	var list []shard.EndpointInfo
	for _, endpoint := range s.endpoints {
		if endpoint.Service == h.service {
			endpoint.Restarted = h.processes.observe(endpoint) || endpoint.Restarted
			endpoint.Settled = h.processes.settled(endpoint.Endpoint)
			list = append(list, endpoint)
		}
	}
	h.processes.keep(now, s.endpoints)
	h.engine.SetEndpoints(now, list)
}

// stopReading ends the duty that sends the endpoints once no service is held.
func (s *Scheduler) stopReading() {
	for _, h := range s.held {
		if h.engine != nil {
			return
		}
	}
	if s.stopRegistry != nil {
		s.stopRegistry()
		s.stopRegistry, s.endpoints, s.endpointsKnown = nil, nil, time.Time{}
	}
}
