// Package routing chooses the endpoint for each attempt.
package routing

import (
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/heap"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Router tracks the endpoints of all pools and the attempts of this entry at them. One goroutine owns it.
type Router struct {
	// Zone is the entry's own availability zone.
	Zone fleet.ZoneID
	// Entry is the entry's own id.
	Entry fleet.EntryID
	// Reserved is how many slots of each endpoint, over all entries, long work never uses.
	Reserved fleet.Slots
	// EjectPercent bounds the ejected endpoints of a pool.
	EjectPercent fleet.Percent
	// LoanDuration is how long a loan of slots lasts; 0 disables loans.
	LoanDuration time.Duration
	// ZoneLatency is the extra latency of an endpoint in another availability zone.
	ZoneLatency time.Duration

	// entries are the live entries of the zone; while they are unknown, entryCount is their number.
	entries []fleet.EntryID
	// live holds the live entries of each zone that has any, all those of all zones.
	live       map[fleet.ZoneID][]fleet.EntryID
	all        []fleet.EntryID
	entryCount int
	view       *fleet.View
	endpoints  map[fleet.EndpointID]*endpoint
	pools      map[fleet.PoolID]*pool
	// probes holds the ejected endpoints by the time of their next probe.
	probes heap.Heap[*endpoint]
	// lentTo and borrowedFrom hold the loans in force.
	lentTo, borrowedFrom map[loanKey]activeLoan
	lastLoan             LoanNumber
	// withExcess holds the endpoints on which other entries run more than their shares.
	withExcess map[fleet.EndpointID]*endpoint
}

// Target is the endpoint chosen for an attempt.
type Target struct {
	Endpoint        fleet.EndpointID
	VM              fleet.VMID
	Address         fleet.Address
	Pool            fleet.PoolID
	AssignmentEpoch fleet.AssignmentEpoch
}

// Attempt describes an attempt that needs an endpoint, or runs on one.
type Attempt struct {
	// Long is set when the attempt counts as long work.
	Long bool
	// Expected is the expected run time.
	Expected time.Duration
	// Tried lists the endpoints that must not be picked.
	Tried []fleet.EndpointID
	// Wait is how long the attempt is expected to wait for a slot in the entry's own zone.
	Wait time.Duration
}

func (a Attempt) order() order {
	if a.Long {
		return orderLong
	}
	return orderShort
}

// SetEntries sets the live entries of the entry's zone, which share the slots of its endpoints. This
// entry has no share of the endpoints of other zones.
func (r *Router) SetEntries(entries []fleet.EntryID) {
	r.entries, r.live, r.all = entries, nil, nil
	if r.view != nil {
		r.Update(r.view, r.entryCount)
	}
}

// SetLive sets the live entries of all zones. The endpoints of a zone without a live entry are shared by
// the entries of all other zones. When an entry of that zone is alive after all, the endpoints refuse
// attempts beyond their slots.
func (r *Router) SetLive(live map[fleet.ZoneID][]fleet.EntryID) {
	r.entries, r.live, r.all = live[r.Zone], live, nil
	for _, list := range live {
		r.all = append(r.all, list...)
	}
	if r.view != nil {
		r.Update(r.view, r.entryCount)
	}
}

// sharers returns the entries that share the endpoints of a zone.
func (r *Router) sharers(zone fleet.ZoneID) []fleet.EntryID {
	switch {
	case zone == r.Zone:
		return r.entries
	case r.live != nil && len(r.live[zone]) == 0:
		return r.all
	default:
		return nil
	}
}

// Update replaces the view of the fleet. Attempts in flight, loans and health are kept.
func (r *Router) Update(view *fleet.View, entriesInZone int) {
	old := r.endpoints
	r.view, r.entryCount = view, entriesInZone
	r.endpoints = make(map[fleet.EndpointID]*endpoint, len(view.VMs))
	r.pools = map[fleet.PoolID]*pool{}
	r.probes = heap.Heap[*endpoint]{
		Less:  func(a, b *endpoint) bool { return a.health.probeAt.Before(b.health.probeAt) },
		Index: func(e *endpoint) *int { return &e.health.index },
	}
	if r.lentTo == nil {
		r.lentTo, r.borrowedFrom = map[loanKey]activeLoan{}, map[loanKey]activeLoan{}
		r.withExcess = map[fleet.EndpointID]*endpoint{}
	}
	for _, vm := range view.VMs {
		e := r.updateEndpoint(old[vm.Endpoint()], vm)
		e.leaving = vm.State != fleet.VMStateServing || view.Leaving[vm.ID]
		r.endpoints[vm.Endpoint()] = e
	}
	for id, e := range old {
		// An endpoint that left the view stays known until its last attempt has ended.
		if r.endpoints[id] == nil && e.running > 0 {
			e.leaving, e.pool = true, nil
			r.endpoints[id] = e
		}
	}
	r.countLoans()
	for _, vm := range view.VMs {
		p := r.pools[vm.Pool]
		if p == nil {
			p = newPool(vm.Pool)
			r.pools[vm.Pool] = p
		}
		e := r.endpoints[vm.Endpoint()]
		e.health.index = -1
		p.add(e)
		if e.health.state == healthStateEjected {
			r.probes.Push(e)
		}
	}
}

// updateEndpoint returns the state of an endpoint for its current row. e is nil for a new endpoint.
func (r *Router) updateEndpoint(e *endpoint, vm fleet.VM) *endpoint {
	switch {
	case e == nil:
		e = &endpoint{health: health{state: healthStateHealthy, index: -1}, rank: rendezvousHash(r.Entry, vm.Endpoint())}
	case e.vm.AssignmentEpoch != vm.AssignmentEpoch || e.vm.RowVersion != vm.RowVersion:
		e.reportedLeaving = false
	}
	e.vm, e.own = vm, vm.Zone == r.Zone
	e.share, e.reserved = 0, 0
	if sharers := r.sharers(vm.Zone); e.own || len(sharers) > 0 {
		e.share, e.reserved = r.divide(vm, sharers)
	}
	return e
}

// Pick returns the endpoint of a pool for an attempt, or false when none has room.
func (r *Router) Pick(id fleet.PoolID, a Attempt) (Target, bool) {
	p := r.pools[id]
	if p == nil {
		return Target{}, false
	}
	e := p.best(a.order(), a.Tried)
	if e == nil || !e.own && a.Wait <= r.ZoneLatency {
		return Target{}, false
	}
	return e.target(), true
}

// Started counts an attempt as in flight.
func (r *Router) Started(id fleet.EndpointID, a Attempt) { r.countAttempt(id, a, 1) }

// Finished counts an attempt as ended.
func (r *Router) Finished(id fleet.EndpointID, a Attempt) { r.countAttempt(id, a, -1) }

// countAttempt adds or removes one attempt.
func (r *Router) countAttempt(id fleet.EndpointID, a Attempt, n int) {
	e := r.endpoints[id]
	if e == nil {
		return
	}
	r.change(e, func() {
		e.running += fleet.Slots(n)
		e.work += time.Duration(n) * a.Expected
		if a.Long {
			e.long += fleet.Slots(n)
		}
	})
	if e.pool == nil && e.running == 0 {
		delete(r.endpoints, id)
	}
}

// change modifies an endpoint and restores the sums and orders of its pool.
func (r *Router) change(e *endpoint, modify func()) {
	p := e.pool
	if p == nil {
		modify()
		return
	}
	p.count(e, -1)
	modify()
	p.count(e, 1)
	for _, ranking := range p.ranked {
		ranking.Fix(e)
	}
}

// SetLeaving stops new attempts at an endpoint until its row changes.
func (r *Router) SetLeaving(id fleet.EndpointID) {
	if e := r.endpoints[id]; e != nil && !e.reportedLeaving {
		r.change(e, func() { e.reportedLeaving = true })
	}
}

// RecordRunning handles an endpoint's report of how many requests it runs. Slots that others use beyond
// their shares and loans, such as for a request that outlived its loan, are left to them for the duration
// of a loan.
func (r *Router) RecordRunning(now time.Time, id fleet.EndpointID, running fleet.Slots) {
	e := r.endpoints[id]
	if e == nil || !e.own && e.share == 0 || r.LoanDuration <= 0 {
		return
	}
	excess := max(running-e.running-(e.vm.Slots-e.share+e.lent), 0)
	if excess == 0 && e.excess == 0 {
		return
	}
	e.excessUntil = now.Add(r.LoanDuration)
	r.change(e, func() { e.excess = excess })
	r.withExcess[id] = e
}

// Busy handles an endpoint's refusal of an attempt for lack of a slot: all its slots are in use.
func (r *Router) Busy(now time.Time, id fleet.EndpointID) {
	if e := r.endpoints[id]; e != nil {
		r.RecordRunning(now, id, e.vm.Slots)
	}
}

// Tick ends loans and starts probes that are due.
func (r *Router) Tick(now time.Time) {
	r.expireLoans(now)
	r.startProbes(now)
	for id, e := range r.withExcess {
		if !now.Before(e.excessUntil) {
			r.change(e, func() { e.excess = 0 })
			delete(r.withExcess, id)
		}
	}
}

// Peers returns how many other entries share the slots of the zone.
func (r *Router) Peers() int { return max(len(r.entries)-1, 0) }

// PoolOf returns the pool of an endpoint, or false when the view does not show it.
func (r *Router) PoolOf(id fleet.EndpointID) (fleet.PoolID, bool) {
	if e := r.endpoints[id]; e != nil && e.pool != nil {
		return e.pool.id, true
	}
	return "", false
}

// HasEndpoints reports whether a pool has any endpoint, whatever its state.
func (r *Router) HasEndpoints(id fleet.PoolID) bool { return r.pools[id] != nil }

// HasUntried reports whether a pool has an endpoint that was not tried and is not leaving.
func (r *Router) HasUntried(id fleet.PoolID, tried []fleet.EndpointID) bool {
	p := r.pools[id]
	if p == nil {
		return false
	}
	// The loop visits at most the tried and the leaving endpoints before it finds one.
	for _, e := range p.byID {
		if !e.leaving && !e.reportedLeaving && !slices.Contains(tried, e.vm.Endpoint()) {
			return true
		}
	}
	return false
}

// Slots returns how many slots of a pool this entry may use, and how many of them it uses.
func (r *Router) Slots(id fleet.PoolID) (limit, running fleet.Slots) {
	if p := r.pools[id]; p != nil {
		return p.slots, p.running
	}
	return 0, 0
}

// OwnSlots returns how many slots of a pool this entry may use in its own zone.
func (r *Router) OwnSlots(id fleet.PoolID) fleet.Slots {
	if p := r.pools[id]; p != nil {
		return p.own
	}
	return 0
}

// Ejected returns how many endpoints of a pool are ejected or being probed.
func (r *Router) Ejected(id fleet.PoolID) int {
	if p := r.pools[id]; p != nil {
		return p.ejected
	}
	return 0
}

// Running returns how many attempts of this entry are in flight at an endpoint.
func (r *Router) Running(id fleet.EndpointID) fleet.Slots {
	if e := r.endpoints[id]; e != nil {
		return e.running
	}
	return 0
}
