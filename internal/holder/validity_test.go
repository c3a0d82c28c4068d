package holder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a holder that renews leases for longer than the next one waits: the next one sees renewals only.
func TestWriteWithoutRenewalDoesNotExtendValidity(t *testing.T) {
	is := is.New(t)
	taken := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	h := &heldDuty{
		chain: &Chain{Duty: ServiceDuty("s"), Epoch: 1}, engine: shard.NewEngine("s", 1, shard.Bounds{}, nil, shard.Inheritance{}, taken.Add(holderValidity)),
		writes: ring.New[Write]("writes", 1), renewedAt: taken, confirmedAt: taken,
	}
	s := &Scheduler{held: map[fleet.DutyName]*heldDuty{h.chain.Duty: h}}
	for _, c := range []struct {
		after     time.Duration
		wantRenew bool
	}{
		{election.RenewInterval / 2, false},
		{election.RenewInterval, true},
	} {
		at := taken.Add(c.after)
		s.write(at, h, &shard.Batch{})
		w, ok := h.writes.TryPop()
		is.True(ok)
		is.Equal(w.Renew, c.wantRenew)
		s.applyWritten(at, &Written{Duty: h.chain.Duty, Epoch: 1, SentAt: at})
		is.Equal(h.confirmedAt.Equal(at), c.wantRenew)
	}
}
