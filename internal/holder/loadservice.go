package holder

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// acceptAll passes the jobs to the engine in the order of their acceptance, by which jobs are beyond their account's weight.
func (h *heldDuty) acceptAll() {
	for _, j := range slices.SortedFunc(maps.Values(h.jobs), func(a, b *fleet.Job) int {
		return cmp.Or(a.AcceptedAt.Compare(b.AcceptedAt), cmp.Compare(a.ID, b.ID))
	}) {
		h.engine.Accept(j)
	}
}

// load fills the engine once the jobs, the progress that earlier holders committed, and the endpoints are known.
func (s *Scheduler) load(now time.Time, h *heldDuty) {
	if h.engine == nil || h.loaded || !h.jobsRead || h.progress == nil || s.endpoints == nil {
		return
	}
	s.updatePolicies(h)
	s.updateEndpoints(now, h)
	h.acceptAll()
	rows := h.progress.Rows
	s.restore(now, h, rows)
	for id := range h.cancelled {
		h.engine.Cancel(now, id)
	}
	h.engine.Loaded(now)
	h.releaseEnded()
	h.progress, h.loaded, h.mayHaveMoved, s.limits.due = nil, true, true, true
	s.Log.Info("scheduler: service loaded", zap.String("duty", string(h.chain.Duty)), zap.Uint64("epoch", uint64(h.chain.Epoch)),
		zap.Int("jobs", len(h.jobs)), zap.Int("progress-rows", len(rows)), zap.Int("inherited-runs", h.engine.InheritedRuns()),
		zap.Duration("after", now.Sub(h.takenAt)), zap.Duration("predecessor-leases-left", max(0, -sinceOrZero(now, h.inherited.End))), zap.Int("predecessor-lease-bounds", len(h.inherited.Bounds)))
}

// restore passes the progress that earlier holders committed to the engine.
func (s *Scheduler) restore(now time.Time, h *heldDuty, rows []*ProgressRow) {
	skipped := func(row *ProgressRow, err error) {
		s.Log.Error("scheduler: progress row cannot be decoded, skipped", zap.String("service", string(h.service)),
			zap.String("job", string(row.Key.Job)), zap.Error(trace.Unwrap(err)))
	}
	parts := map[shard.RowKey][]byte{}
	for _, row := range rows {
		switch {
		case h.jobs[row.Key.Job] == nil:
			h.engine.ForgetRow(row.Key)
		case row.Key.IsSchedule:
			schedule, err := wire.DecodeSchedule(row.Value)
			if err != nil {
				skipped(row, err)
				continue
			}
			h.engine.RestoreSchedule(row.Key.Job, schedule)
		case row.Key.Part > 0:
			parts[row.Key] = row.Value
		}
	}
	for _, row := range rows {
		if h.jobs[row.Key.Job] == nil || row.Key.IsSchedule || row.Key.Part > 0 {
			continue
		}
		part := func(n int) []byte {
			key := row.Key
			key.Part = n
			return parts[key]
		}
		o, err := wire.DecodeProgress(row.Value, func(id fleet.JobID) *fleet.Job { return h.jobs[id] }, part)
		if err != nil {
			skipped(row, err)
			continue
		}
		h.engine.Restore(now, o)
	}
}
