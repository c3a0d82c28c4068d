package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// LeaseBound is when the leases at one endpoint end, where the next holder would assume another time.
type LeaseBound struct {
	Endpoint fleet.EndpointID
	End      time.Time
	// Silent is set while the holder grants the endpoint nothing, so that the end holds for the next holder as well.
	// Otherwise the leases that the holder itself grants may end later.
	Silent bool
}

// Inheritance is what a holder knows of the leases that earlier holders granted.
type Inheritance struct {
	// End is when the leases at endpoints without a bound have expired, whether or not the endpoint answers.
	End    time.Time
	Bounds []LeaseBound
}

// inheritedEnd returns when the leases that earlier holders granted to an endpoint have expired.
func (e *Engine) inheritedEnd(id fleet.EndpointID) time.Time {
	b, listed := e.inheritedBounds[id]
	switch {
	case !listed:
		return e.inherited.End
	case b.Silent:
		return b.End
	}
	return later(e.inherited.End, b.End)
}

// maxLeaseBounds bounds the list of bounds, which is stored in one row.
const maxLeaseBounds = 1000

// withheldInterval is the time between requests for the lists of an endpoint that is granted nothing.
const withheldInterval = 400 * time.Millisecond

// boundTolerance is by how much a stored bound may be exceeded until the next renewal.
const boundTolerance = 100 * time.Millisecond

// Confirm extends the time during which the holder may grant leases.
func (e *Engine) Confirm(now, until time.Time) {
	resumed := !e.valid(now)
	e.validUntil = later(e.validUntil, until)
	if resumed && e.valid(now) {
		for _, w := range e.workers {
			w.nextHoldAt = now
		}
	}
}

// valid reports whether the holder may grant leases.
func (e *Engine) valid(now time.Time) bool { return now.Before(e.validUntil) }

// mayGrant reports whether the holder may grant a lease to an endpoint: the next holder may count on it that one which
// is listed as silent gets none.
func (e *Engine) mayGrant(now time.Time, w *worker) bool {
	return e.valid(now) && !e.withheld[w.Endpoint]
}

// LeaseBounds returns the bounds that the next holder has to know, to be stored with a renewal of the service's lease.
// From then on the endpoints that it lists as silent are granted nothing, until BoundsStored is called for a list
// without them.
func (e *Engine) LeaseBounds(now time.Time) Inheritance {
	i := e.leaseBounds(now)
	e.pendingBounds = map[fleet.EndpointID]LeaseBound{}
	for _, b := range i.Bounds {
		e.pendingBounds[b.Endpoint] = b
		if b.Silent {
			e.withheld[b.Endpoint] = true
		}
	}
	return i
}

func (e *Engine) leaseBounds(now time.Time) Inheritance {
	if !e.loaded {
		return e.unloadedBounds(now)
	}
	var i Inheritance
	for _, w := range e.sorted() {
		b, ok := e.leaseBound(now, w)
		switch {
		case !ok:
		case len(i.Bounds) < maxLeaseBounds:
			i.Bounds = append(i.Bounds, b)
		default:
			i.End = later(i.End, b.End)
		}
	}
	return i
}

// unloadedBounds returns the bounds that earlier holders stored, until the engine knows where runs are. An endpoint
// that has answered this holder may be granted leases.
func (e *Engine) unloadedBounds(now time.Time) Inheritance {
	i := Inheritance{End: e.inherited.End}
	for _, b := range e.inherited.Bounds {
		if w := e.workers[b.Endpoint]; w != nil && w.contacted {
			b.Silent = false
		}
		if b.End.After(now) {
			i.Bounds = append(i.Bounds, b)
		}
	}
	return i
}

// leaseBound returns the bound of an endpoint whose leases do not end as the next holder would assume: it does not
// answer, or may have been granted a longer lease than the usual one.
func (e *Engine) leaseBound(now time.Time, w *worker) (LeaseBound, bool) {
	end := later(w.leaseEnd, w.unprovenLeaseEnd)
	silent := !w.reachable(now)
	if len(w.runs) == 0 || !end.After(now) || !silent && !w.mayHoldLongLease(now, e.leaseLength()) {
		return LeaseBound{}, false
	}
	return LeaseBound{Endpoint: w.Endpoint, End: end, Silent: silent}, true
}

// BoundsDue reports whether the stored bounds are out of date: an endpoint has fallen silent, or answers again, or may
// have been granted a longer lease.
func (e *Engine) BoundsDue(now time.Time) bool {
	if !e.loaded {
		for _, b := range e.inherited.Bounds {
			if w := e.workers[b.Endpoint]; e.withheld[b.Endpoint] && w != nil && w.contacted {
				return true
			}
		}
		return false
	}
	for _, w := range e.workers {
		stored := e.pendingBounds[w.Endpoint]
		b, ok := e.leaseBound(now, w)
		if ok && (stored.Silent != b.Silent || b.End.Sub(stored.End) > boundTolerance) || e.withheld[w.Endpoint] && w.reachable(now) {
			return true
		}
	}
	return false
}

// BoundsStored is called when the latest list that LeaseBounds returned is stored.
func (e *Engine) BoundsStored(now time.Time) {
	for id := range e.withheld {
		if e.pendingBounds[id].Silent {
			continue
		}
		delete(e.withheld, id)
		if w := e.workers[id]; w != nil {
			w.nextHoldAt = now
		}
	}
}
