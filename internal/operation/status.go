package operation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/configuration"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Status shows whether the guarantees hold now, as seen by one entry.
type Status struct {
	Healthy  bool
	Pools    []PoolStatus
	Entries  []EntryStatus
	Waves    []fleet.Wave
	Services []ServiceStatus
	Leases   []LeaseStatus
	// Problems describe what is wrong and what to do next, one line each.
	Problems       []string
	StoreReachable bool
	StoreAge       time.Duration
	ListAge        time.Duration
}

// PoolStatus compares the capacity of a pool with its budget.
type PoolStatus struct {
	Pool        fleet.PoolID
	Capacity    configuration.Capacity
	Required    fleet.VMCount
	Disruptions fleet.VMCount
	Shortfalls  []configuration.Shortfall
}

// EntryStatus is the row of an entry and whether it was renewed in time.
type EntryStatus struct {
	Entry     fleet.Entry
	Reachable bool
}

// ServiceLoad is the load of a service that the dispatcher of this entry publishes.
type ServiceLoad struct {
	Queued  map[fleet.Class]int
	Running int
	Ejected int
	// ShortWaitP99 is the 99th percentile of the recent waits of short work.
	ShortWaitP99 time.Duration
}

// ServiceStatus is the load of a service at this entry and the endpoints that serve it.
type ServiceStatus struct {
	Service   fleet.ServiceID
	Endpoints fleet.VMCount
	Load      ServiceLoad
}

// LeaseStatus names the holder of a lease.
type LeaseStatus struct {
	Lease fleet.Lease
	// Age is the time since the holder acquired the lease.
	Age time.Duration
}

// StatusBounds are the ages beyond which state counts as stale.
type StatusBounds struct {
	StoreMaxAge time.Duration
	ListMaxAge  time.Duration
}

// Bounds of the status page.
const (
	// maxClockSkew is the tolerated difference between the wall clocks of entries.
	maxClockSkew = 5 * time.Second
	// configurationMaxDelay is the longest time until a revision is in force in every entry.
	configurationMaxDelay = 12 * time.Second
	// drainNoticeAfter is the duration beyond which a drain is reported.
	drainNoticeAfter = 10 * time.Minute
)

// StatusOf derives the status from the view of an entry. loads may be nil.
func StatusOf(view *fleet.View, loads map[fleet.ServiceID]ServiceLoad, now time.Time, bounds StatusBounds) Status {
	s := &statusBuilder{view: view, now: now, bounds: bounds, status: Status{Healthy: true}}
	s.store()
	s.capacities = configuration.Capacities(view.VMs, view.Leaving)
	s.pools()
	s.services(loads)
	s.vms()
	s.entries()
	s.leases()
	s.waves()
	return s.status
}

type statusBuilder struct {
	view       *fleet.View
	now        time.Time
	bounds     StatusBounds
	capacities map[fleet.PoolID]configuration.Capacity
	status     Status
}

// violation adds a guarantee that does not hold or cannot be checked; the status is then not healthy.
func (s *statusBuilder) violation(text string) {
	s.status.Healthy = false
	s.notice(text)
}

// notice adds something that an operator should look at.
func (s *statusBuilder) notice(text string) {
	s.status.Problems = append(s.status.Problems, text)
}

func (s *statusBuilder) store() {
	if s.view.RefreshedAt.IsZero() {
		s.violation("the table has not been read since this entry started: check --platform-address and the platform")
		return
	}
	s.status.StoreAge = max(0, s.now.Sub(s.view.RefreshedAt))
	s.status.StoreReachable = s.status.StoreAge <= s.bounds.StoreMaxAge
	if !s.status.StoreReachable {
		s.violation(fmt.Sprintf("the table has not answered for %s: requests go on, nothing voluntary starts; check the platform", rounded(s.status.StoreAge)))
	}
	if s.view.ListReadAt.IsZero() {
		s.violation("the list of VMs has not been read: no new grants are given; check the platform")
		return
	}
	s.status.ListAge = max(0, s.now.Sub(s.view.ListReadAt))
	if s.status.ListAge > s.bounds.ListMaxAge {
		s.violation(fmt.Sprintf("the list of VMs is %s old: no new grants are given; check the platform", rounded(s.status.ListAge)))
	}
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Second) }

