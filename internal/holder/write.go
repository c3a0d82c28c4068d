package holder

import (
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/internal/shard"
)

// commitInterval is the shortest time between two batches of a service. Each transaction is charged, and one that
// collects the changes of a moment writes each row once.
const commitInterval = 20 * time.Millisecond

// runDuties places tasks, passes progress to the writers and sends orders.
func (s *Scheduler) runDuties() {
	now := s.Clock.Now()
	s.wakeAt = time.Time{}
	s.divideLimits(now)
	for _, h := range s.sorted() {
		if h.engine == nil || !h.loaded {
			s.write(now, h, nil)
			s.sendOrders(h)
			continue
		}
		h.engine.Plan(now)
		s.wakeBy(h.engine.PlanDue())
		var batch *shard.Batch
		if due := h.batchedAt.Add(commitInterval); now.Before(due) {
			s.wakeBy(due)
		} else if !h.writing && !h.releasing && !s.storesProcesses(now, h) {
			next, err := h.engine.NextBatch(progressEncoder{})
			if err != nil {
				s.Log.Error("scheduler: progress cannot be encoded", zap.String("service", string(h.service)), zap.Error(trace.Unwrap(err)))
				s.drop(h, "progress cannot be encoded")
				continue
			}
			batch = next
			if batch != nil {
				h.batchedAt = now
			}
		}
		s.write(now, h, batch)
		for _, r := range h.engine.AdviceRequests() {
			if s.Advice.Push(r) != nil {
				h.engine.ApplyAdvice(now, shard.Advice{Request: r, Failed: true})
			}
		}
		s.sendOrders(h)
	}
}

// storesProcesses reports whether the next write stores the processes of endpoints and leaves no room for a batch.
func (s *Scheduler) storesProcesses(now time.Time, h *heldDuty) bool {
	return h.processes.due(now) && h.renewalDue(now) && !h.processes.fitBesideBatch()
}

// sendOrders sends the orders of a held service.
func (s *Scheduler) sendOrders(h *heldDuty) {
	if h.engine == nil {
		return
	}
	for _, o := range h.engine.Orders() {
		if !h.releasing {
			h.links.send(o)
		}
	}
}

// wakeBy has the duties run again at a time, at the latest; zero for no time.
func (s *Scheduler) wakeBy(at time.Time) {
	if !at.IsZero() && (s.wakeAt.IsZero() || at.Before(s.wakeAt)) {
		s.wakeAt = at
	}
}

// renewalDue reports whether the lease is to be renewed.
func (h *heldDuty) renewalDue(now time.Time) bool {
	since := now.Sub(h.renewedAt)
	return since >= election.RenewInterval || (h.boundsDue || h.fullDue) && since >= boundsInterval
}

// write passes a batch, a renewal that is due, or both to the duty's writer.
func (s *Scheduler) write(now time.Time, h *heldDuty, batch *shard.Batch) {
	if h.engine == nil || h.writing || h.releasing {
		return
	}
	due := h.renewalDue(now)
	if batch == nil && !due {
		return
	}
	w := Write{Renew: due}
	if batch != nil {
		w.Puts, w.Removes = rowsOf(h.chain.Duty, batch)
	}
	if due {
		h.renewedAt, h.boundsDue, h.fullDue = now, false, false
		w.Full, w.Moved = h.full, s.moved(now, h)
		w.Bounds = storedBounds(now, h.engine.PrepareBounds(now))
		// A bound that is dropped and the process that has settled with it are stored together.
		if h.loaded && (batch == nil || h.processes.fitBesideBatch()) && (h.processes.settle(now, h.engine) || h.processes.due(now)) {
			w.Puts = append(w.Puts, h.processes.rows(now, h.chain.Duty)...)
		}
	}
	h.writing, h.batchWriting, h.renewing = true, batch != nil, due
	// The ring has room: one write at a time is in flight.
	_ = h.writes.Push(w)
}

