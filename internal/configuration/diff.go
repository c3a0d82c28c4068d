package configuration

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Difference is one changed field of an item. An item that is created or deleted has the field
// "item" with the values "absent" and "present".
type Difference struct {
	Item     fleet.AuditSubject
	Field    string
	From, To string
}

// property is one field of an item as text; an empty value is one that is not set.
type property struct {
	field, value string
}

// Diff returns the changed fields of all items, ordered by kind and id.
func Diff(from, to fleet.Configuration) []Difference {
	list := diffItems(from.Pools, to.Pools, fleet.SubjectPool, poolProperties)
	list = append(list, diffItems(from.Services, to.Services, fleet.SubjectService, serviceProperties)...)
	list = append(list, diffItems(from.Accounts, to.Accounts, fleet.SubjectAccount, accountProperties)...)
	for id, a := range to.Accounts {
		old, known := from.Accounts[id]
		if known && !bytes.Equal(old.CredentialHash, a.CredentialHash) {
			list = append(list, Difference{Item: fleet.SubjectAccount(id), Field: "credential-hash", From: "old secret", To: "new secret"})
		}
	}
	slices.SortStableFunc(list, func(a, b Difference) int { return strings.Compare(string(a.Item), string(b.Item)) })
	return list
}

func diffItems[K ~string, V any](from, to map[K]V, subject func(K) fleet.AuditSubject, properties func(V) []property) []Difference {
	var list []Difference
	ids := slices.AppendSeq(slices.Collect(maps.Keys(from)), maps.Keys(to))
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		old, had := from[id]
		item, has := to[id]
		switch {
		case !has:
			list = append(list, Difference{Item: subject(id), Field: "item", From: "present", To: "absent"})
			continue
		case !had:
			list = append(list, Difference{Item: subject(id), Field: "item", From: "absent", To: "present"})
		}
		list = append(list, diffProperties(subject(id), properties(old), properties(item))...)
	}
	return list
}

// diffProperties compares properties by field; each list may have fields that the other lacks.
func diffProperties(item fleet.AuditSubject, from, to []property) []Difference {
	old, list := map[string]string{}, []Difference{}
	for _, p := range from {
		old[p.field] = p.value
	}
	for _, p := range to {
		if old[p.field] != p.value {
			list = append(list, Difference{Item: item, Field: p.field, From: old[p.field], To: p.value})
		}
		delete(old, p.field)
	}
	for _, field := range slices.Sorted(maps.Keys(old)) {
		if old[field] != "" {
			list = append(list, Difference{Item: item, Field: field, From: old[field]})
		}
	}
	return list
}

func poolProperties(p fleet.Pool) []property {
	b := p.Budget
	return []property{
		{"budget.min-available-vms", number(b.MinAvailableVMs)},
		{"budget.max-unavailable-vms", number(b.MaxUnavailableVMs)},
		{"budget.min-available-slots", number(b.MinAvailableSlots)},
		{"budget.max-unavailable-per-zone", number(b.MaxUnavailablePerZone)},
		{"budget.min-available-per-zone", number(b.MinAvailablePerZone)},
		{"budget.max-unavailable-slots", number(b.MaxUnavailableSlots)},
		{"budget.max-unavailable-slots-per-zone", number(b.MaxUnavailableSlotsPerZone)},
		{"budget.min-available-slots-per-zone", number(b.MinAvailableSlotsPerZone)},
		{"spare", flag(p.Spare)},
		{"target-vms", number(p.TargetVMs)},
		{"max-vms", number(p.MaxVMs)},
	}
}

func serviceProperties(s fleet.Service) []property {
	list := []property{{"pool", string(s.Pool)}}
	for _, name := range slices.Sorted(maps.Keys(s.RequestTypes)) {
		t, prefix := s.RequestTypes[name], "request-types."+string(name)+"."
		list = append(list,
			property{prefix + "class", string(t.Class)},
			property{prefix + "repeatable", flag(t.Repeatable)},
			property{prefix + "checkpointable", flag(t.Checkpointable)},
			property{prefix + "declared-run-time", duration(t.DeclaredRunTime)},
			property{prefix + "max-timeout", duration(t.MaxTimeout)},
		)
	}
	return list
}

func accountProperties(a fleet.ClientAccount) []property {
	list := []property{
		{"weight", number(a.Weight)},
		{"quota.requests-per-second", number(a.Quota.Rate)},
		{"quota.burst", number(a.Quota.Burst)},
		{"quota.in-flight", number(a.Quota.InFlight)},
	}
	for _, g := range a.PriorityGrants {
		list = append(list, property{fmt.Sprintf("priority-grants.%s.%s", g.Service, g.RequestType), string(g.Class)})
	}
	return list
}

func number[T ~int | ~float64](n T) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

func flag(set bool) string {
	if set {
		return "true"
	}
	return ""
}

func duration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}
