package follow

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
)

// Sizes of pages. A page is as large as the link carries within a fraction of a second, so that a failure
// costs little and calls with less data do not wait behind it.
const (
	firstPageRows = 64
	minPageRows   = 16
	maxPageRows   = 500 // The store sends no more rows in one response.
	// shortPage and longPage are the times below and above which the next page is larger or smaller.
	shortPage = 100 * time.Millisecond
	longPage  = 400 * time.Millisecond
)

// maxPageAttempts is how often a page with contradictory or unreadable rows is read before the scan goes on
// without them. A row that is damaged in the store stays so.
const maxPageAttempts = 4

// Scan reads all rows of parts of one table. After a failed page, Run goes on with that page.
type Scan struct {
	// The fields are set before Run.
	Store Store
	Table rowstore.Table
	// Parts are read in this order.
	Parts []rowstore.Part
	// Reducer, if not nil, shortens the rows.
	Reducer Reducer
	Clock   clock.Clock
	Log     *zap.Logger

	rows    []rowstore.Row
	from    rowstore.Key
	limit   int
	version rowstore.Version
	// attempts counts the reads of the current page that returned contradictory or unreadable rows.
	attempts int
}

// Run reads pages until the scan is complete or a page fails.
func (s *Scan) Run(ctx context.Context) error {
	for len(s.Parts) > 0 {
		if err := s.next(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// Rows returns the rows that were read so far.
func (s *Scan) Rows() []rowstore.Row { return s.rows }

// Version returns the version of the first page: changes after it may be missing from the rows.
func (s *Scan) Version() rowstore.Version { return s.version }

// next reads one page.
func (s *Scan) next(ctx context.Context) error {
	if s.limit == 0 {
		s.limit = firstPageRows
	}
	sent := s.Clock.Now()
	page, err := s.Store.Scan(ctx, rowstore.Range{Table: s.Table, Part: s.Parts[0], From: s.from, Limit: s.limit})
	took := s.Clock.Now().Sub(sent)
	var unreadable *rowstore.UnreadableError
	switch {
	case errors.As(err, &unreadable):
		if !s.giveUp("unreadable rows", zap.Int("unreadable", unreadable.Rows)) {
			return trace.Wrap(err)
		}
	case err != nil:
		var refused *rowstore.RefusedError
		if !errors.As(err, &refused) {
			s.limit = max(minPageRows, s.limit/2)
		}
		return trace.Wrap(err)
	case took < shortPage:
		s.limit = min(2*s.limit, maxPageRows)
	case took > longPage:
		s.limit = max(minPageRows, s.limit/2)
	}
	if s.version == 0 {
		s.version = page.Version
	}
	rows := page.Rows
	if s.Reducer != nil {
		rows = s.Reducer.Reduce(rows)
	}
	s.rows = append(s.rows, rows...)
	switch last := lastKey(page, unreadable); {
	case !page.More:
		s.nextPart()
	case last == "" || last < s.from:
		// The store announces more rows but sends none.
		if !s.giveUp("no further rows") {
			return trace.Wrap(&rowstore.UnknownError{Call: "scan", Cause: &emptyPageError{Table: s.Table}})
		}
		s.nextPart()
	default:
		s.from, s.attempts = last+"\x00", 0 // The smallest key above the last one.
	}
	return nil
}

// lastKey returns the last key of a page, or the empty key.
func lastKey(p rowstore.Page, unreadable *rowstore.UnreadableError) rowstore.Key {
	var last rowstore.Key
	if len(p.Rows) > 0 {
		last = p.Rows[len(p.Rows)-1].Key
	}
	if unreadable != nil {
		last = max(last, unreadable.LastKey)
	}
	return last
}

// giveUp counts a useless read of the current page. It returns true, and logs, when the scan should go on
// without the rows.
func (s *Scan) giveUp(problem string, fields ...zap.Field) bool {
	s.attempts++
	if s.attempts < maxPageAttempts {
		return false
	}
	s.Log.Error("follower: page cannot be read in full, skipped", append(fields, zap.String("problem", problem), zap.String("table", string(s.Table)),
		zap.String("part", string(s.Parts[0])), zap.String("from", string(s.from)))...)
	return true
}

func (s *Scan) nextPart() { s.Parts, s.from, s.attempts = s.Parts[1:], "", 0 }

// emptyPageError reports a page without rows that announces more rows.
type emptyPageError struct{ Table rowstore.Table }

// Error implements error.
func (e *emptyPageError) Error() string {
	return "the store announced more rows of " + string(e.Table) + " and sent none"
}
