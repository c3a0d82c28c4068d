package follow_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/follow"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/standin/rows"
)

// historyStore is a store with a fixed history that lists every change of a row.
type historyStore struct {
	*rows.Store
	history []rowstore.Row
}

// Changes implements follow.Store.
func (h *historyStore) Changes(_ context.Context, _ rowstore.Table, after rowstore.Version, _ time.Duration) (rowstore.Page, error) {
	page := rowstore.Page{Version: rowstore.Version(len(h.history))}
	for _, row := range h.history {
		if row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}

// changeSink records the changes that it receives.
type changeSink struct{ pages *ring.Ring[[]rowstore.Row] }

// Replace implements follow.Sink.
func (changeSink) Replace([]rowstore.Row) {}

// Change implements follow.Sink.
func (s changeSink) Change(rows []rowstore.Row) { _ = s.pages.Push(rows) }

// Synced implements follow.Sink.
func (changeSink) Synced(time.Time) {}

// Guards against an endpoint that stays missing: its row in the registry expired and was written again
// within one page of changes, and the removal was applied last.
func TestRowRewrittenWithinOnePageIsKept(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	c := clock.Real()
	store := &historyStore{Store: rows.New(c), history: []rowstore.Row{
		{Table: "servers", Key: "a", Version: 1, Deleted: true},
		{Table: "servers", Key: "b", Version: 2, Value: []byte("ready")},
		{Table: "servers", Key: "a", Version: 3, Value: []byte("ready")},
		{Table: "servers", Key: "b", Version: 4, Deleted: true},
	}}
	sink := changeSink{ring.New[[]rowstore.Row]("pages", 1)}
	f := &follow.Follower{Duty: "follow", Table: "servers", Parts: []rowstore.Part{""}, Store: store, Sink: sink, Clock: c, Log: zap.NewNop(), Interval: follow.Every(time.Millisecond)}
	go func() { _ = f.Run(ctx) }()
	page, err := sink.pages.Pop(ctx)
	is.NoErr(err)
	is.Equal(page, store.history[2:]) // the last change of each row
}
