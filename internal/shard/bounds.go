package shard

import (
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// LeaseBound is when the leases at one endpoint end, where the next holder would assume another time.
type LeaseBound struct {
	fleet.EndpointProcess
	End time.Time
	// Silent is set while the holder grants the endpoint nothing, so that the end holds for the next holder as well.
	// Otherwise the leases that the holder itself grants may end later.
	Silent bool
	// CordonedUntil is until when the endpoint gets no work: an order for its VM may be on its way.
	CordonedUntil time.Time
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

const (
	// maxLeaseBounds and maxBoundsSize bound the list of bounds, which is stored in one row of 64 KB at most.
	maxLeaseBounds             = 1000
	maxBoundsSize  fleet.Bytes = 60 << 10
	// boundSize is the most that a bound takes in the row besides the name of its endpoint: three numbers and a flag, with
	// their tags and lengths.
	boundSize fleet.Bytes = 48
)

// hasRoom reports whether the list of bounds may have one more.
func (i *Inheritance) hasRoom(id fleet.EndpointID) bool {
	size := boundSize + fleet.Bytes(len(id))
	for _, b := range i.Bounds {
		size += boundSize + fleet.Bytes(len(b.Endpoint))
	}
	return len(i.Bounds) < maxLeaseBounds && size <= maxBoundsSize
}

// makeRoom removes bounds of endpoints that are not cordoned until the list may have one more. What they say counts for all
// endpoints without a bound then. It returns false when there are none left.
func (i *Inheritance) makeRoom(id fleet.EndpointID) bool {
	for n := len(i.Bounds) - 1; !i.hasRoom(id); n-- {
		if n < 0 {
			return false
		}
		if b := i.Bounds[n]; b.CordonedUntil.IsZero() {
			i.End, i.Bounds = later(i.End, b.End), slices.Delete(i.Bounds, n, n+1)
		}
	}
	return true
}

// withheldInterval is the time between requests for the lists of an endpoint that is granted nothing.
const withheldInterval = HoldWait

// boundTolerance is by how much a stored bound may be exceeded until the next renewal.
const boundTolerance = 100 * time.Millisecond

// Confirm extends the time during which the holder may grant leases.
func (e *Engine) Confirm(now, until time.Time) {
	resumed := !e.Permitted(now)
	e.validUntil = later(e.validUntil, until)
	if resumed && e.Permitted(now) {
		for _, w := range e.workers {
			w.nextHoldAt = now
		}
	}
}

// Permitted reports whether the holder may grant leases and order starts and stops.
func (e *Engine) Permitted(now time.Time) bool { return now.Before(e.validUntil) }

// mayGrant reports whether the holder may grant a lease to an endpoint: the next holder may count on it that one which
// is listed as silent gets none.
func (e *Engine) mayGrant(now time.Time, w *worker) bool {
	return e.Permitted(now) && !e.withheld[w.Endpoint]
}

// mayStart reports whether a run may be started on an endpoint: as for mayGrant, and the next holder has to know of a
// lease that lasts for longer than it would assume.
func (e *Engine) mayStart(now time.Time, w *worker) bool {
	if !e.mayGrant(now, w) || !w.mayHoldLongLease(now, e.leaseLength()) {
		return e.mayGrant(now, w)
	}
	known := e.stored.End
	if b := e.storedBounds[w.Endpoint]; !b.Silent {
		known = later(known, b.End)
	}
	return later(w.leaseEnd, w.unprovenLeaseEnd).Sub(known) <= boundTolerance
}

// outwaitLongestLease records that the process of a worker which has just answered may have been granted the longest
// lease before, unless an earlier holder had its answer already and has stored when that ends.
func (e *Engine) outwaitLongestLease(now time.Time, w *worker) {
	if b, ok := e.inheritedBounds[w.Endpoint]; ok && !b.Silent && b.StartMillis != 0 && b.StartMillis == w.StartMillis {
		w.leaseEnd = later(w.leaseEnd, b.End)
		return
	}
	w.extendLease(now, e.Bounds.MaxLease)
}

// PrepareRelease returns the same as PrepareBounds and the endpoints that are cordoned, to be stored with a release: the next
// holder may take the service over before the order for a vacated VM arrives.
func (e *Engine) PrepareRelease(now time.Time) Inheritance {
	i := e.PrepareBounds(now)
	for _, w := range e.sorted() {
		if !now.Before(w.cordonedUntil) {
			continue
		}
		n := slices.IndexFunc(i.Bounds, func(b LeaseBound) bool { return b.Endpoint == w.Endpoint })
		if n < 0 {
			if !i.makeRoom(w.Endpoint) {
				break
			}
			n, i.Bounds = len(i.Bounds), append(i.Bounds, LeaseBound{EndpointProcess: w.Process()})
		}
		i.Bounds[n].CordonedUntil = w.cordonedUntil
	}
	return i
}

// PrepareBounds returns the bounds that the next holder has to know, to be stored with a renewal of the service's lease.
// From then on the endpoints that it lists as silent are granted nothing, until BoundsStored is called for a list
// without them.
func (e *Engine) PrepareBounds(now time.Time) Inheritance {
	i, isCut := e.leaseBounds(now)
	e.pending, e.pendingBounds, e.pendingCut = i, map[fleet.EndpointID]LeaseBound{}, isCut
	for _, b := range i.Bounds {
		e.pendingBounds[b.Endpoint] = b
		if b.Silent {
			e.withheld[b.Endpoint] = true
		}
	}
	return i
}

// leaseBounds returns the bounds, and whether the list has no room for all of them. What is not listed counts for all
// endpoints without a bound.
func (e *Engine) leaseBounds(now time.Time) (i Inheritance, isCut bool) {
	if !e.loaded {
		return e.unloadedBounds(now), false
	}
	size := fleet.Bytes(0)
	for _, w := range e.sorted() {
		b, ok := e.leaseBound(now, w)
		if !ok {
			continue
		}
		if size += boundSize + fleet.Bytes(len(b.Endpoint)); len(i.Bounds) < maxLeaseBounds && size <= maxBoundsSize {
			i.Bounds = append(i.Bounds, b)
		} else {
			i.End, isCut = later(i.End, b.End), true
		}
	}
	return i, isCut
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
	if !end.After(now) || silent && len(w.runs) == 0 || !silent && !w.mayHoldLongLease(now, e.leaseLength()) {
		return LeaseBound{}, false
	}
	return LeaseBound{EndpointProcess: w.Process(), End: end, Silent: silent}, true
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
	if e.pendingCut {
		return false // What is not listed counts for all others.
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

// BoundsStored is called when the latest list that PrepareBounds returned is stored.
func (e *Engine) BoundsStored(now time.Time) {
	e.stored, e.storedBounds = e.pending, e.pendingBounds
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
