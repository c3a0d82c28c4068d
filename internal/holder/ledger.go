package holder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
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

// tableLimits holds a ledger for each account with a limit. The ledgers share a part, so that one transaction may write
// several of them.
const (
	tableLimits rowstore.Table = "mimosawharf-limits"
	partLimits  rowstore.Part  = "limits"
	keyAccount  rowstore.Key   = "account-"
)

// Bounds of the ledgers.
const (
	// maxLedger bounds the claims of one ledger, below the longest value that the store keeps.
	maxLedger fleet.Bytes = rowstore.MaxValue - 4<<10
	// maxLedgerWrites bounds the ledgers of one transaction. Each takes two of the 100 entries that the store allows.
	maxLedgerWrites = 48
	// maxLedgerBytes bounds their size, well below 1 MB with their encoding.
	maxLedgerBytes fleet.Bytes = 256 << 10
)

// ledgerKey returns the key of an account's ledger. Names of accounts may be longer than keys.
func ledgerKey(account fleet.ClientAccountID) rowstore.Key {
	sum := sha256.Sum256([]byte(account))
	return keyAccount + rowstore.Key(hex.EncodeToString(sum[:]))
}

// ledgerWrite replaces ledgers, or seals the ledger of all accounts that an earlier version wrote.
type ledgerWrite struct {
	writes []allowance.Write
	seal   *allAccounts
}

// transaction returns the conditional transaction of a write.
func (w ledgerWrite) transaction() rowstore.Transaction {
	t := rowstore.Transaction{}
	add := func(row rowstore.Row, version allowance.Version) {
		t.Puts = append(t.Puts, row)
		t.Conditions = append(t.Conditions, rowstore.Condition{Table: row.Table, Part: row.Part, Key: row.Key, Version: rowstore.Version(version)})
	}
	for _, ledger := range w.writes {
		add(mustRow(tableLimits, partLimits, ledgerKey(ledger.Account), encodeLedger(ledger.Account, ledger.Ledger)), ledger.Version)
	}
	if w.seal != nil {
		add(w.seal.sealed(), w.seal.version)
	}
	return t
}

// LedgerEvent is what a read of the ledgers or an attempt to write some has shown.
type LedgerEvent struct {
	// IsAnswer is set for the answer to a write.
	IsAnswer bool
	// Written is set when the write took effect, IsConflict when another entry was faster.
	Written, IsConflict bool
	// IsComplete is set when the event has all ledgers.
	IsComplete bool
	Ledgers    map[fleet.ClientAccountID]allowance.Stored
	// Unreadable holds the keys of ledgers that cannot be decoded.
	Unreadable []rowstore.Key
	// All is the ledger of all accounts; nil when its row is not in the event.
	All *allAccounts
	Err error
}

// ledgerWriter is the duty that writes the ledgers, one attempt at a time.
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
	t := w.transaction()
	timeout := transactTimeout
	if l.latency != nil {
		timeout = l.latency.Get().Timeout(l.clock.Now(), 0)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+follow.TransferTime(size(t)))
	defer cancel()
	_, err := l.store.Transact(ctx, t)
	var conflict *rowstore.ConflictError
	switch {
	case err == nil:
		return LedgerEvent{Written: true}
	case errors.As(err, &conflict):
		e := ledgerEvent(conflict.Rows, l.log)
		e.IsConflict = true
		return e
	}
	return LedgerEvent{Err: err}
}

// ledgerSink passes the ledgers on to the scheduler.
type ledgerSink struct {
	log  *zap.Logger
	done func(LedgerEvent)
}

// Replace implements follow.Sink.
func (s *ledgerSink) Replace(rows []rowstore.Row) {
	e := ledgerEvent(rows, s.log)
	e.IsComplete = true
	s.done(e)
}

// Change implements follow.Sink.
func (s *ledgerSink) Change(rows []rowstore.Row) { s.done(ledgerEvent(rows, s.log)) }

// Synced implements follow.Sink.
func (*ledgerSink) Synced(time.Time) {}

// ledgerEvent decodes rows of the table. A ledger that cannot be decoded is not known, so that no service takes more of
// the account's limit.
func ledgerEvent(rows []rowstore.Row, log *zap.Logger) LedgerEvent {
	e := LedgerEvent{Ledgers: map[fleet.ClientAccountID]allowance.Stored{}}
	for _, row := range rows {
		if row.Deleted {
			continue
		}
		if row.Key == keyAllAccounts {
			e.All = decodeAllAccounts(row, log)
			continue
		}
		m := &jobv1.AccountLedger{}
		err := proto.Unmarshal(row.Value, m)
		account := fleet.ClientAccountID(m.GetAccount())
		if err != nil || ledgerKey(account) != row.Key {
			log.Error("limits: ledger cannot be decoded", zap.String("key", string(row.Key)), zap.Error(err))
			e.Unreadable = append(e.Unreadable, row.Key)
			continue
		}
		e.Ledgers[account] = allowance.Stored{Ledger: decodeLedger(m), Version: allowance.Version(row.Version)}
	}
	return e
}

func encodeLedger(account fleet.ClientAccountID, l allowance.Ledger) *jobv1.AccountLedger {
	m := &jobv1.AccountLedger{Account: string(account)}
	for s, claim := range l {
		m.Claims = append(m.Claims, &jobv1.AccountClaim{
			Service: string(s), Epoch: uint64(claim.Epoch), Held: limitCapacity(claim.Held), Wanted: limitCapacity(claim.Wanted),
			Least: limitCapacity(claim.Least), Turn: claim.Turn,
		})
	}
	return m
}

func decodeLedger(m *jobv1.AccountLedger) allowance.Ledger {
	l := make(allowance.Ledger, len(m.GetClaims()))
	for _, c := range m.GetClaims() {
		l[fleet.ServiceID(c.GetService())] = allowance.Claim{
			Epoch: fleet.FencingToken(c.GetEpoch()), Held: fromLimitCapacity(c.GetHeld()), Wanted: fromLimitCapacity(c.GetWanted()),
			Least: fromLimitCapacity(c.GetLeast()), Turn: c.GetTurn(),
		}
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
