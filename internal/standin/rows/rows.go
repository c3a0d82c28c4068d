// Package rows is a stand-in for the platform's table service of versioned rows, in memory.
package rows

import (
	"cmp"
	"context"
	"encoding/base64"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
)

// Fault is a fault that is injected into a transaction.
type Fault string

// Faults of transactions.
const (
	FaultNone Fault = ""
	// FaultRefused refuses the transaction without effect.
	FaultRefused Fault = "refused"
	// FaultLostBefore loses the call before its effect, FaultLostAfter the answer after it.
	FaultLostBefore Fault = "lost-before"
	FaultLostAfter  Fault = "lost-after"
)

// LostError is the cause in the errors of injected faults.
type LostError struct{}

// Error implements error.
func (*LostError) Error() string { return "the stand-in lost the call" }

// Store keeps rows and their history in memory. It is safe for concurrent use.
type Store struct {
	// Clock times the calls that wait for changes.
	Clock clock.Clock

	// lock is a mutex of the state: it holds one token while nothing uses the state.
	lock *ring.Ring[struct{}]
	rows map[partKey]map[rowstore.Key]rowstore.Row
	// history holds all changes in the order of their versions.
	history []rowstore.Row
	version rowstore.Version
	fault   func(rowstore.Transaction) Fault
}

type partKey struct {
	table rowstore.Table
	part  rowstore.Part
}

// maxPage bounds the rows of one page, as the platform does.
const maxPage = 500

// pollInterval is how often a call that waits for changes checks for them.
const pollInterval = 10 * time.Millisecond

// New returns an empty store.
func New(c clock.Clock) *Store {
	return &Store{Clock: c, lock: newLock(), rows: map[partKey]map[rowstore.Key]rowstore.Row{}}
}

// SetFault sets the function that chooses the fault of a transaction; nil means no faults.
func (s *Store) SetFault(f func(rowstore.Transaction) Fault) {
	defer s.acquire()()
	s.fault = f
}

// Transact implements holder.Store.
func (s *Store) Transact(_ context.Context, t rowstore.Transaction) (rowstore.Version, error) {
	defer s.acquire()()
	fault := FaultNone
	if s.fault != nil {
		fault = s.fault(t)
	}
	switch fault {
	case FaultRefused:
		return 0, trace.Wrap(&rowstore.RefusedError{Call: "transact", Status: 503, Cause: &LostError{}})
	case FaultLostBefore:
		return 0, trace.Wrap(&rowstore.UnknownError{Call: "transact", Cause: &LostError{}})
	}
	version, err := s.apply(t)
	if fault == FaultLostAfter {
		return 0, trace.Wrap(&rowstore.UnknownError{Call: "transact", Cause: &LostError{}})
	}
	return version, err
}

// OversizeError is the cause of the refusal of a transaction that exceeds a bound of the platform.
type OversizeError struct {
	What       string
	Size, Most int
}

// Error implements error.
func (e *OversizeError) Error() string {
	return fmt.Sprintf("%s: %d, at most %d", e.What, e.Size, e.Most)
}

// Bounds of a transaction, as the platform has them.
const (
	maxEntries = 100
	maxName    = 200
	maxBody    = 1 << 20
)

// check returns an error for a transaction that the platform refuses for its size.
func check(t rowstore.Transaction) error {
	body := 0
	var problem *OversizeError
	require := func(what string, size, most int) {
		if size > most && problem == nil {
			problem = &OversizeError{what, size, most}
		}
	}
	for _, row := range slices.Concat(t.Puts, t.Removes) {
		require("bytes of the value of "+string(row.Key), len(row.Value), rowstore.MaxValue)
		require("bytes of a name", max(len(row.Table), len(row.Part), len(row.Key)), maxName)
		body += base64.StdEncoding.EncodedLen(len(row.Value)) + len(row.Table) + len(row.Part) + len(row.Key)
	}
	require("entries", len(t.Conditions)+len(t.Puts)+len(t.Removes), maxEntries)
	require("bytes of a transaction", body, maxBody)
	if problem != nil {
		return trace.Wrap(&rowstore.RefusedError{Call: "transact", Status: http.StatusBadRequest, Cause: problem})
	}
	return nil
}

