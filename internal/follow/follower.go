package follow

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Follower is the duty that reads one table and follows its changes.
type Follower struct {
	// The fields are set before Run.
	Duty  fleet.DutyName
	Table rowstore.Table
	// Parts are read first, in this order. Changes are followed from the version of the first page.
	Parts []rowstore.Part
	// All reads the other parts of the table too.
	All bool
	// Readers is the number of parts that are read at a time while the table is read in full. Duties starts a reader for
	// each when there are several; Latency requires at most 1.
	Readers int
	Duties  Starter
	Store   Store
	Sink    Sink
	Clock   clock.Clock
	Log     *zap.Logger
	// Reducer, if not nil, shortens the rows of a table that is read by several readers.
	Reducer Reducer
	// Interval returns the time between reads. With Wait, the store holds each read until something changes. MaxWait
	// bounds it: a read that the store has swallowed is noticed only after the wait. After a failure a read does not
	// wait, so that it shows at once whether the store answers.
	Interval func() time.Duration
	Wait     time.Duration
	// Inbox receives requests for a read; it may be nil when Wait is set.
	Inbox *ring.Ring[RefreshRequest]
	// Latency, if not nil, receives how fast the store answers. It requires a Wait of 0.
	Latency *ring.Latest[Latency]

	after  rowstore.Version
	loaded bool
	failed bool
	// syncedTo is when the last read was sent that left no changes to read.
	syncedTo time.Time
	// unreadable counts the reads of the current changes that returned unreadable rows.
	unreadable int
	load       *load
}

// Retries of reads.
const (
	followRetry    = 150 * time.Millisecond
	maxFollowRetry = 600 * time.Millisecond
)

// Every returns an interval that never changes.
func Every(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// Name implements duty.Duty.
func (f *Follower) Name() fleet.DutyName { return f.Duty }

// Run implements duty.Duty.
func (f *Follower) Run(ctx context.Context) error {
	defer f.endLoad()
	retry := followRetry
	var pending []func()
	for ctx.Err() == nil {
		err := f.read(ctx)
		pause := f.Interval()
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

// read reads the table in full, or what is left of it, or all changes since the last read.
func (f *Follower) read(ctx context.Context) error {
	if !f.loaded {
		return trace.Wrap(f.readTable(ctx))
	}
	for {
		more, err := f.readChanges(ctx)
		if !more || err != nil {
			return trace.Wrap(err)
		}
	}
}

// readChanges reads one page of changes and returns whether there are more.
func (f *Follower) readChanges(ctx context.Context) (bool, error) {
	wait := f.Wait
	if f.failed {
		wait = 0
	}
	sentAt, after := f.Clock.Now(), f.after
	page, err := f.changes(ctx, after, wait)
	var historyErr *rowstore.HistoryError
	if errors.As(err, &historyErr) {
		f.Log.Warn("follower: store cannot list the changes, reading the table in full", zap.String("table", string(f.Table)), zap.Uint64("store-version", uint64(f.after)))
		f.loaded = false
		return false, trace.Wrap(f.readTable(ctx))
	}
	if err != nil {
		return false, trace.Wrap(err)
	}
	f.after = max(f.after, page.Version)
	if len(page.Rows) > 0 {
		f.Sink.Change(latestRows(page.Rows))
	}
	// Rows that are not newer contradict the question: such an answer is not about the present.
	if !page.More && !page.Behind && !slices.ContainsFunc(page.Rows, func(row rowstore.Row) bool { return row.Version <= after }) {
		f.syncedTo = sentAt
	}
	f.Sink.Synced(f.syncedTo)
	// An empty page that announces more is read again after the interval.
	return page.More && len(page.Rows) > 0, nil
}

// changes reads one page of changes. Rows that stay unreadable are left out after a number of attempts.
func (f *Follower) changes(ctx context.Context, after rowstore.Version, wait time.Duration) (rowstore.Page, error) {
	f.sent()
	page, err := f.Store.Changes(ctx, f.Table, after, wait)
	var unreadable *rowstore.UnreadableError
	if errors.As(err, &unreadable) {
		f.unreadable++
		if f.unreadable < maxPageAttempts {
			return rowstore.Page{}, trace.Wrap(err)
		}
		f.Log.Error("follower: unreadable changes skipped", zap.String("table", string(f.Table)), zap.Int("unreadable", unreadable.Rows),
			zap.String("last-key", string(unreadable.LastKey)))
		err = nil
	}
	if err != nil {
		return rowstore.Page{}, trace.Wrap(err)
	}
	f.unreadable = 0
	f.answered()
	return page, nil
}

// sent and answered publish how fast the store answers.
func (f *Follower) sent() {
	if f.Latency != nil {
		l := f.Latency.Get()
		l.SentAt = f.Clock.Now()
		f.Latency.Set(l)
	}
}

func (f *Follower) answered() {
	if f.Latency != nil {
		l := f.Latency.Get()
		l.AnsweredAt = f.Clock.Now()
		l.Latency, l.DueAt = l.AnsweredAt.Sub(l.SentAt), l.AnsweredAt.Add(f.Interval())
		f.Latency.Set(l)
	}
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
