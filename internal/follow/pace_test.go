package follow_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/follow"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
)

// partlySilentStore answers each call for a part, but swallows those for some parts that are sent before a time.
type partlySilentStore struct {
	clock  clock.Clock
	until  time.Time
	silent map[rowstore.Part]bool
}

// Scan implements follow.Store.
func (s *partlySilentStore) Scan(ctx context.Context, r rowstore.Range) (rowstore.Page, error) {
	took := silentAnswer
	swallowed := s.silent[r.Part] && s.clock.Now().Before(s.until)
	if swallowed {
		took = silentStall
	}
	timer := s.clock.NewTimer(took)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		swallowed = true
	case <-timer.Chan():
	}
	if swallowed {
		return rowstore.Page{}, &rowstore.UnknownError{Call: "scan", Cause: context.DeadlineExceeded}
	}
	return rowstore.Page{Version: 1, Rows: []rowstore.Row{{Table: r.Table, Part: r.Part, Key: "row", Version: 1}}}, nil
}

// Parts implements follow.Store.
func (*partlySilentStore) Parts(context.Context, rowstore.Table) ([]rowstore.Part, error) {
	return nil, nil
}

// Changes implements follow.Store.
func (*partlySilentStore) Changes(context.Context, rowstore.Table, rowstore.Version, time.Duration) (rowstore.Page, error) {
	return rowstore.Page{Version: 1}, nil
}

// loadedSink records when a table was read in full.
type loadedSink struct {
	clock    clock.Clock
	loadedAt time.Time
	rows     int
	stop     context.CancelFunc
}

// Replace implements follow.Sink.
func (s *loadedSink) Replace(rows []rowstore.Row) {
	s.loadedAt, s.rows = s.clock.Now(), len(rows)
	s.stop()
}

// Change implements follow.Sink.
func (*loadedSink) Change([]rowstore.Row) {}

// Synced implements follow.Sink.
func (*loadedSink) Synced(time.Time) {}

// Guards against a takeover that ends up to a timeout and a pause after the store answers for all parts again.
func TestTableIsReadSoonAfterSomePartsWereSilent(t *testing.T) {
	for silence := 100 * time.Millisecond; silence <= 6*time.Second; silence += 100 * time.Millisecond {
		t.Run(silence.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, c := is.New(t), clock.Real()
				store := &partlySilentStore{clock: c, until: c.Now().Add(silence), silent: map[rowstore.Part]bool{}}
				var parts []rowstore.Part
				for n := range 32 {
					part := rowstore.Part(strconv.Itoa(n))
					parts, store.silent[part] = append(parts, part), n%3 == 0
				}
				ctx, stop := context.WithCancel(t.Context())
				sink := &loadedSink{clock: c, stop: stop}
				group, running := duty.NewGroup(ctx)
				f := &follow.Follower{
					Duty: "follow", Table: testTable, Parts: parts, Readers: 8, Duties: group, Store: store, Sink: sink, Clock: c, Log: zap.NewNop(),
					Interval: follow.Every(time.Second),
				}
				_ = f.Run(running) // Ends once the table has been read.
				is.Equal(sink.rows, len(parts))
				due := store.until // Calls that are sent before the first answer have the store's own bound.
				if first := store.until.Add(silentStall - silence); first.After(due) {
					due = first
				}
				is.True(sink.loadedAt.Sub(due) <= 500*time.Millisecond) // one lost call and the pages that follow it
			})
		})
	}
}
