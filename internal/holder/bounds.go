package holder

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// keyLeaseBounds is the key of the row with the bounds of leases at endpoints. No job's progress has such a key.
const keyLeaseBounds rowstore.Key = "lease-bounds"

// clockDriftPercent is by how much the steady clocks of two entries may differ.
const clockDriftPercent = 2

// storedBounds encodes bounds as durations, because the clocks of entries differ.
func storedBounds(now time.Time, i shard.Inheritance) *jobv1.LeaseBounds {
	m := &jobv1.LeaseBounds{RemainingMs: remainingMillis(now, i.End)}
	for _, b := range i.Bounds {
		m.Bounds = append(m.Bounds, &jobv1.LeaseBound{
			Endpoint: string(b.Endpoint), Born: b.StartMillis, RemainingMs: remainingMillis(now, b.End), Silent: b.Silent, CordonedMs: remainingMillis(now, b.CordonedUntil),
		})
	}
	return m
}

// remainingMillis returns the time until end, rounded up.
func remainingMillis(now, end time.Time) uint64 {
	if !end.After(now) {
		return 0
	}
	return uint64((end.Sub(now) + time.Millisecond - 1) / time.Millisecond)
}

func (c *Chain) boundsRow(m *jobv1.LeaseBounds) rowstore.Row {
	m.Epoch, m.Renewals = uint64(c.Epoch), c.renewals
	return mustRow(tableProgress, dutyPart(c.Duty), keyLeaseBounds, m)
}

// readBounds reads the bounds that the previous holder stored. A row that is missing or cannot be read is returned as nil.
func (c *Chain) readBounds(ctx context.Context) (*jobv1.LeaseBounds, error) {
	page, err := c.scan(ctx, rowstore.Only(tableProgress, dutyPart(c.Duty), keyLeaseBounds))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, row := range page.Rows {
		m := &jobv1.LeaseBounds{}
		if row.Key == keyLeaseBounds && proto.Unmarshal(row.Value, m) == nil {
			return m, nil
		}
	}
	return nil, nil
}

// inheritance returns what is known of the leases that earlier holders granted. seen is the lease as this entry last saw
// it, current as it is now, stored what the previous holder wrote with it, chainEpoch the epoch of the last holder that
// wrote, whether or not its lease can be read.
func inheritance(now time.Time, seen, current election.Lease, chainEpoch fleet.FencingToken, stored *jobv1.LeaseBounds) shard.Inheritance {
	if current.Epoch == 0 && chainEpoch == 0 {
		return shard.Inheritance{} // There was no holder.
	}
	unknown := func(writtenBy time.Time) shard.Inheritance {
		return shard.Inheritance{End: shard.LeaseEnd(writtenBy.Add(withDrift(holderPatience)))}
	}
	if current.Epoch < chainEpoch {
		return unknown(now)
	}
	writtenBy := now
	if seen.Epoch == current.Epoch && seen.Renewals == current.Renewals && seen.Released == current.Released {
		writtenBy = seen.SeenAt
	}
	lastGrant := writtenBy
	if !current.Released {
		lastGrant = lastGrant.Add(withDrift(holderValidity))
	}
	if ended := seen.EndedBy; !ended.IsZero() && seen.Epoch == current.Epoch {
		// Its last renewal was written, and its last lease granted, before its process ended.
		writtenBy, lastGrant = earlier(writtenBy, ended), earlier(lastGrant, ended)
	}
	own := shard.LeaseEnd(lastGrant)
	if stored == nil || fleet.FencingToken(stored.GetEpoch()) != current.Epoch || stored.GetRenewals() != current.Renewals {
		// The earlier holders are unknown; they have ended before this one took the lease.
		return unknown(writtenBy)
	}
	after := func(millis uint64) time.Time {
		return writtenBy.Add(withDrift(time.Duration(min(millis, maxRemainingMillis)) * time.Millisecond))
	}
	i := shard.Inheritance{End: later(own, after(stored.GetRemainingMs()))}
	for _, b := range stored.GetBounds() {
		i.Bounds = append(i.Bounds, shard.LeaseBound{
			EndpointProcess: fleet.EndpointProcess{Endpoint: fleet.EndpointID(b.GetEndpoint()), StartMillis: b.GetBorn()},
			End:             after(b.GetRemainingMs()), Silent: b.GetSilent(), CordonedUntil: after(b.GetCordonedMs()),
		})
	}
	return i
}

// maxRemainingMillis bounds what a row may ask to wait for: no lease lasts for longer.
const maxRemainingMillis = 60_000

// withDrift adds what the clocks of two entries may differ by during d.
func withDrift(d time.Duration) time.Duration { return d + d*clockDriftPercent/100 }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
