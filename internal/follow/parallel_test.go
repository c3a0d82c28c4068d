package follow_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/follow"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
)

// heldStore answers a scan when the test lets it.
type heldStore struct {
	follow.Store
	calls, answers chan struct{}
}

// Scan implements follow.Store.
func (s *heldStore) Scan(ctx context.Context, r rowstore.Range) (rowstore.Page, error) {
	s.calls <- struct{}{}
	select {
	case <-s.answers:
		return rowstore.Page{Version: 1, Rows: []rowstore.Row{{Table: r.Table, Part: r.Part, Key: "a", Version: 1}}}, nil
	case <-ctx.Done():
		return rowstore.Page{}, ctx.Err()
	}
}

// Guards against parts that are read one after another, and readers that outlive the read or a follower that ends.
func TestReadersReadAtATimeAndEndWithTheRead(t *testing.T) {
	const parts, readers = 32, 8
	for _, rounds := range []int{parts / readers, 1} {
		t.Run(fmt.Sprint(rounds, " rounds"), func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			group, running := duty.NewGroup(ctx)
			run, stop := context.WithCancel(running)
			defer stop()
			s := &heldStore{calls: make(chan struct{}, parts), answers: make(chan struct{})}
			sink := &tableSink{}
			done := make(chan struct{})
			sink.synced = func() {
				_ = group.Wait() // The follower goes on, its readers do not.
				stop()
			}
			f := &follow.Follower{
				Duty: "follow", Table: testTable, Readers: readers, Duties: group, Store: s, Sink: sink, Clock: clock.Real(), Log: zap.NewNop(),
				Interval: follow.Every(time.Second),
			}
			for n := range parts {
				f.Parts = append(f.Parts, rowstore.Part(fmt.Sprint(n)))
			}
			go func() { defer close(done); _ = f.Run(run) }()
			for round := range rounds {
				for range readers {
					<-s.calls
				}
				if round == 0 && rounds == 1 {
					stop()
					break
				}
				for range readers {
					s.answers <- struct{}{}
				}
			}
			<-done
			is.NoErr(group.Wait())
			is.NoErr(ctx.Err())
			is.Equal(sink.replace == 1, rounds > 1)
		})
	}
}
