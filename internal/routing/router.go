// Package routing chooses the endpoint for each attempt.
package routing

import (
	"cmp"
	"slices"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Router knows the endpoints of all pools and what this entry runs on them. One goroutine owns it.
type Router struct {
	// Zone is the entry's own availability zone.
	Zone fleet.ZoneID

	endpoints map[fleet.EndpointID]*endpoint
	pools     map[fleet.PoolID][]*endpoint
}

// endpoint is what the router knows of one endpoint.
type endpoint struct {
	vm fleet.VM
	// share is how many slots this entry may use.
	share fleet.Slots
	// running counts the attempts of this entry in flight.
	running fleet.Slots
	leaving bool
}

// Target is the endpoint chosen for an attempt.
type Target struct {
	Endpoint        fleet.EndpointID
	VM              fleet.VMID
	Address         fleet.Address
	Pool            fleet.PoolID
	AssignmentEpoch fleet.AssignmentEpoch
}

// Update replaces the known endpoints. Attempts in flight stay counted.
func (r *Router) Update(view *fleet.View, entriesInZone int) {
	old := r.endpoints
	r.endpoints = map[fleet.EndpointID]*endpoint{}
	r.pools = map[fleet.PoolID][]*endpoint{}
	for _, vm := range view.VMs {
		e := &endpoint{vm: vm, leaving: vm.State != fleet.VMStateServing || view.Leaving[vm.ID]}
		if known := old[vm.Endpoint()]; known != nil {
			e.running = known.running
			e.leaving = e.leaving || known.leaving && known.vm.AssignmentEpoch == vm.AssignmentEpoch && known.vm.RowVersion == vm.RowVersion
		}
		e.share = vm.Slots / fleet.Slots(max(entriesInZone, 1))
		r.endpoints[vm.Endpoint()] = e
		r.pools[vm.Pool] = append(r.pools[vm.Pool], e)
	}
	for _, list := range r.pools {
		slices.SortFunc(list, func(a, b *endpoint) int { return cmp.Compare(a.vm.ID, b.vm.ID) })
	}
}

// Pick returns the endpoint of a pool for the next attempt, or false when none has room. Endpoints
// in tried are left out.
func (r *Router) Pick(pool fleet.PoolID, tried []fleet.EndpointID) (Target, bool) {
	var best *endpoint
	for _, e := range r.pools[pool] {
		if e.leaving || e.running >= e.share || slices.Contains(tried, e.vm.Endpoint()) {
			continue
		}
		if best == nil || r.isBetter(e, best) {
			best = e
		}
	}
	if best == nil {
		return Target{}, false
	}
	return Target{
		Endpoint:        best.vm.Endpoint(),
		VM:              best.vm.ID,
		Address:         best.vm.Address,
		Pool:            best.vm.Pool,
		AssignmentEpoch: best.vm.AssignmentEpoch,
	}, true
}

func (r *Router) isBetter(a, b *endpoint) bool {
	if own := a.vm.Zone == r.Zone; own != (b.vm.Zone == r.Zone) {
		return own
	}
	return a.running < b.running
}

// Started counts an attempt as in flight.
func (r *Router) Started(id fleet.EndpointID) {
	if e := r.endpoints[id]; e != nil {
		e.running++
	}
}

// Finished counts an attempt as ended.
func (r *Router) Finished(id fleet.EndpointID) {
	if e := r.endpoints[id]; e != nil {
		e.running--
	}
}

// SetLeaving stops new attempts at an endpoint until its row changes.
func (r *Router) SetLeaving(id fleet.EndpointID) {
	if e := r.endpoints[id]; e != nil {
		e.leaving = true
	}
}

// HasEndpoints reports whether a pool has any endpoint, whatever its state.
func (r *Router) HasEndpoints(pool fleet.PoolID) bool { return len(r.pools[pool]) > 0 }

// Running returns how many attempts of this entry are in flight at an endpoint.
func (r *Router) Running(id fleet.EndpointID) fleet.Slots {
	if e := r.endpoints[id]; e != nil {
		return e.running
	}
	return 0
}
