package spare

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Pool is the input of a decision about one pool. Its amounts are observed, not declared.
type Pool struct {
	ID fleet.PoolID
	// Lender marks a spare pool, which lends VMs to other pools.
	Lender bool
	// Home holds the serving VMs that are not borrowed.
	Home []fleet.VM
	// Borrowed holds the serving VMs that another pool lent.
	Borrowed []fleet.VM
	// Arriving is the number of VMs that are being moved to the pool.
	Arriving fleet.VMCount
	// MaxVMs is the maximum size of the pool; 0 means no limit.
	MaxVMs fleet.VMCount
	// Busy is the capacity in use according to the platform, whose figures lag.
	Busy VMs
	// BusyAt is the time that Busy refers to.
	BusyAt time.Time
	// Queued is the expected run time of queued work, estimated from observed run times. Work that no
	// endpoint can run is excluded, because more VMs would not help it.
	Queued time.Duration
	// SlotsPerVM is the number of requests that a VM of the pool runs concurrently.
	SlotsPerVM fleet.Slots
}

// Parameters of the demand that queued work adds.
const (
	// peakBacklog is the work per VM that a peak leaves queued. The buffer clears it between peaks, and
	// it counts as usage when it runs, so it adds nothing to the demand.
	peakBacklog = time.Minute
	// clearTime is the time within which the rest of the queue should be cleared.
	clearTime = 5 * time.Minute
)

// saturation is the utilisation from which a pool is short of VMs. Work that waits at a lower utilisation
// waits for something else, such as an endpoint that can run it.
const saturation = 0.7

// demand returns the capacity that the pool needs to keep up with its work and to clear its backlog.
func (p Pool) demand() VMs {
	serving := VMs(len(p.Home) + len(p.Borrowed))
	if p.Busy < saturation*serving {
		return p.Busy
	}
	waiting := VMs(p.Queued) / VMs(max(1, p.SlotsPerVM))
	return p.Busy + max(0, waiting-serving*VMs(peakBacklog))/VMs(clearTime)
}

// size returns the number of VMs of the pool, including arriving ones.
func (p Pool) size() fleet.VMCount {
	return fleet.VMCount(len(p.Home)+len(p.Borrowed)) + p.Arriving
}
