package holder

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/allowance"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

func shown(account fleet.ClientAccountID, version allowance.Version) *LedgerEvent {
	return &LedgerEvent{Ledgers: map[fleet.ClientAccountID]allowance.Stored{account: {Ledger: allowance.Ledger{}, Version: version}}}
}

// Guards against an entry that never divides limits again: the follower had shown the written row before the answer came.
func TestLedgerStaysKnownWhenItIsReadBeforeTheAnswerToItsWrite(t *testing.T) {
	is := is.New(t)
	s := &Scheduler{limits: limits{book: allowance.NewBook(), stop: func() {}}}
	write := func(version allowance.Version) {
		s.limits.writing = &ledgerWrite{writes: []allowance.Write{{Account: "a", Ledger: allowance.Ledger{}, Version: version}}}
	}
	s.applyLedger(shown("a", 1))
	write(1)
	s.applyLedger(shown("a", 2))
	s.applyLedger(&LedgerEvent{IsAnswer: true, Written: true})
	stored, isKnown := s.limits.ledgers.stored("a")
	is.True(isKnown)
	is.Equal(stored.Version, allowance.Version(2))
	write(2)
	s.applyLedger(&LedgerEvent{IsAnswer: true, Written: true})
	_, isKnown = s.limits.ledgers.stored("a")
	is.True(!isKnown) // It is read again.
	s.applyLedger(shown("a", 3))
	_, isKnown = s.limits.ledgers.stored("a")
	is.True(isKnown)
}

// Guards against a ledger that the store refuses for its length although its claims were taken to fit.
func TestClaimsTakeNoMoreThanTheirSize(t *testing.T) {
	is := is.New(t)
	most := fleet.Capacity{Millicores: math.MaxInt, Memory: math.MaxInt64, Accelerators: math.MaxInt}
	l := allowance.Ledger{}
	for n := 0; l.Size() < maxLedger-512; n++ {
		l[fleet.ServiceID(fmt.Sprintf("%0150d", n))] = allowance.Claim{Epoch: math.MaxUint64, Held: most, Wanted: most, Least: most, Turn: math.MaxUint64}
	}
	account := fleet.ClientAccountID(strings.Repeat("a", 200))
	is.True(fleet.Bytes(proto.Size(encodeLedger(account, l))) <= l.Size()+fleet.Bytes(len(account))+8)
	is.True(proto.Size(encodeLedger(account, l)) <= rowstore.MaxValue)
}

// earlierLedger is a ledger of all accounts as an earlier version stored it.
func earlierLedger(t *testing.T) rowstore.Row {
	m := &jobv1.LimitLedger{Claims: []*jobv1.LimitClaim{{Service: "s", Epoch: 7, Positions: []*jobv1.LimitPosition{
		{Account: "a", Held: &jobv1.LimitCapacity{Millicores: 3000}, Wanted: &jobv1.LimitCapacity{Millicores: 9000}},
	}}}}
	value, err := proto.Marshal(m)
	is.New(t).NoErr(err)
	return rowstore.Row{Table: tableLimits, Part: partLimits, Key: keyAllAccounts, Value: value, Version: 5}
}

// Guards against limits that are exceeded after an update: what services held by the ledger of the earlier version still
// counts, and entries of that version cannot change it any more.
func TestLedgerOfEarlierVersionStillCounts(t *testing.T) {
	is := is.New(t)
	var l ledgers
	row := earlierLedger(t)
	e := ledgerEvent([]rowstore.Row{row}, zap.NewNop())
	e.IsComplete = true
	l.apply(&e)
	is.True(l.complete && !l.all.isSealed)
	sealed := ledgerWrite{seal: &l.all}.transaction()
	is.Equal(sealed.Conditions, []rowstore.Condition{{Table: tableLimits, Part: partLimits, Key: keyAllAccounts, Version: 5}})
	is.True(len(sealed.Puts[0].Value) <= len(row.Value))
	is.True(proto.Unmarshal(sealed.Puts[0].Value, &jobv1.LimitLedger{}) != nil) // The earlier version reads no ledger, and takes no more.
	sealed.Puts[0].Version = 6
	e = ledgerEvent(sealed.Puts, zap.NewNop())
	l.apply(&e)
	is.True(l.all.isSealed)
	stored, isKnown := l.stored("a")
	is.True(isKnown)
	is.Equal(stored, allowance.Stored{Ledger: allowance.Ledger{"s": {Epoch: 7, Held: fleet.Capacity{Millicores: 3000}}}})
	// The first write of the account's own ledger replaces it.
	e = *shown("a", 8)
	l.apply(&e)
	stored, _ = l.stored("a")
	is.Equal(stored.Version, allowance.Version(8))
	is.Equal(len(stored.Ledger), 0)
}

// Guards against a row that cannot be decoded and is taken for an account that nobody holds anything of.
func TestUnreadableLedgersAreNotKnown(t *testing.T) {
	is := is.New(t)
	var l ledgers
	e := ledgerEvent([]rowstore.Row{
		{Key: ledgerKey("a"), Value: []byte{0xff}, Version: 1}, {Key: keyAllAccounts, Value: []byte{seal, 0xff}, Version: 2},
	}, zap.NewNop())
	l.apply(&e)
	for _, account := range []fleet.ClientAccountID{"a", "b"} {
		_, isKnown := l.stored(account)
		is.True(!isKnown)
	}
	e = *shown("b", 3)
	l.apply(&e)
	_, isKnown := l.stored("b")
	is.True(isKnown)
}
