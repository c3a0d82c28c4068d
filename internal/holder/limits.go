package holder

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/mimosawharf/mimosawharf/internal/allowance"
	"github.com/mimosawharf/mimosawharf/internal/follow"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Times between two divisions of the accounts' limits.
const (
	// divideInterval is the longest time while this entry holds a service: what a service wants changes all the time.
	divideInterval = 150 * time.Millisecond
	// minDivideInterval is the shortest time, when the ledger has changed or tasks wait for an allowance.
	minDivideInterval = 60 * time.Millisecond
	// ledgerWait is how long the store holds a read of the ledger that shows no change. Each read is charged.
	ledgerWait = 500 * time.Millisecond
)

// limits divides the limits of client accounts among the services that this entry holds and those of others. It is
// part of the scheduler. The duties that read and write the ledgers exist only while there is a limit and a service is held.
type limits struct {
	book       *allowance.Book
	configured allowance.Limits
	// writes is nil, and stop too, while the entry holds no service or there is no limit.
	writes  *ring.Ring[ledgerWrite]
	stop    context.CancelFunc
	ledgers ledgers
	// writing is what is being written, nil while nothing is.
	writing *ledgerWrite
	// due is set while a division should not wait for divideInterval.
	due       bool
	dividedAt time.Time
	failed    bool
	// reportedAt is when waiting accounts were last logged.
	reportedAt time.Time
}

// serviceAllowance implements shard.Allowance.
type serviceAllowance struct {
	book    *allowance.Book
	service fleet.ServiceID
	epoch   fleet.FencingToken
}

// Allows implements shard.Allowance.
func (a *serviceAllowance) Allows(account fleet.ClientAccountID, used fleet.Capacity) bool {
	return a.book.Allows(a.service, a.epoch, account, used)
}

// WithinLimit implements shard.Allowance.
func (a *serviceAllowance) WithinLimit(account fleet.ClientAccountID, used fleet.Capacity) bool {
	return a.book.WithinLimit(account, used)
}

// setLimits sets the limits of a configuration.
func (s *Scheduler) setLimits(c *Config) {
	s.limits.configured, s.limits.due = c.Accounts.Limits(), true
	s.limits.book.SetLimits(s.limits.configured)
}

// divideLimits divides the limits when that is due.
func (s *Scheduler) divideLimits(now time.Time) {
	l := &s.limits
	holds, loaded := false, false // The ledger is read while a service is loaded.
	for _, h := range s.held {
		if len(l.configured) == 0 || h.engine == nil {
			continue
		}
		holds = true
		if h.loaded {
			loaded = true
			l.due = h.engine.Denied() || l.due
		}
	}
	switch {
	case holds && l.stop == nil:
		s.startLimits()
	case !holds && l.stop != nil:
		l.stop()
		l.stop, l.ledgers, l.writing = nil, ledgers{}, nil
	}
	if !loaded || !l.ledgers.complete || l.writing != nil {
		return
	}
	interval := divideInterval
	if l.due {
		interval = minDivideInterval
	}
	if next := l.dividedAt.Add(interval); now.Before(next) {
		s.wakeBy(next)
		return
	}
	l.dividedAt, l.due = now, false
	reports := s.limitReports()
	s.reportDenied(now, reports)
	s.counter("limit_divisions").Inc(1)
	if all := l.ledgers.all; !all.isSealed && !all.isUnreadable {
		s.writeLedgers(ledgerWrite{seal: &all})
		return
	}
	if writes := l.book.Plan(l.ledgers.known(l.configured, l.book), reports); len(writes) > 0 {
		s.writeLedgers(ledgerWrite{writes: writes})
	}
}

func (s *Scheduler) writeLedgers(w ledgerWrite) {
	s.counter("limit_writes").Inc(1)
	s.counter("limit_ledgers_written").Inc(int64(len(w.writes)))
	s.limits.writing = &w
	_ = s.limits.writes.Push(w) // The ring has room: one write at a time is in flight.
}