func (s *Scheduler) applyWritten(now time.Time, w *Written) {
	h := s.held[w.Duty]
	if h == nil || h.chain.Epoch != w.Epoch {
		return
	}
	switch {
	case h.releasing:
		s.drop(h, "released at shutdown")
		return
	case w.Err != nil:
		s.drop(h, "another entry holds the lease")
		return
	}
	h.writing = false
	if h.renewing {
		h.confirmedAt = w.SentAt
		h.engine.BoundsStored(now)
		h.engine.Confirm(now, h.confirmedAt.Add(holderValidity))
	}
	if h.batchWriting {
		h.engine.Committed(now)
		h.releaseEnded()
	}
}

// observePermission logs when a holder loses the permission to order anything, and when it has it again.
func (s *Scheduler) observePermission(now time.Time, h *heldDuty) {
	if suspended := !h.engine.Permitted(now); suspended != h.suspended {
		h.suspended = suspended
		s.Log.Info("scheduler: permission of the holder changed", zap.String("duty", string(h.chain.Duty)), zap.Uint64("epoch", uint64(h.chain.Epoch)),
			zap.Bool("suspended", suspended), zap.Duration("since-confirmed-renewal", now.Sub(h.confirmedAt)))
	}
}

// observeKnowledge logs when a holder stops to start tasks because what it knows of jobs or endpoints is too old, and when it
// goes on.
func (s *Scheduler) observeKnowledge(now time.Time, h *heldDuty) {
	if outdated := h.loaded && !h.engine.Current(now); outdated != h.outdated {
		h.outdated = outdated
		jobs, endpoints := h.engine.KnowledgeAge(now)
		s.Log.Info("scheduler: knowledge of the holder changed", zap.String("duty", string(h.chain.Duty)), zap.Uint64("epoch", uint64(h.chain.Epoch)),
			zap.Bool("outdated", outdated), zap.Duration("jobs-age", jobs), zap.Duration("endpoints-age", endpoints))
	}
}

// drop ends the work of a duty in this process.
func (s *Scheduler) drop(h *heldDuty, reason string) {
	h.cancel()
	delete(s.held, h.chain.Duty)
	s.stopReading()
	s.Log.Info("scheduler: lease given up", zap.String("duty", string(h.chain.Duty)), zap.Uint64("epoch", uint64(h.chain.Epoch)), zap.String("reason", reason))
}

// release releases a lease at shutdown, so that the next holder need not wait for it to expire.
func (s *Scheduler) release(h *heldDuty) {
	if h.releasing || h.writing {
		return
	}
	h.releasing, h.writing = true, true
	if h.engine == nil {
		_ = h.release.Push(struct{}{}) // The ring has room for the only token.
		return
	}
	now := s.Clock.Now()
	_ = h.writes.Push(Write{Release: true, Bounds: storedBounds(now, h.engine.PrepareRelease(now))})
}

// expiryInterval is the time between checks for jobs that need not be kept.
const expiryInterval = 5 * time.Second

// expire has the acceptance rows of old jobs removed, and the rows of withdrawn ones. The progress rows of a job follow
// once that is seen.
func (s *Scheduler) expire(now time.Time) {
	for _, h := range s.sorted() {
		if h.engine == nil || !h.loaded {
			continue
		}
		removals := map[int]*Submission{}
		for _, id := range h.engine.Expired(now) {
			n := IntakeIndex(id)
			if r := removals[n]; r == nil {
				removals[n] = &Submission{Remove: id, Service: h.service, Cancelled: h.cancelled[id]}
			} else if len(r.Further) < maxRemovals-1 {
				r.Further = append(r.Further, Removal{Job: id, Cancelled: h.cancelled[id]})
			}
		}
		for n, r := range removals {
			// When the ring is full, the next check finds the jobs again.
			_ = s.Intakes[n].Push(IntakeEvent{Submission: r})
		}
		for _, id := range h.withdrawn(now, s.Bounds.Retention()) {
			_ = s.Intakes[IntakeIndex(id)].Push(IntakeEvent{Submission: &Submission{Remove: id, Service: h.service, Withdrawn: true}})
		}
	}
}
