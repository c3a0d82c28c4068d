package holder

import (
	"context"
	"errors"

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

// ledgerCall reads the ledger or, if next is set, replaces it on condition that it still has a version.
type ledgerCall struct {
	next    allowance.Ledger
	version allowance.Version
}

// LedgerAnswer is the answer to a call of the ledger.
type LedgerAnswer struct {
	// Written is set when the ledger was replaced. Otherwise Ledger and Version are what it holds, unless Err is set.
	Written bool
	Ledger  allowance.Ledger
	Version allowance.Version
	Err     error
}

// ledgerStore is the duty that reads and writes the ledger, one call at a time.
type ledgerStore struct {
	store   Store
	inbox   *ring.Ring[ledgerCall]
	clock   clock.Clock
	latency *ring.Latest[follow.Latency]
	log     *zap.Logger
	done    func(LedgerAnswer)
}

// Name implements duty.Duty.
func (*ledgerStore) Name() fleet.DutyName { return "limits" }

// Run implements duty.Duty.
func (l *ledgerStore) Run(ctx context.Context) error {
	for {
		call, err := l.inbox.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		answer := l.execute(ctx, call)
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
		l.done(answer)
	}
}

func (l *ledgerStore) execute(ctx context.Context, call ledgerCall) LedgerAnswer {
	timeout := transactTimeout
	if l.latency != nil {
		timeout = l.latency.Get().Timeout(l.clock.Now(), 0)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if call.next == nil {
		page, err := l.store.Scan(ctx, rowstore.Only(tableLimits, partLimits, keyLedger))
		return l.answer(page.Rows, err)
	}
	_, err := l.store.Transact(ctx, rowstore.Transaction{
		Conditions: []rowstore.Condition{{Table: tableLimits, Part: partLimits, Key: keyLedger, Version: rowstore.Version(call.version)}},
		Puts:       []rowstore.Row{mustRow(tableLimits, partLimits, keyLedger, encodeLedger(call.next))},
	})
	var conflict *rowstore.ConflictError
	switch {
	case err == nil:
		return LedgerAnswer{Written: true}
	case errors.As(err, &conflict):
		return l.answer(conflict.Rows, nil)
	}
	return LedgerAnswer{Err: err}
}

// answer decodes the row. A ledger that cannot be decoded allows nothing, because what it says is not known.
func (l *ledgerStore) answer(rows []rowstore.Row, err error) LedgerAnswer {
	if err != nil {
		return LedgerAnswer{Err: err}
	}
	a := LedgerAnswer{Ledger: allowance.Ledger{}}
	for _, row := range rows {
		if row.Key != keyLedger || row.Deleted {
			continue
		}
		m := &jobv1.LimitLedger{}
		if err := proto.Unmarshal(row.Value, m); err != nil {
			l.log.Error("limits: ledger cannot be decoded", zap.Error(err))
			return LedgerAnswer{Err: err}
		}
		a.Ledger, a.Version = decodeLedger(m), allowance.Version(row.Version)
	}
	return a
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
