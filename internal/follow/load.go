package follow

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/rowstore"
)

// load is a read of the whole table in progress.
type load struct {
	scan  *parallelScan
	since time.Time
	// listed is set once all parts are known.
	listed bool
	// version is the version up to which changes holds the changes since the first page.
	version    rowstore.Version
	changes    []rowstore.Row
	followedAt time.Time
	reportedAt time.Time
}

// Progress of a read of a whole table.
const (
	// followDuringLoad is the time between reads of the changes while the table is read in full. The store
	// keeps changes for a while only, and the table may take longer.
	followDuringLoad = 4 * time.Second
	// loadReportInterval is the time between log lines about a table that is still being read.
	loadReportInterval = 5 * time.Second
)

// readTable reads the whole table, or what an earlier attempt left of it. Changes are followed from the version
// of the first page, so that a part that appears meanwhile is not missed.
func (f *Follower) readTable(ctx context.Context) error {
	now := f.Clock.Now()
	if f.load == nil {
		f.load = &load{since: now, followedAt: now, reportedAt: now, listed: !f.All, scan: &parallelScan{}}
		for range max(1, f.Readers) {
			f.load.scan.scans = append(f.load.scan.scans, &Scan{Store: timedStore{f.Store, f}, Table: f.Table, Reducer: f.Reducer, Clock: f.Clock, Log: f.Log})
		}
		f.load.scan.add(f.Parts)
		if f.Readers > 1 {
			f.load.scan.startReaders(ctx, f.Duty, f.Duties)
		}
	}
	l := f.load
	for !l.listed || l.scan.left() > 0 {
		if err := f.followDuringLoad(ctx); err != nil {
			return trace.Wrap(err)
		}
		if l.scan.left() == 0 {
			if err := f.listParts(ctx); err != nil {
				return trace.Wrap(err)
			}
			continue
		}
		if err := l.scan.next(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	took := f.Clock.Now().Sub(l.since)
	if took >= loadReportInterval {
		f.Log.Info("follower: table read in full", zap.String("table", string(f.Table)), zap.Int("rows", len(l.scan.rows())), zap.Duration("took", took))
	}
	f.after, f.loaded, f.syncedTo = max(l.version, l.scan.version()), true, l.since
	f.endLoad()
	f.Sink.Replace(l.scan.rows())
	if len(l.changes) > 0 {
		f.Sink.Change(latestRows(l.changes))
	}
	f.Sink.Synced(f.syncedTo)
	return nil
}

// endLoad ends the read of the whole table, if one is in progress, with its readers.
func (f *Follower) endLoad() {
	if f.load != nil {
		f.load.scan.close()
		f.load = nil
	}
}

// listParts adds the parts of the table that are not read first.
func (f *Follower) listParts(ctx context.Context) error {
	parts, err := f.Store.Parts(ctx, f.Table)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, part := range parts {
		if !slices.Contains(f.Parts, part) {
			f.load.scan.add([]rowstore.Part{part})
		}
	}
	f.load.listed = true
	return nil
}

// followDuringLoad collects the changes since the first page now and then, and reports a long load.
func (f *Follower) followDuringLoad(ctx context.Context) error {
	l, now := f.load, f.Clock.Now()
	if now.Sub(l.reportedAt) >= loadReportInterval {
		l.reportedAt = now
		f.Log.Info("follower: table is being read", zap.String("table", string(f.Table)), zap.Int("rows", len(l.scan.rows())),
			zap.Int("parts-left", l.scan.left()), zap.Duration("for", now.Sub(l.since)))
	}
	if l.scan.version() == 0 || now.Sub(l.followedAt) < followDuringLoad {
		return nil
	}
	for {
		after := max(l.version, l.scan.version())
		page, err := f.changes(ctx, after, 0)
		var historyErr *rowstore.HistoryError
		if errors.As(err, &historyErr) {
			f.Log.Warn("follower: store cannot list the changes, reading the table again", zap.String("table", string(f.Table)), zap.Uint64("store-version", uint64(after)))
			f.endLoad()
			return trace.Wrap(err)
		}
		if err != nil {
			return trace.Wrap(err)
		}
		l.changes = append(l.changes, page.Rows...)
		l.version = max(after, page.Version)
		if !page.More || len(page.Rows) == 0 {
			l.followedAt = f.Clock.Now()
			return nil
		}
	}
}

// timedStore publishes how fast the store answers the scans of a follower.
type timedStore struct {
	Store
	follower *Follower
}

// Scan implements Store.
func (s timedStore) Scan(ctx context.Context, r rowstore.Range) (rowstore.Page, error) {
	s.follower.sent()
	page, err := s.Store.Scan(ctx, r)
	if err == nil {
		s.follower.answered()
	}
	return page, err
}
