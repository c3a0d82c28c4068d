package poolsize

import (
	"math"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Times of the demand that is remembered.
const (
	// offeredSpan is the time over which the rate of arriving work is measured, onsetSpan the shorter one in which the
	// beginning of a peak shows.
	offeredSpan = 1500 * time.Millisecond
	onsetSpan   = 250 * time.Millisecond
	// drainSpan is the time within which waiting work is to be begun. VMs for all of it at once would be unused soon
	// after they arrive.
	drainSpan = 2 * time.Second
	// settleSpan is the time for which a pool's demand counts as unchanged after it has fallen: running tasks end and
	// the next ones start a moment later.
	settleSpan = 300 * time.Millisecond
	// keepSpan is how long a pool keeps the VMs of its highest demand, keepHalfLife the half-life of that demand
	// afterwards. Demand that returns within some seconds finds them; after that their price exceeds what they would
	// earn in the two seconds that VMs from elsewhere take.
	keepSpan     = 5 * time.Second
	keepHalfLife = 10 * time.Second
	// startSpan is how long a pool keeps the VMs that it had when its first demand was recorded. Its operator, or an
	// earlier holder, has chosen them.
	startSpan = 20 * time.Second
	// maxDemand bounds a pool's demand, so that sums of odd values do not overflow: 2^40 millicores are a billion
	// cores.
	maxDemand fleet.Millicores = 1 << 40
)

// history is the recent demand of a pool.
type history struct {
	// arrivals are counts of the accepted work, oldest first. The first one may be older than offeredSpan.
	arrivals []arrival
	// demands are the maxima of the demand by time, so that each is larger than all later ones.
	demands []demandAt
	// keep is the demand to keep VMs for, keepUntil when it begins to decay.
	keep      fleet.Millicores
	keepUntil time.Time
}

type arrival struct {
	at   time.Time
	work fleet.Work
	jobs int
}

type demandAt struct {
	at     time.Time
	demand fleet.Millicores
}

// offered records the counts of accepted work and jobs. It returns the rate at which work arrives, the larger one of both
// spans, which is the processor capacity that it uses in the long run; and the jobs that have arrived within onsetSpan.
func (h *history) offered(now time.Time, work fleet.Work, jobs int) (fleet.Millicores, int) {
	if n := len(h.arrivals); n > 0 && work < h.arrivals[n-1].work {
		h.arrivals = nil // The pool has a new holder.
	}
	h.arrivals = append(h.arrivals, arrival{now, work, jobs})
	for len(h.arrivals) > 1 && now.Sub(h.arrivals[1].at) >= offeredSpan {
		h.arrivals = h.arrivals[1:]
	}
	onset := h.arrivals[0]
	for _, a := range h.arrivals {
		if now.Sub(a.at) >= onsetSpan {
			onset = a
		}
	}
	long, short := float64(work-h.arrivals[0].work)/offeredSpan.Seconds(), float64(work-onset.work)/onsetSpan.Seconds()
	return clamp(fleet.Millicores(max(long, short))), jobs - onset.jobs
}

// settled records the demand and returns the highest one within settleSpan.
func (h *history) settled(now time.Time, demand fleet.Millicores) fleet.Millicores {
	for n := len(h.demands); n > 0 && h.demands[n-1].demand <= demand; n-- {
		h.demands = h.demands[:n-1]
	}
	h.demands = append(h.demands, demandAt{now, demand})
	for now.Sub(h.demands[0].at) > settleSpan {
		h.demands = h.demands[1:]
	}
	return h.demands[0].demand
}

// kept records the demand and returns the one that the pool keeps VMs for. Before the first demand, the pool's
// present size counts as its demand: its operator has chosen it.
func (h *history) kept(now time.Time, demand, size fleet.Millicores) fleet.Millicores {
	if h.keepUntil.IsZero() {
		h.keep, h.keepUntil = max(demand, size), now.Add(startSpan)
	}
	age := now.Sub(h.keepUntil)
	decayed := h.keep
	if age > 0 {
		decayed = fleet.Millicores(float64(h.keep) * math.Exp2(-float64(age)/float64(keepHalfLife)))
	}
	if demand >= decayed {
		h.keep, h.keepUntil = demand, now.Add(keepSpan)
		return demand
	}
	return decayed
}

// clamp bounds a demand that was read from another entry.
func clamp(d fleet.Millicores) fleet.Millicores { return max(0, min(d, maxDemand)) }
