package holder

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// taker is the duty that takes one lease and reads the rows that its holder needs.
type taker struct {
	chain    *Chain
	previous election.Lease
	clock    clock.Clock
	done     func(Taken)
}

// Name implements duty.Duty.
func (t *taker) Name() fleet.DutyName { return "taker-" + t.chain.Duty }

// takeTimeout bounds the attempt to take a lease, in which a transaction without an answer is repeated.
const takeTimeout = 5 * time.Second

// Run implements duty.Duty. It reports once and then waits for its context to end.
func (t *taker) Run(ctx context.Context) error {
	t.done(t.take(ctx))
	<-ctx.Done()
	return trace.Wrap(ctx.Err())
}

// TakeLease takes the lease of a duty and reads the rows that its holder needs. It returns *LostLeaseError,
// *rowstore.RefusedError or *rowstore.UnknownError.
func TakeLease(ctx context.Context, c *Chain, previous election.Lease) (*Taken, error) {
	t := &taker{chain: c, previous: previous, clock: c.Clock}
	taken := t.take(ctx)
	return &taken, trace.Wrap(taken.Err)
}

func (t *taker) take(ctx context.Context) Taken {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	result := Taken{Duty: t.chain.Duty, SentAt: t.clock.Now()}
	if !t.previous.ChangedAt.IsZero() {
		result.Previous = t.previous.ChangedAt
		// A holder that released the lease soon after it took it may leave orders of its predecessors
		// outstanding.
		result.Released = t.previous.Released && t.previous.Settled
	}
	if err := t.chain.Take(ctx, t.previous); err != nil {
		result.Err = err
		return result
	}
	rows, _, err := scan(ctx, t.chain.Store, tableProgress, dutyPart(t.chain.Duty))
	if err != nil {
		result.Err = err
		return result
	}
	for _, row := range rows {
		if w, ok := waveRow(row); ok {
			result.Wave = append(result.Wave, w)
			continue
		}
		result.Progress = append(result.Progress, &ProgressRow{Value: row.Value})
	}
	result.Chain = t.chain
	return result
}

// claim starts to take the leases that this entry should hold.
func (s *Scheduler) claim(ctx context.Context, now time.Time) {
	if s.stopping || s.config == nil || now.Sub(s.startedAt) < claimDelay || s.sharedReadAt.IsZero() || now.Sub(s.sharedReadAt) > election.LeaseTimeout/2 {
		return
	}
	var duties []fleet.DutyName
	queued := map[fleet.ServiceID]bool{}
	for _, q := range s.config.Queues {
		queued[q.Service] = true
	}
	for _, j := range s.jobs {
		queued[j.Service] = true
	}
	for service := range queued {
		duties = append(duties, ServiceDuty(service))
	}
	if s.Maintainer != nil {
		duties = append(duties, DutyMaintenance)
	}
	for _, d := range s.election.Claims(now, duties) {
		if s.held[d] != nil || s.taking[d] || len(s.taking) > 0 {
			continue
		}
		s.taking[d] = true
		chain := &Chain{Duty: d, Self: s.Self, Store: s.Store, Clock: s.Clock, Latency: s.Latency}
		takeCtx, cancel := context.WithCancel(ctx)
		s.Duties.Start(takeCtx, &taker{
			chain: chain, previous: s.election.Leases[d], clock: s.Clock,
			done: func(t Taken) { s.push(Event{Taken: &t}); cancel() },
		})
	}
}

// push delivers an event of one of the scheduler's own duties. The ring keeps a reserve for them.
func (s *Scheduler) push(e Event) {
	if err := s.Inbox.PushReserved(e); err != nil {
		s.Log.Error("scheduler: event dropped", zap.Error(trace.Unwrap(err)))
	}
}

