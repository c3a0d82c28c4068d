package holder

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// RowSink receives the rows of a followed table.
type RowSink interface {
	// Replace receives all rows of the table as of one read.
	Replace(rows []rowstore.Row)
	// Change receives rows that changed since.
	Change(rows []rowstore.Row)
	// Synced is called after each successful read, also when nothing changed.
	Synced()
}

// RefreshRequest requests a read before the next one is due.
type RefreshRequest struct {
	// Done is called once everything that was committed before the request has reached the sink. It may
	// be nil.
	Done func()
}

// Follower is the duty that follows the changes of one table.
type Follower struct {
	// The fields are set before Run.
	Duty  fleet.DutyName
	Table rowstore.Table
	// Part is read first. Changes are followed from its version.
	Part rowstore.Part
	// All reads the other parts of the table too.
	All   bool
	Store Store
	Sink  RowSink
	Clock clock.Clock
	Log   *zap.Logger
	// Interval is the time between reads. With Wait, the store holds each read until something changes.
	Interval time.Duration
	Wait     time.Duration
	// Inbox receives requests for a read; it may be nil when Wait is set.
	Inbox *ring.Ring[RefreshRequest]
	// Latency, if not nil, receives how fast the store answers. It requires a Wait of 0.
	Latency *ring.Latest[StoreLatency]

	after  rowstore.Version
	loaded bool
	failed bool
}

// Retries of reads.
const (
	followRetry    = 150 * time.Millisecond
	maxFollowRetry = 600 * time.Millisecond
	// readTimeout bounds a read of the store beyond the time that it may wait for changes.
	readTimeout = 1200 * time.Millisecond
)

// Name implements duty.Duty.
func (f *Follower) Name() fleet.DutyName { return f.Duty }

// Run implements duty.Duty.
func (f *Follower) Run(ctx context.Context) error {
	retry := followRetry
	var pending []func()
	for ctx.Err() == nil {
		err := f.timedRead(ctx)
		pause := f.Interval
		if err != nil {
			f.report(err)
			pause, retry = retry, min(2*retry, maxFollowRetry)
		} else {
			f.report(nil)
			retry = followRetry
			for _, done := range pending {
				done()
			}
			pending = nil
		}
		request, asked, err := f.pause(ctx, pause)
		if err != nil {
			return trace.Wrap(err)
		}
		for asked {
			if request.Done != nil {
				pending = append(pending, request.Done)
			}
			request, asked = f.Inbox.TryPop()
		}
	}
	return trace.Wrap(ctx.Err())
}

func (f *Follower) pause(ctx context.Context, d time.Duration) (RefreshRequest, bool, error) {
	timer := f.Clock.NewTimer(d)
	defer timer.Stop()
	if f.Inbox == nil {
		select {
		case <-timer.Chan():
			return RefreshRequest{}, false, nil
		case <-ctx.Done():
			return RefreshRequest{}, false, trace.Wrap(ctx.Err())
		}
	}
	request, ok, err := f.Inbox.PopUntil(ctx, timer.Chan())
	return request, ok, trace.Wrap(err)
}

// report logs when the table becomes unreadable and when it is readable again, not each failed read.
func (f *Follower) report(err error) {
	switch {
	case err != nil && !f.failed:
		f.Log.Warn("follower: table cannot be read", zap.String("table", string(f.Table)), zap.Error(trace.Unwrap(err)))
	case err == nil && f.failed:
		f.Log.Info("follower: table can be read again", zap.String("table", string(f.Table)), zap.Uint64("store-version", uint64(f.after)))
	}
	f.failed = err != nil
}

// timedRead reads and publishes how long the read took.
func (f *Follower) timedRead(ctx context.Context) error {
	if f.Latency == nil {
		return trace.Wrap(f.read(ctx))
	}
	latency := f.Latency.Get()
	latency.SentAt = f.Clock.Now()
	f.Latency.Set(latency)
	err := f.read(ctx)
	if err == nil {
		latency.AnsweredAt = f.Clock.Now()
		latency.Latency, latency.DueAt = latency.AnsweredAt.Sub(latency.SentAt), latency.AnsweredAt.Add(f.Interval)
		f.Latency.Set(latency)
	}
	return trace.Wrap(err)
}

func (f *Follower) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+readTimeout)
	defer cancel()
	if !f.loaded {
		return trace.Wrap(f.load(ctx))
	}
	for {
		more, err := f.follow(ctx)
		if !more || err != nil {
			return trace.Wrap(err)
		}
	}
}

// follow reads one page of changes and returns whether there are more.
func (f *Follower) follow(ctx context.Context) (bool, error) {
	page, err := f.Store.Changes(ctx, f.Table, f.after, f.Wait)
	var historyErr *rowstore.HistoryError
	if errors.As(err, &historyErr) {
		f.Log.Warn("follower: store cannot list the changes, reading the table in full", zap.String("table", string(f.Table)), zap.Uint64("store-version", uint64(f.after)))
		f.loaded = false
		return false, trace.Wrap(f.load(ctx))
	}
	if err != nil {
		return false, trace.Wrap(err)
	}
	f.after = max(f.after, page.Version)
	if len(page.Rows) > 0 {
		f.Sink.Change(latestRows(page.Rows))
	}
	f.Sink.Synced()
	return page.More, nil
}

// latestRows leaves out the rows that a later row of the list replaces. The store lists each change, so a
// row that was removed and written again within one page is there twice.
func latestRows(rows []rowstore.Row) []rowstore.Row {
	type name struct {
		part rowstore.Part
		key  rowstore.Key
	}
	last := make(map[name]int, len(rows))
	for i, row := range rows {
		last[name{row.Part, row.Key}] = i
	}
	var list []rowstore.Row
	for i, row := range rows {
		if last[name{row.Part, row.Key}] == i {
			list = append(list, row)
		}
	}
	return list
}

// load reads the whole table. Changes are followed from the version of the first read, so that a part that
// appears meanwhile is not missed.
func (f *Follower) load(ctx context.Context) error {
	rows, after, err := scan(ctx, f.Store, f.Table, f.Part)
	if err != nil {
		return trace.Wrap(err)
	}
	if f.All {
		parts, err := f.Store.Parts(ctx, f.Table)
		if err != nil {
			return trace.Wrap(err)
		}
		for _, part := range parts {
			if part == f.Part {
				continue
			}
			read, _, err := scan(ctx, f.Store, f.Table, part)
			if err != nil {
				return trace.Wrap(err)
			}
			rows = append(rows, read...)
		}
	}
	f.after, f.loaded = after, true
	f.Sink.Replace(rows)
	f.Sink.Synced()
	return nil
}

// scan reads a whole part and returns the version of its first page.
func scan(ctx context.Context, s Store, table rowstore.Table, part rowstore.Part) ([]rowstore.Row, rowstore.Version, error) {
	var rows []rowstore.Row
	var first rowstore.Version
	var from rowstore.Key
	for {
		page, err := s.Scan(ctx, rowstore.Range{Table: table, Part: part, From: from})
		if err != nil {
			return nil, 0, trace.Wrap(err)
		}
		if first == 0 {
			first = page.Version
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return rows, first, nil
		}
		// The smallest key above the last one.
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}
