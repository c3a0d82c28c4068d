package follow_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/follow"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
)

// busyStore is a store whose rows change all the time. It answers late, in pages, loses answers and forgets its history.
type busyStore struct {
	random *rand.Rand
	clock  *clockwork.FakeClock
	// rows holds each change in order, committedAt when it was made.
	rows        []rowstore.Row
	committedAt []time.Time
}

// work lets time pass and rows change.
func (s *busyStore) work() error {
	for range s.random.IntN(4) {
		s.clock.Advance(time.Duration(s.random.IntN(300)) * time.Millisecond)
		s.rows = append(s.rows, rowstore.Row{Table: testTable, Key: rowstore.Key('a' + rune(s.random.IntN(5))), Version: rowstore.Version(len(s.rows) + 1)})
		s.committedAt = append(s.committedAt, s.clock.Now())
	}
	if s.random.IntN(6) == 0 {
		return &rowstore.UnknownError{Call: "busy"}
	}
	return nil
}

// Scan implements follow.Store.
func (s *busyStore) Scan(_ context.Context, r rowstore.Range) (rowstore.Page, error) {
	if err := s.work(); err != nil {
		return rowstore.Page{}, err
	}
	p := rowstore.Page{Version: rowstore.Version(len(s.rows))}
	newest := map[rowstore.Key]rowstore.Row{}
	for _, row := range s.rows {
		newest[row.Key] = row
	}
	for _, row := range newest {
		if row.Key >= r.From {
			p.Rows = append(p.Rows, row)
		}
	}
	slices.SortFunc(p.Rows, func(a, b rowstore.Row) int { return int(a.Key[0]) - int(b.Key[0]) })
	if len(p.Rows) > 2 {
		p.Rows, p.More = p.Rows[:2], true
	}
	return p, s.work()
}

// Parts implements follow.Store.
func (*busyStore) Parts(context.Context, rowstore.Table) ([]rowstore.Part, error) { return nil, nil }

// Changes implements follow.Store.
func (s *busyStore) Changes(_ context.Context, _ rowstore.Table, after rowstore.Version, _ time.Duration) (rowstore.Page, error) {
	if err := s.work(); err != nil {
		return rowstore.Page{}, err
	}
	if s.random.IntN(8) == 0 {
		return rowstore.Page{}, &rowstore.HistoryError{Since: after}
	}
	if after > 0 && s.random.IntN(8) == 0 {
		return rowstore.Page{Version: after, Rows: s.rows[after-1 : after]}, nil // an answer of before
	}
	if after > 0 && s.random.IntN(8) == 0 {
		return rowstore.Page{Version: after, Behind: true}, nil // the same without rows
	}
	p := rowstore.Page{Version: rowstore.Version(len(s.rows))}
	p.Rows = slices.Clone(s.rows[after:])
	if len(p.Rows) > 2 {
		p.Rows, p.More, p.Version = p.Rows[:2], true, after+2
	}
	if p.More && s.random.IntN(4) == 0 {
		p.Rows, p.Version = nil, after
	}
	return p, s.work()
}

// syncedSink checks what it is told about the rows that it has.
type syncedSink struct {
	t     *testing.T
	seed  uint64
	store *busyStore
	seen  map[rowstore.Key]rowstore.Version
	syncs int
	stop  context.CancelFunc
}

// Replace implements follow.Sink.
func (s *syncedSink) Replace(rows []rowstore.Row) {
	s.seen = map[rowstore.Key]rowstore.Version{}
	s.Change(rows)
}

// Change implements follow.Sink.
func (s *syncedSink) Change(rows []rowstore.Row) {
	for _, row := range rows {
		s.seen[row.Key] = max(s.seen[row.Key], row.Version)
	}
}

// Synced implements follow.Sink.
func (s *syncedSink) Synced(upTo time.Time) {
	for i, row := range s.store.rows {
		if s.store.committedAt[i].Before(upTo) && s.seen[row.Key] < row.Version {
			s.t.Logf("seed %d: version %d of %s was committed %v before and is missing", s.seed, row.Version, row.Key, upTo.Sub(s.store.committedAt[i]))
			is.New(s.t).Fail()
		}
	}
	if s.syncs++; s.syncs == 40 {
		s.stop()
	}
}

// Guards against a withdrawn permission that a follower confirms although its withdrawal is still to be read: in a
// further page, in a row that was read before it changed, behind an old answer, or while the answer was under way.
func TestSyncedIsNoLaterThanWhatWasRead(t *testing.T) {
	for seed := range uint64(150) {
		c := clockwork.NewFakeClock()
		store := &busyStore{random: rand.New(rand.NewPCG(seed, 38)), clock: c}
		ctx, stop := context.WithCancel(t.Context())
		f := &follow.Follower{
			Duty: "follow", Table: testTable, Parts: []rowstore.Part{""}, Store: store, Sink: &syncedSink{t: t, seed: seed, store: store, stop: stop},
			Clock: c, Log: zap.NewNop(), Interval: follow.Every(20 * time.Millisecond),
		}
		go func() {
			for c.BlockUntilContext(ctx, 1) == nil {
				c.Advance(10 * time.Millisecond)
			}
		}()
		_ = f.Run(ctx) // Ends after a number of reads.
		stop()
	}
}
