package holder_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/follow"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
)

// silentStore does not answer scans.
type silentStore struct{ holder.Store }

// Scan implements holder.Store.
func (silentStore) Scan(ctx context.Context, _ rowstore.Range) (rowstore.Page, error) {
	<-ctx.Done()
	return rowstore.Page{}, &rowstore.UnknownError{Call: "scan", Cause: ctx.Err()}
}

// Guards against an entry that learns of the end of an outage seconds late because its probe began in the outage.
func TestProbeWithoutAnswerIsGivenUpSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		chain := &holder.Chain{Duty: "jobs-s", Store: silentStore{}, Clock: clock.Real(), Latency: &ring.Latest[follow.Latency]{}}
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		is.True(chain.Probe(ctx) != nil)
		is.True(time.Since(began) <= 500*time.Millisecond) // the time between probes
	})
}