func (s *statusBuilder) pools() {
	for _, id := range slices.Sorted(maps.Keys(s.view.Configuration.Pools)) {
		pool, c := s.view.Configuration.Pools[id], s.capacities[id]
		p := PoolStatus{
			Pool: id, Capacity: c, Required: c.Required(pool.Budget), Shortfalls: c.Shortfalls(pool.Budget),
			Disruptions: fleet.VMCount(len(s.view.Ledgers[id].Grants)),
		}
		for _, shortfall := range p.Shortfalls {
			s.violation(fmt.Sprintf("pool %s: budget does not hold: %s; return drained VMs, replace failed ones or move VMs into the pool", id, shortfall))
		}
		if c.VMs == 0 {
			s.notice(fmt.Sprintf("pool %s: has no VMs; adopt some (vm adopt --pool %s) or delete the pool", id, id))
		}
		s.status.Pools = append(s.status.Pools, p)
	}
	for _, id := range slices.Sorted(maps.Keys(s.capacities)) {
		if _, ok := s.view.Configuration.Pools[id]; !ok && id != fleet.PoolUnassigned && s.capacities[id].VMs > 0 {
			s.violation(fmt.Sprintf("pool %s: holds %d VMs but is not configured; put the pool or move its VMs", id, s.capacities[id].VMs))
		}
	}
}

func (s *statusBuilder) services(loads map[fleet.ServiceID]ServiceLoad) {
	for _, id := range slices.Sorted(maps.Keys(s.view.Configuration.Services)) {
		pool := s.view.Configuration.Services[id].Pool
		service := ServiceStatus{Service: id, Endpoints: s.capacities[pool].Available, Load: loads[id]}
		if service.Endpoints == 0 {
			s.violation(fmt.Sprintf("service %s: pool %s has no serving VM, requests are refused; adopt or move VMs into it", id, pool))
		}
		if service.Load.Ejected > 0 {
			s.notice(fmt.Sprintf("service %s: %d endpoints are ejected because their requests fail; look at them and replace their VMs if need be", id, service.Load.Ejected))
		}
		s.status.Services = append(s.status.Services, service)
	}
}

func (s *statusBuilder) vms() {
	for _, id := range slices.Sorted(maps.Keys(s.view.VMs)) {
		vm := s.view.VMs[id]
		age := s.now.Sub(vm.Since)
		switch {
		case vm.State == fleet.VMStateFailed:
			s.notice(fmt.Sprintf("VM %s: of pool %s has failed; replace or remove it", id, vm.Pool))
		case vm.State == fleet.VMStateDraining && age > drainNoticeAfter:
			s.notice(fmt.Sprintf("VM %s: has been draining for %s; wait for its requests, or end the drain with vm cancel", id, rounded(age)))
		case vm.State == fleet.VMStateServing && s.view.Leaving[id]:
			s.notice(fmt.Sprintf("VM %s: serves pool %s but the platform's list shows it as leaving or not at all; it takes no new work", id, vm.Pool))
		}
	}
}

func (s *statusBuilder) entries() {
	current := s.view.Configuration.Revision
	for _, id := range slices.Sorted(maps.Keys(s.view.Entries)) {
		e := s.view.Entries[id]
		entry := EntryStatus{Entry: e, Reachable: s.now.Sub(e.RenewedAt) <= e.Duration+maxClockSkew}
		behind := e.ConfigRevision < current && s.now.Sub(s.view.ConfigSince) > configurationMaxDelay
		switch {
		case !entry.Reachable:
			s.notice(fmt.Sprintf("entry %s: has not renewed its row for %s; check its VM, or its link to the platform", id, rounded(s.now.Sub(e.RenewedAt))))
		case behind:
			s.violation(fmt.Sprintf("entry %s: has revision %d in force, current is %d; check its link to the platform and to its peers", id, e.ConfigRevision, current))
		}
		s.status.Entries = append(s.status.Entries, entry)
	}
}

func (s *statusBuilder) leases() {
	for _, id := range slices.Sorted(maps.Keys(s.view.Leases)) {
		l := s.view.Leases[id]
		if e, ok := s.view.Entries[l.Holder]; !ok || e.Incarnation != l.Incarnation {
			s.notice(fmt.Sprintf("lease %s: its holder %s is gone; another entry takes it within seconds, if not check the entries", id, l.Holder))
		}
		s.status.Leases = append(s.status.Leases, LeaseStatus{Lease: l, Age: max(0, s.now.Sub(l.RenewedAt))})
	}
}

func (s *statusBuilder) waves() {
	for _, id := range slices.Sorted(maps.Keys(s.view.Waves)) {
		w := s.view.Waves[id]
		if w.State.IsFinal() {
			continue
		}
		switch w.State {
		case fleet.WaveStateHalted:
			s.notice(fmt.Sprintf("wave %s: is halted: %s; then wave resume, wave roll-back or wave cancel", id, w.Reason))
		case fleet.WaveStateWaiting:
			s.notice(fmt.Sprintf("wave %s: waits: %s; it goes on by itself", id, w.Reason))
		}
		s.status.Waves = append(s.status.Waves, w)
	}
}
