package follow_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/follow"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
)

const (
	// silentStall is how long the store may send nothing before a call fails.
	silentStall = 1200 * time.Millisecond
	// silentRecovery is how long after the store's return changes have to be followed again.
	silentRecovery = 3 * time.Second
	silentAnswer   = 4 * time.Millisecond
)

// silentStore is a store with one row that changes once, and that swallows each call which is open while it is
// silent. Time passes with each call, on a fake clock.
type silentStore struct {
	clock       *clockwork.FakeClock
	from, until time.Time
	changedAt   time.Time
	calls       int
}

// Scan implements follow.Store.
func (s *silentStore) Scan(context.Context, rowstore.Range) (rowstore.Page, error) {
	s.clock.Advance(silentAnswer)
	return rowstore.Page{Version: 1}, nil
}

// Parts implements follow.Store.
func (*silentStore) Parts(context.Context, rowstore.Table) ([]rowstore.Part, error) { return nil, nil }

// Changes implements follow.Store.
func (s *silentStore) Changes(ctx context.Context, _ rowstore.Table, after rowstore.Version, wait time.Duration) (rowstore.Page, error) {
	s.calls++
	now := s.clock.Now()
	answerAt := now.Add(wait)
	if after < 2 && s.changedAt.Before(answerAt) {
		answerAt = s.changedAt
		if answerAt.Before(now) {
			answerAt = now
		}
	}
	if now.Before(s.until) && !answerAt.Before(s.from) {
		s.clock.Advance(wait + silentStall)
		return rowstore.Page{}, &rowstore.UnknownError{Call: "changes"}
	}
	s.clock.Advance(answerAt.Sub(now) + silentAnswer)
	page := rowstore.Page{Version: after}
	if after < 2 && !s.clock.Now().Before(s.changedAt) {
		page = rowstore.Page{Version: 2, Rows: []rowstore.Row{{Table: testTable, Key: "row", Version: 2}}}
	}
	return page, ctx.Err()
}

// seenSink notes when the row was passed on.
type seenSink struct {
	clock  *clockwork.FakeClock
	seenAt time.Time
	stop   context.CancelFunc
}

// Replace implements follow.Sink.
func (*seenSink) Replace([]rowstore.Row) {}

// Change implements follow.Sink.
func (s *seenSink) Change([]rowstore.Row) {
	s.seenAt = s.clock.Now()
	s.stop()
}

// Synced implements follow.Sink.
func (*seenSink) Synced(time.Time) {}

// Guards against a configuration that comes into force many seconds late: the read that waits for changes was
// swallowed by a store that was silent, and given up only after the whole wait.
func TestChangeIsSeenSoonAfterSilence(t *testing.T) {
	for _, silence := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond, 4200 * time.Millisecond, 6500 * time.Millisecond} {
		for _, late := range []time.Duration{0, 500 * time.Millisecond, 2600 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprintf("silent for %v, change after %v", silence, late), func(t *testing.T) {
				is := is.New(t)
				for from := 100 * time.Millisecond; from < 12*time.Second; from += 70 * time.Millisecond {
					c := clockwork.NewFakeClock()
					began := c.Now()
					store := &silentStore{clock: c, from: began.Add(from), until: began.Add(from + silence), changedAt: began.Add(from + silence + late)}
					ctx, stop := context.WithCancel(t.Context())
					sink := &seenSink{clock: c, stop: stop}
					f := &follow.Follower{
						Duty: "follow", Table: testTable, Parts: []rowstore.Part{""}, Store: store, Sink: sink, Clock: c, Log: zap.NewNop(),
						Interval: follow.Every(20 * time.Millisecond), Wait: follow.MaxWait(silentRecovery, silentStall),
					}
					go func() {
						for c.BlockUntilContext(ctx, 1) == nil {
							c.Advance(10 * time.Millisecond)
						}
					}()
					_ = f.Run(ctx) // Ends once the row has been passed on.
					due := store.changedAt
					if recovered := store.until.Add(silentRecovery); recovered.After(due) {
						due = recovered
					}
					is.True(sink.seenAt.Sub(due) <= 100*time.Millisecond)
					is.True(store.calls <= int(sink.seenAt.Sub(began)/(700*time.Millisecond))+5) // each call is charged
				}
			})
		}
	}
}