// startLimits starts the duties that read and write the ledger.
func (s *Scheduler) startLimits() {
	l := &s.limits
	var ctx context.Context
	ctx, l.stop = context.WithCancel(s.ctx)
	l.writes = ring.New[ledgerWrite]("limits", 1)
	done := func(e LedgerEvent) {
		if ctx.Err() == nil {
			s.push(Event{Ledger: &e})
		}
	}
	s.Duties.Start(ctx, &ledgerWriter{store: s.Store, inbox: l.writes, clock: s.Clock, latency: s.Latency, log: s.Log, done: done})
	s.Duties.Start(ctx, &follow.Follower{
		Duty: "follow-limits", Table: tableLimits, Parts: []rowstore.Part{partLimits}, Store: s.Store, Clock: s.Clock, Log: s.Log,
		Interval: follow.Every(minDivideInterval), Wait: ledgerWait, Sink: &ledgerSink{log: s.Log, done: done},
	})
}

// applyLedger applies what a read or a write of ledgers has shown.
func (s *Scheduler) applyLedger(e *LedgerEvent) {
	l := &s.limits
	if l.stop == nil {
		return
	}
	if e.IsAnswer {
		if e.Written && l.writing != nil {
			l.book.Written(l.writing.writes)
			l.ledgers.written(*l.writing)
		}
		l.writing = nil
		if failed := e.Err != nil; failed != l.failed {
			l.failed = failed
			s.Log.Info("limits: writes of the ledgers changed", zap.Bool("failing", failed), zap.Error(trace.Unwrap(e.Err)))
		}
	}
	if e.IsConflict {
		s.counter("limit_conflicts").Inc(1)
		l.dividedAt = time.Time{} // Another entry was faster.
	}
	l.due = l.ledgers.apply(e) || l.due
}

func (s *Scheduler) limitReports() []allowance.Report {
	var reports []allowance.Report
	for _, h := range s.sorted() {
		if h.engine != nil && h.loaded && !h.releasing {
			reports = append(reports, allowance.Report{Service: h.service, Epoch: h.chain.Epoch, Accounts: h.engine.AccountDemands()})
		}
	}
	return reports
}

const (
	// reportInterval is the time between log lines about accounts that wait for an allowance.
	reportInterval = time.Second
	// maxReported bounds the accounts that one line names.
	maxReported = 5
)

// reportDenied logs the accounts whose tasks wait although their limits are all that keeps them from starting.
func (s *Scheduler) reportDenied(now time.Time, reports []allowance.Report) {
	if now.Sub(s.limits.reportedAt) < reportInterval {
		return
	}
	for _, r := range reports {
		var waiting []string
		for account, d := range r.Accounts {
			if d.Waiting != (fleet.Capacity{}) && !s.limits.book.Allows(r.Service, r.Epoch, account, d.Used.Plus(d.Least)) {
				waiting = append(waiting, string(account))
			}
		}
		if len(waiting) == 0 {
			continue
		}
		s.limits.reportedAt = now
		slices.Sort(waiting)
		fields := []zap.Field{zap.String("service", string(r.Service)), zap.Int("accounts", len(waiting))}
		for _, account := range waiting[:min(len(waiting), maxReported)] {
			fields = append(fields, zap.Object(account, s.limitFields(r, fleet.ClientAccountID(account))))
		}
		s.Log.Info("limits: tasks wait for an allowance", fields...)
	}
}

// limitFields returns what a log line says of an account.
func (s *Scheduler) limitFields(r allowance.Report, account fleet.ClientAccountID) zapcore.ObjectMarshalerFunc {
	return func(o zapcore.ObjectEncoder) error {
		used, held, limit := r.Accounts[account].Used, s.limits.ledgers.byAccount[account].Ledger[r.Service].Held, s.limits.configured[account]
		o.AddInt64("used-millicores", int64(used.Millicores))
		o.AddInt64("held-millicores", int64(held.Millicores))
		o.AddInt64("limit-millicores", int64(limit.Millicores))
		o.AddInt64("used-memory-mb", int64(used.Memory))
		o.AddInt64("held-memory-mb", int64(held.Memory))
		o.AddInt64("limit-memory-mb", int64(limit.Memory))
		return nil
	}
}
