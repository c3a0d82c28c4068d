package holder_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/standin/rows"
)

// Guards against a holder that waits for no lease of the one before because the lease row is missing or odd, although the
// chain row shows that there was one.
func TestLeasesAreOutwaitedWithoutLeaseRow(t *testing.T) {
	is := is.New(t)
	ctx, store := context.Background(), rows.New(clock.Real())
	first := &holder.Chain{Duty: "jobs-s", Self: holder.Identity{Entry: "first", Incarnation: "life"}, Store: store, Clock: clock.Real()}
	_, err := holder.TakeLease(ctx, first, election.Lease{})
	is.NoErr(err)
	page, err := store.Scan(ctx, rowstore.Range{Table: holder.MembersTable, Part: "duty-jobs-s"})
	is.NoErr(err)
	is.Equal(len(page.Rows), 1)
	_, err = store.Transact(ctx, rowstore.Transaction{Removes: page.Rows})
	is.NoErr(err)
	second := &holder.Chain{Duty: "jobs-s", Self: holder.Identity{Entry: "second", Incarnation: "life"}, Store: store, Clock: clock.Real()}
	taken, err := holder.TakeLease(ctx, second, election.Lease{})
	is.NoErr(err)
	is.True(second.Epoch > first.Epoch) // the earlier holder is known
	is.True(taken.Inherited.End.After(time.Now().Add(4 * time.Second)))
}
