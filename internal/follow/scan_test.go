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
	testTable rowstore.Table = "table"
	rowBytes                 = 1 << 10
)

// linkStore is a store with one table behind a link that carries a number of bytes a second. Time passes with each
// call, on a fake clock.
type linkStore struct {
	clock *clockwork.FakeClock
	parts []rowstore.Part
	rows  map[rowstore.Part][]rowstore.Row
	// changes are what the feed lists.
	changes []rowstore.Row
	version rowstore.Version
	// oldest is the oldest version from which the feed can list changes.
	oldest rowstore.Version
	// bytesPerSecond is the rate of the link; 0 means that calls take no time.
	bytesPerSecond int
	// fail, if set, returns the error of a call.
	fail func(call int) error
	// page, if set, replaces the answer to a scan.
	page func(r rowstore.Range, p rowstore.Page) (rowstore.Page, error)

	calls, scanned int
	longest        time.Duration
}

func newLinkStore(rows int, parts ...rowstore.Part) *linkStore {
	s := &linkStore{clock: clockwork.NewFakeClock(), parts: parts, rows: map[rowstore.Part][]rowstore.Row{}, version: 1}
	for _, part := range parts {
		for n := range rows {
			s.rows[part] = append(s.rows[part], rowstore.Row{
				Table: testTable, Part: part, Key: rowstore.Key(fmt.Sprintf("%06d", n)), Value: make([]byte, rowBytes), Version: 1,
			})
		}
	}
	return s
}

// pass lets the time pass that a page takes on the link.
func (s *linkStore) pass(rows int) {
	if s.bytesPerSecond > 0 {
		took := time.Duration(rows*rowBytes) * time.Second / time.Duration(s.bytesPerSecond)
		s.longest = max(s.longest, took)
		s.clock.Advance(took)
	}
}

func (s *linkStore) failure() error {
	s.calls++
	if s.fail != nil {
		return s.fail(s.calls)
	}
	return nil
}

// Scan implements follow.Store.
func (s *linkStore) Scan(ctx context.Context, r rowstore.Range) (rowstore.Page, error) {
	if err := s.failure(); err != nil {
		return rowstore.Page{}, err
	}
	page := rowstore.Page{Version: s.version}
	for _, row := range s.rows[r.Part] {
		if row.Key < r.From {
			continue
		}
		if len(page.Rows) == r.Limit {
			page.More = true
			break
		}
		page.Rows = append(page.Rows, row)
	}
	if s.page != nil {
		return s.page(r, page)
	}
	s.scanned += len(page.Rows)
	s.pass(len(page.Rows))
	return page, ctx.Err()
}

// Parts implements follow.Store.
func (s *linkStore) Parts(context.Context, rowstore.Table) ([]rowstore.Part, error) {
	return s.parts, s.failure()
}

// Changes implements follow.Store.
func (s *linkStore) Changes(_ context.Context, _ rowstore.Table, after rowstore.Version, _ time.Duration) (rowstore.Page, error) {
	if err := s.failure(); err != nil {
		return rowstore.Page{}, err
	}
	if after < s.oldest {
		return rowstore.Page{}, &rowstore.HistoryError{Since: after}
	}
	page := rowstore.Page{Version: s.version}
	for _, row := range s.changes {
		if row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	s.pass(len(page.Rows))
	return page, nil
}

func scanOf(s *linkStore) *follow.Scan {
	return &follow.Scan{Store: s, Table: testTable, Parts: append([]rowstore.Part(nil), s.parts...), Clock: s.clock, Log: zap.NewNop()}
}

// Guards against a table that can never be read because it outgrows what the link carries within a timeout: an
// entry behind 2 Mbit/s read 1.2 s of it and then began again, for the rest of the day.
func TestScanGoesOnAfterFailures(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(call int) error
	}{
		{"no failure", nil},
		{"each second page is refused", func(call int) error {
			if call%2 == 0 {
				return &rowstore.RefusedError{Call: "scan", Status: 503}
			}
			return nil
		}},
		{"two of three answers are lost", func(call int) error {
			if call%3 > 0 {
				return &rowstore.UnknownError{Call: "scan", Cause: context.DeadlineExceeded}
			}
			return nil
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newLinkStore(3000, "a", "b")
			s.bytesPerSecond, s.fail = 250_000, c.fail
			scan := scanOf(s)
			attempts := 0
			for scan.Run(t.Context()) != nil {
				attempts++
				is.True(attempts < 5000) // it comes to an end
			}
			is.Equal(len(scan.Rows()), 6000)
			is.Equal(s.scanned, 6000)               // nothing was read twice
			is.True(s.longest < 2*time.Second)      // a page is as large as the link allows
			is.True(s.calls < 600 || c.fail != nil) // and not much smaller
		})
	}
}

