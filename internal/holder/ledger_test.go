package holder

import (
	"testing"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/allowance"
)

// Guards against an entry that never divides limits again: the follower had shown the written row before the answer came.
func TestLedgerStaysKnownWhenItIsReadBeforeTheAnswerToItsWrite(t *testing.T) {
	is := is.New(t)
	s := &Scheduler{limits: limits{
		book: allowance.NewBook(), ledger: allowance.Ledger{}, version: 1, writing: true, written: 1, stop: func() {},
	}}
	s.applyLedger(&LedgerEvent{Ledger: allowance.Ledger{}, Version: 2})
	s.applyLedger(&LedgerEvent{IsAnswer: true, Written: true})
	is.True(s.limits.ledger != nil)
	is.Equal(s.limits.version, allowance.Version(2))
	s.limits.writing, s.limits.written = true, 2
	s.applyLedger(&LedgerEvent{IsAnswer: true, Written: true})
	is.True(s.limits.ledger == nil) // It is read again.
}
