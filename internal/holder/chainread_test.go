package holder_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/internal/follow"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/standin/rows"
)

// swallowingStore swallows each read.
type swallowingStore struct{ *rows.Store }

// Scan implements holder.Store.
func (*swallowingStore) Scan(ctx context.Context, _ rowstore.Range) (rowstore.Page, error) {
	<-ctx.Done()
	return rowstore.Page{}, &rowstore.UnknownError{Call: "scan", Cause: ctx.Err()}
}

// Guards against the largest VM missing the end of an outage: a read of its claim was swallowed, and it waited 5 s for it.
func TestSwallowedReadOfAClaimEndsSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, c := is.New(t), clock.Real()
		latency := &ring.Latest[follow.Latency]{}
		latency.Set(follow.Latency{AnsweredAt: c.Now(), DueAt: c.Now().Add(time.Second), Latency: 4 * time.Millisecond})
		chain := &holder.Chain{Duty: "jobs-s", Self: holder.Identity{Entry: "a", Incarnation: "life"}, Store: &swallowingStore{rows.New(c)}, Clock: c, Latency: latency}
		began := c.Now()
		_, err := holder.TakeLease(t.Context(), chain, election.Lease{})
		var unknown *rowstore.UnknownError
		is.True(errors.As(err, &unknown))
		is.True(c.Now().Sub(began) <= 500*time.Millisecond)
	})
}
