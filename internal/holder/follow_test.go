package holder_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/standin/rows"
)

// historian is a store that lists every change of one row.
type historian struct {
	*rows.Store
	history []rowstore.Row
}

// Changes implements holder.Store.
func (h *historian) Changes(_ context.Context, _ rowstore.Table, after rowstore.Version, _ time.Duration) (rowstore.Page, error) {
	page := rowstore.Page{Version: rowstore.Version(len(h.history))}
	for _, row := range h.history {
		if row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}

// changeSink remembers the changes that it was given.
type changeSink struct{ pages *ring.Ring[[]rowstore.Row] }

// Replace implements holder.RowSink.
func (changeSink) Replace([]rowstore.Row) {}

// Change implements holder.RowSink.
func (s changeSink) Change(rows []rowstore.Row) { _ = s.pages.Push(rows) }

// Current implements holder.RowSink.
func (changeSink) Current() {}

// Guards against an endpoint that is lost for good: its entry in the registry expired and was written again
// within one page of changes, and the removal was applied last.
func TestRowWrittenAgainInOnePageIsThere(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	c := clock.Real()
	store := &historian{Store: rows.New(c), history: []rowstore.Row{
		{Table: "servers", Key: "a", Version: 1, Deleted: true},
		{Table: "servers", Key: "b", Version: 2, Value: []byte("ready")},
		{Table: "servers", Key: "a", Version: 3, Value: []byte("ready")},
		{Table: "servers", Key: "b", Version: 4, Deleted: true},
	}}
	sink := changeSink{ring.New[[]rowstore.Row]("pages", 1)}
	f := &holder.Follower{Duty: "follow", Table: "servers", Store: store, Sink: sink, Clock: c, Log: zap.NewNop(), Interval: time.Millisecond}
	go func() { _ = f.Run(ctx) }()
	page, err := sink.pages.Pop(ctx)
	is.NoErr(err)
	is.Equal(page, store.history[2:]) // the last change of each row
}