func (s *Store) apply(t rowstore.Transaction) (rowstore.Version, error) {
	if err := check(t); err != nil {
		return 0, err
	}
	conflict := false
	var current []rowstore.Row
	for _, c := range t.Conditions {
		row, ok := s.rows[partKey{c.Table, c.Part}][c.Key]
		if ok {
			current = append(current, row)
		}
		conflict = conflict || row.Version != c.Version
	}
	if conflict {
		return 0, trace.Wrap(&rowstore.ConflictError{Rows: current})
	}
	s.version++
	for _, row := range t.Puts {
		row.Version = s.version
		row.Value = slices.Clone(row.Value)
		k := partKey{row.Table, row.Part}
		if s.rows[k] == nil {
			s.rows[k] = map[rowstore.Key]rowstore.Row{}
		}
		s.rows[k][row.Key] = row
		s.history = append(s.history, row)
	}
	for _, row := range t.Removes {
		delete(s.rows[partKey{row.Table, row.Part}], row.Key)
		s.history = append(s.history, rowstore.Row{Table: row.Table, Part: row.Part, Key: row.Key, Version: s.version, Deleted: true})
	}
	return s.version, nil
}

// Scan implements holder.Store.
func (s *Store) Scan(_ context.Context, r rowstore.Range) (rowstore.Page, error) {
	defer s.acquire()()
	page := rowstore.Page{Version: s.version}
	for key, row := range s.rows[partKey{r.Table, r.Part}] {
		if key >= r.From && (r.Until == "" || key < r.Until) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b rowstore.Row) int { return cmp.Compare(a.Key, b.Key) })
	limit := min(maxPage, cmp.Or(r.Limit, maxPage))
	if len(page.Rows) > limit {
		page.Rows, page.More = page.Rows[:limit], true
	}
	return page, nil
}

// Parts implements holder.Store.
func (s *Store) Parts(_ context.Context, table rowstore.Table) ([]rowstore.Part, error) {
	defer s.acquire()()
	var parts []rowstore.Part
	for k, rows := range s.rows {
		if k.table == table && len(rows) > 0 {
			parts = append(parts, k.part)
		}
	}
	slices.Sort(parts)
	return parts, nil
}

// Changes implements holder.Store.
func (s *Store) Changes(ctx context.Context, table rowstore.Table, after rowstore.Version, wait time.Duration) (rowstore.Page, error) {
	end := s.Clock.Now().Add(wait)
	for {
		page := s.changes(table, after)
		if len(page.Rows) > 0 || !s.Clock.Now().Before(end) {
			return page, nil
		}
		if err := clock.Wait(ctx, s.Clock, pollInterval); err != nil {
			return rowstore.Page{}, trace.Wrap(&rowstore.UnknownError{Call: "changes", Cause: err})
		}
	}
}

func (s *Store) changes(table rowstore.Table, after rowstore.Version) rowstore.Page {
	defer s.acquire()()
	page := rowstore.Page{Version: s.version}
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(r rowstore.Row, v rowstore.Version) int { return cmp.Compare(r.Version, v) })
	for _, row := range s.history[first:] {
		if row.Table == table {
			page.Rows = append(page.Rows, row)
		}
	}
	return page
}

// acquire locks the state and returns the function that unlocks it.
func (s *Store) acquire() func() {
	_, _ = s.lock.Pop(context.Background())       // Never fails without a deadline.
	return func() { _ = s.lock.Push(struct{}{}) } // The ring has room for the only token.
}

func newLock() *ring.Ring[struct{}] {
	lock := ring.New[struct{}]("turn", 1)
	_ = lock.Push(struct{}{}) // The ring is empty.
	return lock
}
