package allowance_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/allowance"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Bounds of the transactions in these tests.
const (
	maxWrites  = 48
	maxWritten = 256 << 10
	maxLedger  = 60 << 10
)

// accountStore holds the ledgers of many accounts.
type accountStore struct {
	ledgers map[fleet.ClientAccountID]allowance.Stored
	version allowance.Version
	writes  int
}

// write applies a transaction if all of its conditions hold.
func (s *accountStore) write(writes []allowance.Write) bool {
	for _, w := range writes {
		if s.ledgers[w.Account].Version != w.Version {
			return false
		}
	}
	s.version++
	s.writes++
	for _, w := range writes {
		s.ledgers[w.Account] = allowance.Stored{Ledger: w.Ledger, Version: s.version}
	}
	return true
}

// manyAccounts returns a store with no ledgers, and books of entries that share the services.
func manyAccounts(accounts, entries int) (*accountStore, []*allowance.Book) {
	limits := allowance.Limits{}
	store := &accountStore{ledgers: map[fleet.ClientAccountID]allowance.Stored{}}
	for n := range accounts {
		id := fleet.ClientAccountID(fmt.Sprintf("regional-office-of-education-%04d-scheduling", n))
		limits[id], store.ledgers[id] = cores(8000), allowance.Stored{}
	}
	var books []*allowance.Book
	for range entries {
		b := allowance.NewBook()
		b.MaxLedger, b.MaxWrites, b.MaxWritten = maxLedger, maxWrites, maxWritten
		b.SetLimits(limits)
		books = append(books, b)
	}
	return store, books
}

// reportsOf returns what the services of one entry want.
func reportsOf(entry, entries, services int, demands map[fleet.ClientAccountID]allowance.Demand) []allowance.Report {
	var reports []allowance.Report
	for n := entry; n < services; n += entries {
		reports = append(reports, allowance.Report{Service: fleet.ServiceID(fmt.Sprintf("service-%02d", n)), Epoch: 1, Accounts: demands})
	}
	return reports
}

// Guards against jobs that never start once operators have added accounts: what all services hold of the limits of all
// accounts exceeded a row of the store.
func TestLedgersOfManyAccountsStayWithinTheirBounds(t *testing.T) {
	is := is.New(t)
	const accounts, services, entries = 200, 16, 8
	store, books := manyAccounts(accounts, entries)
	idle := 0
	for range 100 {
		isIdle := true
		for i, b := range books {
			writes := b.Plan(store.ledgers, reportsOf(i, entries, services, nil))
			is.True(len(writes) <= maxWrites)
			size := fleet.Bytes(0)
			for _, w := range writes {
				is.True(w.Ledger.Size() <= maxLedger)
				size += w.Ledger.Size()
			}
			is.True(size <= maxWritten)
			if len(writes) > 0 {
				isIdle = false
				is.True(store.write(writes))
				b.Written(writes)
			}
		}
		if isIdle {
			idle++
		}
	}
	is.True(idle > 0) // A limit with room costs no write.
	for _, stored := range store.ledgers {
		is.Equal(len(stored.Ledger), services)
	}
	t.Logf("%d transactions until each of %d services holds a part of %d accounts", store.writes, services, accounts)
}

// Guards against accounts whose tasks wait behind hundreds of others that only have parts to claim.
func TestAccountThatWaitsIsPlannedFirst(t *testing.T) {
	is := is.New(t)
	store, books := manyAccounts(500, 1)
	last := slices.Max(slices.Collect(maps.Keys(store.ledgers)))
	writes := books[0].Plan(store.ledgers, reportsOf(0, 1, 1, map[fleet.ClientAccountID]allowance.Demand{last: {Waiting: cores(1000), Least: cores(1000)}}))
	is.Equal(len(writes), maxWrites)
	is.Equal(writes[0].Account, last)
}

// Guards against accounts that are never written since others change all the time.
func TestEachAccountThatWaitsIsWrittenInItsTurn(t *testing.T) {
	is := is.New(t)
	store, books := manyAccounts(200, 2)
	demands := map[fleet.ClientAccountID]allowance.Demand{}
	seen := map[fleet.ClientAccountID]bool{}
	for round := range 10 {
		for id := range store.ledgers {
			demands[id] = allowance.Demand{Waiting: cores(10000 << (round % 2)), Least: cores(1000)}
		}
		for i, b := range books {
			writes := b.Plan(store.ledgers, reportsOf(i, 2, 2, maps.Clone(demands)))
			is.True(store.write(writes))
			b.Written(writes)
			for _, w := range writes {
				seen[w.Account] = true
			}
		}
	}
	is.Equal(len(seen), 200)
}

// Guards against a ledger of a planned write that was left out of the transaction and that is taken for written.
func TestLedgerLeftOutOfTransactionIsNotUsed(t *testing.T) {
	is := is.New(t)
	store, books := manyAccounts(60, 1)
	b := books[0]
	demands := map[fleet.ClientAccountID]allowance.Demand{}
	for id := range store.ledgers {
		demands[id] = allowance.Demand{Waiting: cores(1000), Least: cores(1000)}
	}
	writes := b.Plan(store.ledgers, reportsOf(0, 1, 1, demands))
	is.Equal(len(writes), maxWrites)
	b.Written(writes)
	allowed := 0
	for id := range store.ledgers {
		if b.Allows("service-00", 1, id, cores(1000)) {
			allowed++
		}
	}
	is.Equal(allowed, maxWrites)
}