// Guards against readers that stop at an answer which the store should not give.
func TestScanPassesBadPages(t *testing.T) {
	for _, c := range []struct {
		name string
		page func(r rowstore.Range, p rowstore.Page) (rowstore.Page, error)
		want int
	}{
		{"a part vanishes between two pages", func(r rowstore.Range, p rowstore.Page) (rowstore.Page, error) {
			if r.Part == "a" && r.From != "" {
				return rowstore.Page{Version: 2}, nil
			}
			return p, nil
		}, 64 + 1000},
		{"more is announced and nothing sent", func(r rowstore.Range, p rowstore.Page) (rowstore.Page, error) {
			if r.Part == "a" && r.From != "" {
				return rowstore.Page{Version: 2, More: true}, nil
			}
			return p, nil
		}, 64 + 1000},
		{"the same page again and again", func(r rowstore.Range, p rowstore.Page) (rowstore.Page, error) {
			if r.Part == "a" && r.From != "" {
				return rowstore.Page{Version: 2, More: true, Rows: []rowstore.Row{{Part: "a", Key: "000000"}}}, nil
			}
			return p, nil
		}, -1},
		{"a row that stays unreadable", func(_ rowstore.Range, p rowstore.Page) (rowstore.Page, error) {
			for i, row := range p.Rows {
				if row.Part == "a" && row.Key == "000003" {
					p.Rows = append(p.Rows[:i:i], p.Rows[i+1:]...)
					return p, &rowstore.UnreadableError{Rows: 1, LastKey: row.Key}
				}
			}
			return p, nil
		}, 1999},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newLinkStore(1000, "a", "b")
			s.page = c.page
			scan := scanOf(s)
			attempts := 0
			for scan.Run(t.Context()) != nil {
				attempts++
				is.True(attempts < 100) // it comes to an end
			}
			other := 0
			for _, row := range scan.Rows() {
				if row.Part == "b" {
					other++
				}
			}
			is.Equal(other, 1000) // the other part is read in full
			if c.want >= 0 {
				is.Equal(len(scan.Rows()), c.want)
			}
		})
	}
}

// tableSink keeps the rows of a table.
type tableSink struct {
	rows    map[rowstore.Key]rowstore.Version
	synced  func()
	replace int
}

// Replace implements follow.Sink.
func (s *tableSink) Replace(rows []rowstore.Row) {
	s.rows = map[rowstore.Key]rowstore.Version{}
	s.replace++
	s.Change(rows)
}

// Change implements follow.Sink.
func (s *tableSink) Change(rows []rowstore.Row) {
	for _, row := range rows {
		if row.Deleted {
			delete(s.rows, row.Key)
			continue
		}
		s.rows[row.Key] = row.Version
	}
}

// Synced implements follow.Sink.
func (s *tableSink) Synced(time.Time) { s.synced() }

// Guards against a table that takes longer to read than the store keeps its changes: the follower would have to
// read it again, for ever. What changes while it is read must not be missed.
func TestFollowerLoadsTableThatOutlastsHistory(t *testing.T) {
	is := is.New(t)
	s := newLinkStore(2000, "a")
	s.bytesPerSecond = 50_000 // the table takes 40 s
	start := s.clock.Now()
	const history = 20 * time.Second
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	sink := &tableSink{synced: stop}
	changed := 0
	s.fail = func(int) error {
		// A row that was read before changes each second, and the store forgets changes after 20 s.
		for ; changed < int(s.clock.Now().Sub(start)/time.Second); changed++ {
			s.version++
			row := rowstore.Row{Table: testTable, Part: "a", Key: rowstore.Key(fmt.Sprintf("%06d", changed)), Version: s.version}
			if changed%2 == 0 {
				row.Deleted = true
			}
			s.changes = append(s.changes, row)
		}
		if s.clock.Now().Sub(start) > history {
			s.oldest = s.version - rowstore.Version(history/time.Second)
		}
		return nil
	}
	f := &follow.Follower{
		Duty: "follow", Table: testTable, Parts: []rowstore.Part{"a"}, Store: s, Sink: sink, Clock: s.clock, Log: zap.NewNop(),
		Interval: follow.Every(time.Second),
	}
	_ = f.Run(ctx)
	is.Equal(sink.replace, 1)
	is.Equal(s.scanned, 2000) // the table was read once
	for n := range 36 {       // the last changes may be in the next read
		version, ok := sink.rows[rowstore.Key(fmt.Sprintf("%06d", n))]
		is.Equal(ok, n%2 == 1)
		if ok {
			is.Equal(version, rowstore.Version(n+2))
		}
	}
}

// Guards against a follower that reads without a pause while the store announces more changes and sends none.
func TestFollowerPausesBetweenEmptyPagesOfChanges(t *testing.T) {
	is := is.New(t)
	s := &endlessStore{linkStore: newLinkStore(1, "a")}
	ctx, stop := context.WithCancel(t.Context())
	syncs := 0
	sink := &tableSink{}
	sink.synced = func() {
		syncs++
		if syncs == 3 {
			stop()
		}
	}
	f := &follow.Follower{
		Duty: "follow", Table: testTable, Parts: []rowstore.Part{"a"}, Store: s, Sink: sink, Clock: s.clock, Log: zap.NewNop(),
		Interval: follow.Every(time.Second),
	}
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	for n := range 2 {
		is.NoErr(s.clock.BlockUntilContext(t.Context(), 1)) // it waits for the interval after each read
		is.Equal(s.feeds, n)
		s.clock.Advance(time.Second)
	}
	<-done
}

// endlessStore announces more changes each time and sends none.
type endlessStore struct {
	*linkStore
	feeds int
}

// Changes implements follow.Store.
func (s *endlessStore) Changes(context.Context, rowstore.Table, rowstore.Version, time.Duration) (rowstore.Page, error) {
	s.feeds++
	return rowstore.Page{Version: rowstore.Version(s.feeds + 1), More: true}, nil
}
