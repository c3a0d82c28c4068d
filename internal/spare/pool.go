package spare

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Pool is what a decision needs to know of a pool. Sizes are observed, never declared ones.
type Pool struct {
	ID fleet.PoolID
	// Lender says that the pool lends VMs.
	Lender bool
	// Home holds the serving VMs that are not borrowed.
	Home []fleet.VM
	// Borrowed holds the serving VMs that another pool lent.
	Borrowed []fleet.VM
	// Arriving counts VMs that are on their way to the pool.
	Arriving fleet.VMCount
	// MaxVMs bounds the pool; 0 does not bind.
	MaxVMs fleet.VMCount
	// Busy is the capacity in use, by the platform's usage, which lags.
	Busy VMs
	// BusyAt is when Busy was true.
	BusyAt time.Time
	// Queued is the expected run time of waiting work that can run, by observed run times. Work that
	// no endpoint can run is left out, because no number of VMs would let it run.
	Queued time.Duration
	// SlotsPerVM is how many requests a VM of the pool runs at the same time.
	SlotsPerVM fleet.Slots
}

// Times of a queue.
const (
	// peakTime is the work per VM that a peak leaves waiting. The buffer clears it between peaks, and
	// the usage counts it when it runs, so it adds nothing to the demand.
	peakTime = time.Minute
	// clearTime is within which the rest of the queue should be cleared.
	clearTime = 5 * time.Minute
)

// saturation is the share of its VMs that a pool uses when it has more work than it can do. Work that
// waits below it waits for something else than VMs, such as a job that no endpoint can run.
const saturation = 0.7

// demand returns the capacity that the pool needs to keep up with its work.
func (p Pool) demand() VMs {
	serving := VMs(len(p.Home) + len(p.Borrowed))
	if p.Busy < saturation*serving {
		return p.Busy
	}
	waiting := VMs(p.Queued) / VMs(max(1, p.SlotsPerVM))
	return p.Busy + max(0, waiting-serving*VMs(peakTime))/VMs(clearTime)
}

// size returns the VMs of the pool, with those on their way.
func (p Pool) size() fleet.VMCount {
	return fleet.VMCount(len(p.Home)+len(p.Borrowed)) + p.Arriving
}
