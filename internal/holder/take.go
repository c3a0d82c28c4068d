package holder

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/internal/follow"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// taker is the duty that takes one lease. For the maintenance duty it reads the progress of waves too.
type taker struct {
	chain    *Chain
	previous election.Lease
	// probe only asks whether the store gives out the duty's rows.
	probe bool
	clock clock.Clock
	log   *zap.Logger
	done  func(Taken)
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

// TakeLease takes the lease of a duty as the taker does. It returns *LostLeaseError,
// *rowstore.RefusedError or *rowstore.UnknownError.
func TakeLease(ctx context.Context, c *Chain, previous election.Lease) (*Taken, error) {
	t := &taker{chain: c, previous: previous, clock: c.Clock, log: zap.NewNop()}
	taken := t.take(ctx)
	return &taken, trace.Wrap(taken.Err)
}

func (t *taker) take(ctx context.Context) Taken {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	result := Taken{Duty: t.chain.Duty, SentAt: t.clock.Now(), PreviousEntry: t.previous.Entry}
	if t.probe {
		result.Probe, result.Err = true, t.chain.Probe(ctx)
		return result
	}
	if !t.previous.ChangedAt.IsZero() {
		result.Previous = t.previous.ChangedAt
		// A holder that released the lease soon after it took it may leave orders of its predecessors
		// outstanding.
		result.Released = t.previous.Released && t.previous.Settled
	}
	inherited, err := t.chain.Take(ctx, t.previous)
	if err != nil {
		result.Err = err
		return result
	}
	result.Inherited = inherited
	if t.chain.Duty == DutyMaintenance {
		scan := progressScan(t.chain, t.clock, t.log)
		if err := scan.Run(ctx); err != nil {
			result.Err = err
			return result
		}
		for _, row := range scan.Rows() {
			if w, ok := waveRow(row); ok {
				result.Wave = append(result.Wave, w)
			}
		}
	}
	result.Chain, result.PreviousReleased = t.chain, t.chain.tookReleased
	return result
}

// progressScan returns a scan of what the holders of a duty have committed.
func progressScan(c *Chain, k clock.Clock, log *zap.Logger) *follow.Scan {
	return &follow.Scan{Store: c.Store, Table: tableProgress, Parts: []rowstore.Part{dutyPart(c.Duty)}, Clock: k, Log: log}
}

// progressReader is the duty that reads the progress of a service once. The holder renews its lease meanwhile.
type progressReader struct {
	chain *Chain
	// payloads is told which jobs have been completed.
	payloads *payloadReducer
	clock    clock.Clock
	log      *zap.Logger
	done     func(*ProgressRead)
}

// Name implements duty.Duty.
func (r *progressReader) Name() fleet.DutyName { return "progress-" + r.chain.Duty }

// progressRetry is the pause after a page of progress that could not be read.
const progressRetry = 150 * time.Millisecond

// Run implements duty.Duty. It reports once and then waits for its context to end.
func (r *progressReader) Run(ctx context.Context) error {
	scan := progressScan(r.chain, r.clock, r.log)
	for failed := false; ; failed = true {
		err := scan.Run(ctx)
		if err == nil {
			break
		}
		if !failed {
			r.log.Warn("scheduler: progress cannot be read", zap.String("duty", string(r.chain.Duty)), zap.Int("rows", len(scan.Rows())), zap.Error(trace.Unwrap(err)))
		}
		if err := clock.Wait(ctx, r.clock, progressRetry); err != nil {
			return trace.Wrap(err)
		}
	}
	p := &ProgressRead{Duty: r.chain.Duty, Epoch: r.chain.Epoch}
	for _, row := range scan.Rows() {
		if row.Key == keyLeaseBounds {
			continue // Read when the lease was taken.
		}
		if known, ok := decodeProcesses(row); ok {
			p.Processes = append(p.Processes, known...)
			continue
		}
		if key, ok := parseProgressKey(row.Key); ok {
			p.Rows = append(p.Rows, &ProgressRow{Key: key, Value: row.Value})
		}
	}
	r.payloads.ended.Set(readEnded(p.Rows))
	r.done(p)
	<-ctx.Done()
	return trace.Wrap(ctx.Err())
}

// claim starts to take the leases that this entry should hold.
func (s *Scheduler) claim(ctx context.Context, now time.Time) {
	if s.stopping || s.config == nil || now.Sub(s.startedAt) < claimDelay || s.membersReadAt.IsZero() || now.Sub(s.membersReadAt) > s.readGap() {
		return
	}
	var duties []fleet.DutyName
	for service := range s.queued {
		duties = append(duties, ServiceDuty(service))
	}
	for service := range s.recorded {
		// It may have jobs, whether or not it has queues.
		if !s.queued[service] {
			duties = append(duties, ServiceDuty(service))
		}
	}
	if s.Maintainer != nil {
		duties = append(duties, DutyMaintenance)
	}
	for _, d := range s.election.Claims(now, duties) {
		s.startTaker(ctx, d, false)
	}
	for _, d := range s.election.Probes(now, duties) {
		s.startTaker(ctx, d, true)
	}
}

// startTaker starts to take a lease, or to probe for it, unless this entry is taking another one.
func (s *Scheduler) startTaker(ctx context.Context, d fleet.DutyName, probe bool) {
	if s.held[d] != nil || s.taking[d] || len(s.taking) > 0 {
		return
	}
	s.taking[d] = true
	chain := &Chain{Duty: d, Self: s.Self, Store: s.Store, Clock: s.Clock, Latency: s.Latency, Log: s.Log}
	takeCtx, cancel := context.WithCancel(ctx)
	previous := s.election.Leases[d]
	previous.EndedBy = s.election.EndedBy(previous, s.startedAt)
	s.Duties.Start(takeCtx, &taker{
		chain: chain, previous: previous, probe: probe, clock: s.Clock, log: s.Log,
		done: func(t Taken) { s.push(Event{Taken: &t}); cancel() },
	})
}

// push delivers an event of one of the scheduler's own duties. The ring keeps a reserve for them.
func (s *Scheduler) push(e Event) {
	if err := s.Inbox.PushReserved(e); err != nil {
		s.Log.Error("scheduler: event dropped", zap.Error(trace.Unwrap(err)))
	}
}

func (s *Scheduler) applyTaken(ctx context.Context, now time.Time, t *Taken) {
	delete(s.taking, t.Duty)
	var lost *LostLeaseError
	switch {
	case t.Chain != nil:
	case t.Probe && t.Err == nil:
		s.election.SetAvailable(now, t.Duty)
	case errors.As(t.Err, &lost):
		s.election.BackOff(now, t.Duty)
	default:
		s.election.SetUnavailable(now, t.Duty)
	}
	if t.Probe {
		return
	}
	if t.Chain == nil {
		s.Log.Info("scheduler: lease not taken", zap.String("duty", string(t.Duty)), zap.Error(trace.Unwrap(t.Err)))
		return
	}
	h := &heldDuty{
		chain: t.Chain, takenAt: now, confirmedAt: t.SentAt, renewedAt: t.SentAt,
		writes: ring.New[Write]("writes", 1), release: ring.New[struct{}]("leave", 1),
	}
	h.ctx, h.cancel = context.WithCancel(ctx)
	s.held[t.Duty] = h
	s.election.SetLease(now, election.Lease{
		Duty: t.Duty, Entry: s.Self.Entry, Incarnation: s.Self.Incarnation, Address: s.Self.Address, Epoch: t.Chain.Epoch, Renewals: 1,
	})
	s.Log.Info("scheduler: lease taken", zap.String("duty", string(t.Duty)), zap.Uint64("epoch", uint64(t.Chain.Epoch)),
		zap.Duration("since-last-renewal", sinceOrZero(now, t.Previous)),
		zap.Bool("released", t.PreviousReleased), zap.String("previous-entry", string(t.PreviousEntry)))
	if t.Duty == DutyMaintenance {
		h.loaded = true
		s.Duties.Start(h.ctx, s.Maintainer(t.Chain, t, h.release))
		return
	}
	h.service, _ = serviceOf(t.Duty)
	s.record(h.service)
	h.inherited = t.Inherited
	h.engine = shard.NewEngine(h.service, t.Chain.Epoch, s.Bounds, s.Observer(h.service, t.Chain.Epoch), t.Inherited, t.SentAt.Add(holderValidity))
	h.engine.SetAllowance(&serviceAllowance{s.limits.book, h.service, t.Chain.Epoch})
	h.links = s.newRoutes(h)
	s.Duties.Start(h.ctx, &Writer{Chain: t.Chain, Inbox: h.writes, Done: func(w Written) { s.push(Event{Written: &w}) }})
	s.read(h)
	if s.endpoints != nil {
		h.engine.EndpointsKnown(s.endpointsKnown)
		s.updateEndpoints(now, h)
	}
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

func sinceOrZero(now, then time.Time) time.Duration {
	if then.IsZero() {
		return 0
	}
	return now.Sub(then)
}