func (s *Scheduler) applyTaken(ctx context.Context, now time.Time, t *Taken) {
	delete(s.taking, t.Duty)
	if t.Chain == nil {
		s.election.BackOff(now, t.Duty)
		s.Log.Info("scheduler: lease not taken", zap.String("duty", string(t.Duty)), zap.Error(trace.Unwrap(t.Err)))
		return
	}
	h := &heldDuty{
		chain: t.Chain, confirmedAt: t.SentAt, renewedAt: t.SentAt, progress: t.Progress,
		writes: ring.New[Write]("writes", 1), release: ring.New[struct{}]("leave", 1),
	}
	h.ctx, h.cancel = context.WithCancel(ctx)
	s.held[t.Duty] = h
	s.election.SetLease(now, election.Lease{
		Duty: t.Duty, Entry: s.Self.Entry, Incarnation: s.Self.Incarnation, Address: s.Self.Address, Epoch: t.Chain.Epoch, Renewals: 1,
	})
	s.Log.Info("scheduler: lease taken", zap.String("duty", string(t.Duty)), zap.Uint64("epoch", uint64(t.Chain.Epoch)),
		zap.Int("progress-rows", len(t.Progress)), zap.Duration("since-last-renewal", sinceOrZero(now, t.Previous)),
		zap.Bool("released", t.Released))
	if t.Duty == DutyMaintenance {
		h.loaded = true
		s.Duties.Start(h.ctx, s.Maintainer(t.Chain, t, h.release))
		return
	}
	h.service = fleet.ServiceID(t.Duty[len(ServiceDuty("")):])
	var end time.Time
	if !t.Previous.IsZero() {
		end = later(now, t.Previous.Add(holderValidity))
		if t.Released {
			// A holder that released the lease gives no more orders.
			end = now
		}
		end = end.Add(shard.LeaseLength + shard.LeaseLength/10)
	}
	h.previousEnd = end
	h.engine = shard.NewEngine(h.service, t.Chain.Epoch, s.Bounds, s.Observer(h.service, t.Chain.Epoch), end)
	h.links = &links{scheduler: s, held: h, byEndpoint: map[fleet.EndpointID]*link{}}
	s.Duties.Start(h.ctx, &Writer{Chain: t.Chain, Inbox: h.writes, Done: func(w Written) { s.push(Event{Written: &w}) }})
	loaded := Loaded{Duty: t.Duty, Epoch: t.Chain.Epoch}
	if err := s.Refresh.Push(RefreshRequest{Done: func() { s.push(Event{Loaded: &loaded}) }}); err != nil {
		s.drop(h, "the shared table's follower is overloaded")
	}
}

// applyLoaded loads the engine with all accepted jobs and with the progress that the previous holders
// committed.
func (s *Scheduler) applyLoaded(now time.Time, l *Loaded) {
	h := s.held[l.Duty]
	if h == nil || h.chain.Epoch != l.Epoch || h.loaded {
		return
	}
	s.updatePolicies(h)
	s.updateEndpoints(now, h)
	for _, j := range s.jobs {
		if j.Service == h.service {
			h.engine.Accept(j)
		}
	}
	for _, row := range h.progress {
		o, err := wire.DecodeProgress(row.Value, func(id fleet.JobID) *fleet.Job { return s.jobs[id] })
		var unknown *wire.ProgressError
		if errors.As(err, &unknown) && unknown.UnknownJob {
			h.engine.ForgetRow(unknown.Key)
			continue
		}
		if err != nil {
			s.Log.Error("scheduler: progress row cannot be decoded, skipped", zap.String("service", string(h.service)), zap.Error(trace.Unwrap(err)))
			continue
		}
		h.engine.Restore(now, o)
	}
	for id := range s.cancelled {
		h.engine.Cancel(now, id)
	}
	h.progress, h.loaded = nil, true
	s.Log.Info("scheduler: service loaded", zap.String("duty", string(l.Duty)), zap.Uint64("epoch", uint64(l.Epoch)),
		zap.Int("inherited-runs", h.engine.InheritedRuns()), zap.Duration("predecessor-leases-left", max(0, -sinceOrZero(now, h.previousEnd))))
}

// rowsOf converts a batch to rows.
func rowsOf(d fleet.DutyName, b *shard.Batch) (puts, removes []rowstore.Row) {
	for _, r := range b.Rows {
		row := rowstore.Row{Table: tableProgress, Part: dutyPart(d), Key: progressKey(r.Key), Value: r.Value}
		if r.Value == nil {
			removes = append(removes, row)
		} else {
			puts = append(puts, row)
		}
	}
	return puts, removes
}

// waveRow decodes the row of a maintenance wave, and returns false for other rows.
func waveRow(row rowstore.Row) (WaveRow, bool) {
	if len(row.Key) < len(keyWave) || string(row.Key[:len(keyWave)]) != keyWave {
		return WaveRow{}, false
	}
	m := &jobv1.WaveProgress{}
	if err := proto.Unmarshal(row.Value, m); err != nil {
		return WaveRow{}, false
	}
	w := WaveRow{Wave: fleet.WaveID(m.GetWave()), Completed: m.GetCompleted()}
	for _, vm := range m.GetOrdered() {
		w.Ordered = append(w.Ordered, fleet.VMID(vm))
	}
	for _, vm := range m.GetDone() {
		w.Done = append(w.Done, fleet.VMID(vm))
	}
	return w, true
}

func sinceOrZero(now, then time.Time) time.Duration {
	if then.IsZero() {
		return 0
	}
	return now.Sub(then)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
