// Package follow reads tables of the platform's store and tracks their changes. A read takes as long as the
// table's size and the entry's link require: it goes on from the page that it has after each failure, and only
// a lack of progress fails it.
package follow

import (
	"context"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/rowstore"
)

// Store is what a reader uses of the platform's table service. Its methods return *rowstore.RefusedError,
// *rowstore.UnknownError, *rowstore.HistoryError and *rowstore.UnreadableError, and are safe for concurrent
// use. A call whose context has no deadline fails once the store has sent nothing for a while.
type Store interface {
	// Scan returns the first rows of a range in ascending order of keys.
	Scan(ctx context.Context, r rowstore.Range) (rowstore.Page, error)
	// Parts returns the parts of a table.
	Parts(ctx context.Context, table rowstore.Table) ([]rowstore.Part, error)
	// Changes returns what changed after a version. It waits for a change for at most the given time.
	Changes(ctx context.Context, table rowstore.Table, after rowstore.Version, wait time.Duration) (rowstore.Page, error)
}

// Sink receives the rows of a followed table.
type Sink interface {
	// Replace receives all rows of the table as of one read.
	Replace(rows []rowstore.Row)
	// Change receives rows that changed since.
	Change(rows []rowstore.Row)
	// Synced is called after each successful read, also when nothing changed. What was committed before a time of
	// Follower.Clock and can be read has reached the sink; the time is zero until the table was read in full.
	Synced(upTo time.Time)
}

// Reducer shortens rows while a table is read in full, so that a table need not fit into memory as it is stored. It is used
// by several readers at a time.
type Reducer interface {
	// Await returns once another page may be read, or the context has ended.
	Await(ctx context.Context)
	// Reduce returns what is kept of a page.
	Reduce(rows []rowstore.Row) []rowstore.Row
}

// RefreshRequest requests a read before the next one is due.
type RefreshRequest struct {
	// Done is called once everything that was committed before the request has reached the sink. It may
	// be nil.
	Done func()
}
