package holder

import (
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/allowance"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Times between two divisions of the accounts' limits.
const (
	// divideInterval is the usual time: so long a service waits at most for what another one does not need.
	divideInterval = 150 * time.Millisecond
	// deniedInterval is the time while tasks of this entry's services wait for an allowance.
	deniedInterval = 50 * time.Millisecond
)

// limits divides the limits of client accounts among the services that this entry holds and those of others. It is
// part of the scheduler. The duty that reads and writes the ledger exists only while there is a limit.
type limits struct {
	book       *allowance.Book
	configured allowance.Limits
	// calls is nil until there is a limit.
	calls *ring.Ring[ledgerCall]
	// calling is set while a call is in flight. dividedAt is when the last division ended.
	calling   bool
	dividedAt time.Time
	// denied is set when a task has waited for an allowance since.
	denied bool
	failed bool
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

// setLimits sets the limits of a configuration.
func (s *Scheduler) setLimits(c *Config) {
	s.limits.configured = c.Accounts.Limits()
	s.limits.book.SetLimits(s.limits.configured)
	s.limits.denied = true
}

// divideLimits starts a division of the limits when one is due.
func (s *Scheduler) divideLimits(now time.Time) {
	l := &s.limits
	if len(l.configured) == 0 {
		return
	}
	holds := false
	for _, h := range s.held {
		if h.engine != nil && h.loaded {
			holds = true
			l.denied = h.engine.Denied() || l.denied
		}
	}
	if !holds || l.calling {
		return
	}
	due := l.dividedAt.Add(divideInterval)
	if l.denied {
		due = l.dividedAt.Add(deniedInterval)
	}
	if now.Before(due) {
		s.wakeBy(due)
		return
	}
	if l.calls == nil {
		l.calls = ring.New[ledgerCall]("limits", 1)
		s.Duties.Start(s.ctx, &ledgerStore{
			store: s.Store, inbox: l.calls, clock: s.Clock, latency: s.Latency, log: s.Log, done: func(a LedgerAnswer) { s.push(Event{Ledger: &a}) },
		})
	}
	l.denied = false
	s.callLedger(ledgerCall{})
}

func (s *Scheduler) callLedger(c ledgerCall) {
	s.limits.calling = true
	_ = s.limits.calls.Push(c) // The ring has room: one call at a time is in flight.
}

// applyLedger continues a division with the answer to a call.
func (s *Scheduler) applyLedger(now time.Time, a *LedgerAnswer) {
	l := &s.limits
	l.calling, l.dividedAt = false, now
	if failed := a.Err != nil; failed != l.failed {
		l.failed = failed
		s.Log.Info("limits: access to the ledger changed", zap.Bool("failed", failed), zap.Error(trace.Unwrap(a.Err)))
	}
	switch {
	case a.Err != nil:
	case a.Written:
		l.book.Written()
	default:
		if next, due := l.book.Plan(a.Ledger, a.Version, s.limitReports(now)); due {
			s.callLedger(ledgerCall{next: next, version: a.Version})
		}
	}
}

func (s *Scheduler) limitReports(now time.Time) []allowance.Report {
	var reports []allowance.Report
	for _, h := range s.sorted() {
		if h.engine != nil && h.loaded && !h.releasing {
			reports = append(reports, allowance.Report{Service: h.service, Epoch: h.chain.Epoch, Accounts: h.engine.AccountDemands(now)})
		}
	}
	return reports
}
