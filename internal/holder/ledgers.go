package holder

import (
	"github.com/mimosawharf/mimosawharf/internal/allowance"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// ledgers is what an entry knows of the ledgers in the store. The zero value knows nothing.
type ledgers struct {
	byAccount map[fleet.ClientAccountID]allowance.Stored
	// awaited holds the versions that writes of this entry have replaced, until a read shows the written ledger. The version
	// that a transaction reports may be higher than that of its rows.
	awaited map[fleet.ClientAccountID]allowance.Version
	// unreadable holds the rows that cannot be decoded.
	unreadable map[rowstore.Key]bool
	// all holds the claims of accounts without a ledger of their own.
	all allAccounts
	// complete is set once all ledgers have been read.
	complete bool
}

// apply adds what a read or a conflict has shown, and reports whether anything is new. Reads and conflicts may overtake
// each other, so that older versions are ignored.
func (l *ledgers) apply(e *LedgerEvent) bool {
	if l.byAccount == nil {
		l.byAccount, l.awaited = map[fleet.ClientAccountID]allowance.Stored{}, map[fleet.ClientAccountID]allowance.Version{}
		l.unreadable = map[rowstore.Key]bool{}
	}
	isNew := false
	for _, key := range e.Unreadable {
		l.unreadable[key] = true
	}
	for account, stored := range e.Ledgers {
		if stored.Version <= l.byAccount[account].Version {
			continue
		}
		l.byAccount[account], isNew = stored, true
		if stored.Version > l.awaited[account] {
			delete(l.awaited, account)
		}
		delete(l.unreadable, ledgerKey(account))
	}
	if e.All != nil && e.All.version > l.all.version {
		l.all, isNew = *e.All, true
	}
	if e.IsComplete && !l.complete {
		l.complete, isNew = true, true
	}
	return isNew
}

// written notes what a write of this entry has replaced.
func (l *ledgers) written(w ledgerWrite) {
	for _, ledger := range w.writes {
		if l.byAccount[ledger.Account].Version <= ledger.Version {
			l.awaited[ledger.Account] = ledger.Version
		}
	}
	if w.seal != nil && l.all.version <= w.seal.version {
		l.all.isSealed = true // Nobody replaces a sealed row.
	}
}

// known returns the ledgers of the accounts with a limit, or that the book still has claims of, as far as they are known.
func (l *ledgers) known(limits allowance.Limits, book *allowance.Book) map[fleet.ClientAccountID]allowance.Stored {
	known := make(map[fleet.ClientAccountID]allowance.Stored, len(limits))
	add := func(account fleet.ClientAccountID) {
		if stored, ok := l.stored(account); ok {
			known[account] = stored
		}
	}
	for account := range limits {
		add(account)
	}
	for _, account := range book.Accounts() {
		add(account)
	}
	return known
}

// stored returns the ledger of an account, and false while it is not known.
func (l *ledgers) stored(account fleet.ClientAccountID) (allowance.Stored, bool) {
	if _, isAwaited := l.awaited[account]; isAwaited || len(l.unreadable) > 0 && l.unreadable[ledgerKey(account)] {
		return allowance.Stored{}, false
	}
	if stored, ok := l.byAccount[account]; ok {
		return stored, true
	}
	return allowance.Stored{Ledger: l.all.accounts[account]}, !l.all.isUnreadable
}
