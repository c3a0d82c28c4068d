package configuration

import (
	"fmt"
	"maps"
	"slices"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Warnings returns the effects of a change that an operator may not want, one line each. They do not
// prevent the change.
func Warnings(from, to fleet.Configuration, capacities map[fleet.PoolID]Capacity) []string {
	w := warnings{from: from, to: to, capacities: capacities}
	for _, id := range slices.Sorted(maps.Keys(to.Pools)) {
		if old, ok := from.Pools[id]; !ok || !samePool(old, to.Pools[id]) {
			w.pool(to.Pools[id])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(to.Services)) {
		if old, ok := from.Services[id]; !ok || !sameService(old, to.Services[id]) {
			w.service(old, to.Services[id])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(from.Services)) {
		if _, ok := to.Services[id]; !ok {
			w.add(fmt.Sprintf("service %s: is deleted; its requests are refused not-run from now on", id))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(from.Accounts)) {
		if a, ok := to.Accounts[id]; !ok {
			w.add(fmt.Sprintf("account %s: is deleted; its callers are refused from now on", id))
		} else {
			w.account(from.Accounts[id], a)
		}
	}
	return w.list
}

type warnings struct {
	from, to   fleet.Configuration
	capacities map[fleet.PoolID]Capacity
	list       []string
}

func (w *warnings) add(text string) {
	w.list = append(w.list, text)
}

func (w *warnings) pool(p fleet.Pool) {
	c := w.capacities[p.ID]
	shortfalls := c.Shortfalls(p.Budget)
	for _, s := range shortfalls {
		w.add(fmt.Sprintf("pool %s: budget cannot be met now: %s; no VM of the pool can be disrupted until it is", p.ID, s))
	}
	if len(shortfalls) == 0 && c.VMs > 0 && c.Required(p.Budget) >= c.VMs {
		w.add(fmt.Sprintf("pool %s: budget keeps all %d VMs available; drains, moves and waves on the pool will wait", p.ID, c.VMs))
	}
	if p.MaxVMs > 0 && c.VMs > p.MaxVMs {
		w.add(fmt.Sprintf("pool %s: holds %d VMs, more than max-vms %d; move some of them out", p.ID, c.VMs, p.MaxVMs))
	}
}

// String describes the shortfall in words.
func (s Shortfall) String() string {
	where := ""
	if s.Zone != "" {
		where = " in zone " + string(s.Zone)
	}
	return fmt.Sprintf("%s%s is %d, but there are %d", s.Limit, where, s.Want, s.Got)
}

func (w *warnings) service(old, s fleet.Service) {
	if w.capacities[s.Pool].Available == 0 {
		w.add(fmt.Sprintf("service %s: pool %s has no serving VM; requests are refused until you adopt VMs into the pool or move them there", s.ID, s.Pool))
	}
	if old.ID == "" {
		return
	}
	if old.Pool != s.Pool {
		w.add(fmt.Sprintf("service %s: moves from pool %s to pool %s; check that pool %s has room for its requests", s.ID, old.Pool, s.Pool, s.Pool))
	}
	for _, name := range slices.Sorted(maps.Keys(old.RequestTypes)) {
		before := old.RequestTypes[name]
		after, ok := s.RequestTypes[name]
		switch {
		case !ok:
			w.add(fmt.Sprintf("service %s: request type %s is removed; its requests are refused not-run from now on", s.ID, name))
		case before.Repeatable && !after.Repeatable:
			w.add(fmt.Sprintf("service %s: request type %s is no longer repeatable; callers need a ticket for it", s.ID, name))
		case !before.Repeatable && after.Repeatable:
			w.add(fmt.Sprintf("service %s: request type %s becomes repeatable; it may run more than once", s.ID, name))
		}
	}
}

func (w *warnings) account(old, a fleet.ClientAccount) {
	w.quota(a.ID, "requests-per-second", int(old.Quota.Rate), int(a.Quota.Rate))
	w.quota(a.ID, "burst", old.Quota.Burst, a.Quota.Burst)
	w.quota(a.ID, "in-flight", old.Quota.InFlight, a.Quota.InFlight)
	for _, g := range old.PriorityGrants {
		rule := w.to.Services[g.Service].RequestTypes[g.RequestType]
		if class := a.ClassOf(g.Service, rule); rule.Name != "" && class != g.Class {
			w.add(fmt.Sprintf("account %s: request type %s of service %s goes from class %s to class %s", a.ID, g.RequestType, g.Service, g.Class, class))
		}
	}
}

// quota warns of a quota that becomes tighter; 0 is no limit.
func (w *warnings) quota(id fleet.ClientAccountID, name string, from, to int) {
	if to == 0 || from != 0 && to >= from {
		return
	}
	before := fmt.Sprint(from)
	if from == 0 {
		before = "unlimited"
	}
	w.add(fmt.Sprintf("account %s: quota %s goes from %s to %d; requests beyond it are refused not-run", id, name, before, to))
}
