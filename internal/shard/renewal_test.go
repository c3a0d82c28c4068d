package shard_test

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/shard"
)

const (
	// fakeValidity is how long a holder grants leases after a renewal of the service's lease.
	fakeValidity = 2 * time.Second
	fakeRenewal  = 600 * time.Millisecond
	// fakeBounds is the shortest time between renewals.
	fakeBounds = 200 * time.Millisecond
)

// renew renews the lease of the service and stores the bounds of leases with it.
func (sim *simulation) renew() {
	if !sim.renewalAt.IsZero() && !sim.storeDown && !sim.now.Before(sim.renewalAt) {
		sim.stored, sim.renewalAt = sim.renewing, time.Time{}
		sim.engine.BoundsStored(sim.now)
		sim.engine.Confirm(sim.now, sim.renewedAt.Add(fakeValidity))
	}
	since := sim.now.Sub(sim.renewedAt)
	if sim.renewalAt.IsZero() && (since >= fakeRenewal || since >= fakeBounds && sim.engine.BoundsDue(sim.now)) {
		sim.renewedAt, sim.renewalAt = sim.now, sim.now.Add(fakeCommit)
		sim.renewing = sim.engine.PrepareBounds(sim.now)
	}
}

// inheritance returns what the next holder knows of the leases of a holder that ends now.
func (sim *simulation) inheritance() shard.Inheritance {
	inherited := sim.stored
	if end := shard.LeaseEnd(sim.now.Add(fakeValidity)); end.After(inherited.End) {
		inherited.End = end
	}
	return inherited
}

// release returns the same for a holder that releases the lease.
func (sim *simulation) release() shard.Inheritance {
	inherited := sim.engine.PrepareRelease(sim.now)
	if end := shard.LeaseEnd(sim.now); end.After(inherited.End) {
		inherited.End = end
	}
	return inherited
}
