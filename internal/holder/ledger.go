package holder

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/allowance"
	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/follow"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// tableLimits holds the ledger of the accounts' limits, a single row.
const (
	tableLimits rowstore.Table = "mimosawharf-limits"
	partLimits  rowstore.Part  = "limits"
	keyLedger   rowstore.Key   = "ledger"
)

// ledgerWrite replaces the ledger on condition that it still has a version.
type ledgerWrite struct {
	next    allowance.Ledger
	version allowance.Version
}

// LedgerEvent is what a read of the ledger or an attempt to write it has shown.
type LedgerEvent struct {
	// IsAnswer is set for the answer to a write.
	IsAnswer bool
	// Written is set when the write took effect.
	Written bool
	// Ledger is nil when it is not known.
	Ledger  allowance.Ledger
	Version allowance.Version
	Err     error
}

// ledgerWriter is the duty that writes the ledger, one attempt at a time.
type ledgerWriter struct {
	store   Store
	inbox   *ring.Ring[ledgerWrite]
	clock   clock.Clock
	latency *ring.Latest[follow.Latency]
	log     *zap.Logger
	done    func(LedgerEvent)
}

// Name implements duty.Duty.
func (*ledgerWriter) Name() fleet.DutyName { return "limits-writer" }

// Run implements duty.Duty.
func (l *ledgerWriter) Run(ctx context.Context) error {
	for {
		w, err := l.inbox.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		e := l.write(ctx, w)
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
		e.IsAnswer = true
		l.done(e)
	}
}

func (l *ledgerWriter) write(ctx context.Context, w ledgerWrite) LedgerEvent {
	row := mustRow(tableLimits, partLimits, keyLedger, encodeLedger(w.next))
	timeout := transactTimeout
	if l.latency != nil {
		timeout = l.latency.Get().Timeout(l.clock.Now(), 0)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+follow.TransferTime(len(row.Value)))
	defer cancel()
	_, err := l.store.Transact(ctx, rowstore.Transaction{
		Conditions: []rowstore.Condition{{Table: tableLimits, Part: partLimits, Key: keyLedger, Version: rowstore.Version(w.version)}},
		Puts:       []rowstore.Row{row},
	})
	var conflict *rowstore.ConflictError
	switch {
	case err == nil:
		return LedgerEvent{Written: true}
	case errors.As(err, &conflict):
		return ledgerEvent(conflict.Rows, l.log)
	}
	return LedgerEvent{Err: err}
}

// ledgerSink passes the ledger on to the scheduler.
type ledgerSink struct {
	log  *zap.Logger
	done func(LedgerEvent)
}

// Replace implements follow.Sink.
func (s *ledgerSink) Replace(rows []rowstore.Row) { s.done(ledgerEvent(rows, s.log)) }

// Change implements follow.Sink.
func (s *ledgerSink) Change(rows []rowstore.Row) { s.done(ledgerEvent(rows, s.log)) }

// Synced implements follow.Sink.
func (*ledgerSink) Synced(time.Time) {}

// ledgerEvent decodes the row of the ledger, which is empty before it is first written. A ledger that cannot be decoded is
// not known, so that no service takes more of a limit.
func ledgerEvent(rows []rowstore.Row, log *zap.Logger) LedgerEvent {
	e := LedgerEvent{Ledger: allowance.Ledger{}}
	for _, row := range rows {
		if row.Key != keyLedger || row.Deleted {
			continue
		}
		m := &jobv1.LimitLedger{}
		if err := proto.Unmarshal(row.Value, m); err != nil {
			log.Error("limits: ledger cannot be decoded", zap.Error(err))
			return LedgerEvent{Err: err}
		}
		e.Ledger, e.Version = decodeLedger(m), allowance.Version(row.Version)
	}
	return e
}

func encodeLedger(l allowance.Ledger) *jobv1.LimitLedger {
	m := &jobv1.LimitLedger{}
	for s, claim := range l {
		c := &jobv1.LimitClaim{Service: string(s), Epoch: uint64(claim.Epoch)}
		for account, p := range claim.Accounts {
			c.Positions = append(c.Positions, &jobv1.LimitPosition{Account: string(account), Held: limitCapacity(p.Held), Wanted: limitCapacity(p.Wanted)})
		}
		m.Claims = append(m.Claims, c)
	}
	return m
}

func decodeLedger(m *jobv1.LimitLedger) allowance.Ledger {
	l := allowance.Ledger{}
	for _, c := range m.GetClaims() {
		claim := allowance.Claim{Epoch: fleet.FencingToken(c.GetEpoch()), Accounts: map[fleet.ClientAccountID]allowance.Position{}}
		for _, p := range c.GetPositions() {
			claim.Accounts[fleet.ClientAccountID(p.GetAccount())] = allowance.Position{Held: fromLimitCapacity(p.GetHeld()), Wanted: fromLimitCapacity(p.GetWanted())}
		}
		l[fleet.ServiceID(c.GetService())] = claim
	}
	return l
}

func limitCapacity(c fleet.Capacity) *jobv1.LimitCapacity {
	return &jobv1.LimitCapacity{Millicores: int64(c.Millicores), MemoryMb: int64(c.Memory), Accelerators: int64(c.Accelerators)}
}

func fromLimitCapacity(m *jobv1.LimitCapacity) fleet.Capacity {
	return fleet.Capacity{
		Millicores: fleet.Millicores(m.GetMillicores()), Memory: fleet.Megabytes(m.GetMemoryMb()), Accelerators: fleet.Accelerators(m.GetAccelerators()),
	}
}
