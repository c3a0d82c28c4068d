package holder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a wait for the leases of earlier holders that counts from the wrong moment.
func TestInheritedLeases(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	seenAt := now.Add(-2 * time.Second)
	renewed := election.Lease{Epoch: 5, Renewals: 7, SeenAt: seenAt, ChangedAt: seenAt}
	released := election.Lease{Epoch: 5, Renewals: 8, Released: true, SeenAt: seenAt, ChangedAt: seenAt}
	none := &jobv1.LeaseBounds{Epoch: 5, Renewals: 7}
	bounds := &jobv1.LeaseBounds{Epoch: 5, Renewals: 8, RemainingMs: 1000, Bounds: []*jobv1.LeaseBound{{Endpoint: "gone", RemainingMs: 500, Silent: true}}}
	bound := func(from time.Time) []shard.LeaseBound {
		return []shard.LeaseBound{{EndpointProcess: fleet.EndpointProcess{Endpoint: "gone"}, End: from.Add(510 * time.Millisecond), Silent: true, CordonedUntil: from}}
	}
	for _, c := range []struct {
		name          string
		seen, current election.Lease
		stored        *jobv1.LeaseBounds
		wantEnd       time.Time
		wantBounds    []shard.LeaseBound
	}{
		{name: "there was no holder"},
		{"the holder is lost", renewed, renewed, none, shard.LeaseEnd(seenAt.Add(withDrift(holderValidity))), nil},
		{
			"the holder is lost and an outage followed",
			election.Lease{Epoch: 5, Renewals: 7, SeenAt: seenAt, ChangedAt: now},
			renewed, none,
			shard.LeaseEnd(seenAt.Add(withDrift(holderValidity))), nil,
		},
		{
			"the holder's process had ended",
			election.Lease{Epoch: 5, Renewals: 7, SeenAt: seenAt, ChangedAt: seenAt, EndedBy: seenAt.Add(-time.Second)},
			renewed, none, shard.LeaseEnd(seenAt.Add(-time.Second)), nil,
		},
		{
			"the holder's process ended after its last renewal",
			election.Lease{Epoch: 5, Renewals: 7, SeenAt: seenAt, ChangedAt: seenAt, EndedBy: seenAt.Add(time.Second)},
			renewed, none, shard.LeaseEnd(seenAt.Add(time.Second)), nil,
		},
		{"the holder released the lease", released, released, bounds, shard.LeaseEnd(seenAt), bound(seenAt)},
		{"the holder released the lease unseen", renewed, released, bounds, shard.LeaseEnd(now), bound(now)},
		{"leases of earlier holders last longer", released, released, &jobv1.LeaseBounds{Epoch: 5, Renewals: 8, RemainingMs: 10_000}, seenAt.Add(10_200 * time.Millisecond), nil},
		{"the bounds are of an earlier renewal", released, released, none, shard.LeaseEnd(seenAt.Add(withDrift(holderPatience))), nil},
		{"the bounds are missing", released, released, nil, shard.LeaseEnd(seenAt.Add(withDrift(holderPatience))), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := inheritance(now, c.seen, c.current, c.current.Epoch, c.stored)
			is.New(t).Equal(got.End, c.wantEnd)
			is.New(t).Equal(got.Bounds, c.wantBounds)
		})
	}
}
