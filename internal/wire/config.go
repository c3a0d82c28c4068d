package wire

import (
	"cmp"
	"maps"
	"slices"

	configv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/config/v1"
	"github.com/mimosawharf/mimosawharf/pkg/check"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Pool converts a pool to its message.
func Pool(p fleet.Pool) *configv1.Pool {
	return &configv1.Pool{
		Id: string(p.ID),
		Budget: &configv1.Budget{
			MinAvailableVms:       uint32(p.Budget.MinAvailableVMs),
			MaxUnavailableVms:     uint32(p.Budget.MaxUnavailableVMs),
			MinAvailableSlots:     uint32(p.Budget.MinAvailableSlots),
			MaxUnavailablePerZone: uint32(p.Budget.MaxUnavailablePerZone),
			MinAvailablePerZone:   uint32(p.Budget.MinAvailablePerZone),

			MaxUnavailableSlots:        uint32(p.Budget.MaxUnavailableSlots),
			MaxUnavailableSlotsPerZone: uint32(p.Budget.MaxUnavailableSlotsPerZone),
			MinAvailableSlotsPerZone:   uint32(p.Budget.MinAvailableSlotsPerZone),
		},
		Spare:     p.Spare,
		TargetVms: uint32(p.TargetVMs),
		MaxVms:    uint32(p.MaxVMs),
		Revision:  uint64(p.Revision),
	}
}

// FromPool converts a pool from its message.
func FromPool(m *configv1.Pool) fleet.Pool {
	b := m.GetBudget()
	return fleet.Pool{
		ID: fleet.PoolID(m.GetId()),
		Budget: fleet.Budget{
			MinAvailableVMs:       fleet.VMCount(b.GetMinAvailableVms()),
			MaxUnavailableVMs:     fleet.VMCount(b.GetMaxUnavailableVms()),
			MinAvailableSlots:     fleet.Slots(b.GetMinAvailableSlots()),
			MaxUnavailablePerZone: fleet.VMCount(b.GetMaxUnavailablePerZone()),
			MinAvailablePerZone:   fleet.VMCount(b.GetMinAvailablePerZone()),

			MaxUnavailableSlots:        fleet.Slots(b.GetMaxUnavailableSlots()),
			MaxUnavailableSlotsPerZone: fleet.Slots(b.GetMaxUnavailableSlotsPerZone()),
			MinAvailableSlotsPerZone:   fleet.Slots(b.GetMinAvailableSlotsPerZone()),
		},
		Spare:     m.GetSpare(),
		TargetVMs: fleet.VMCount(m.GetTargetVms()),
		MaxVMs:    fleet.VMCount(m.GetMaxVms()),
		Revision:  fleet.ConfigRevision(m.GetRevision()),
	}
}

// Service converts a service to its message. Request types are ordered by name.
func Service(s fleet.Service) *configv1.Service {
	m := &configv1.Service{Id: string(s.ID), Pool: string(s.Pool), Revision: uint64(s.Revision)}
	for _, name := range slices.Sorted(maps.Keys(s.RequestTypes)) {
		t := s.RequestTypes[name]
		m.RequestTypes = append(m.RequestTypes, &configv1.RequestType{
			Name:            string(t.Name),
			Class:           string(t.Class),
			Repeatable:      t.Repeatable,
			Checkpointable:  t.Checkpointable,
			DeclaredRunTime: Duration(t.DeclaredRunTime),
			MaxTimeout:      Duration(t.MaxTimeout),
		})
	}
	return m
}

// FromService converts a service from its message.
func FromService(m *configv1.Service) fleet.Service {
	s := fleet.Service{
		ID:           fleet.ServiceID(m.GetId()),
		Pool:         fleet.PoolID(m.GetPool()),
		RequestTypes: map[fleet.RequestType]fleet.RequestTypeRule{},
		Revision:     fleet.ConfigRevision(m.GetRevision()),
	}
	for _, t := range m.GetRequestTypes() {
		s.RequestTypes[fleet.RequestType(t.GetName())] = fleet.RequestTypeRule{
			Name:            fleet.RequestType(t.GetName()),
			Class:           fleet.Class(t.GetClass()),
			Repeatable:      t.GetRepeatable(),
			Checkpointable:  t.GetCheckpointable(),
			DeclaredRunTime: FromDuration(t.GetDeclaredRunTime()),
			MaxTimeout:      FromDuration(t.GetMaxTimeout()),
		}
	}
	return s
}

// Account converts a client account to its message.
func Account(a fleet.ClientAccount) *configv1.ClientAccount {
	m := &configv1.ClientAccount{
		Id:             string(a.ID),
		CredentialHash: a.CredentialHash,
		Weight:         uint32(a.Weight),
		Quota: &configv1.Quota{
			RequestsPerSecond: uint32(a.Quota.Rate),
			Burst:             uint32(a.Quota.Burst),
			InFlight:          uint32(a.Quota.InFlight),
		},
		Revision: uint64(a.Revision),
	}
	for _, g := range a.PriorityGrants {
		m.PriorityGrants = append(m.PriorityGrants, &configv1.PriorityGrant{
			Service: string(g.Service), RequestType: string(g.RequestType), Class: string(g.Class),
		})
	}
	return m
}

// FromAccount converts a client account from its message.
func FromAccount(m *configv1.ClientAccount) fleet.ClientAccount {
	a := fleet.ClientAccount{
		ID:             fleet.ClientAccountID(m.GetId()),
		CredentialHash: m.GetCredentialHash(),
		Weight:         fleet.Weight(m.GetWeight()),
		Quota: fleet.Quota{
			Rate:     fleet.RequestsPerSecond(m.GetQuota().GetRequestsPerSecond()),
			Burst:    int(m.GetQuota().GetBurst()),
			InFlight: int(m.GetQuota().GetInFlight()),
		},
		Revision: fleet.ConfigRevision(m.GetRevision()),
	}
	for _, g := range m.GetPriorityGrants() {
		a.PriorityGrants = append(a.PriorityGrants, fleet.PriorityGrant{
			Service:     fleet.ServiceID(g.GetService()),
			RequestType: fleet.RequestType(g.GetRequestType()),
			Class:       fleet.Class(g.GetClass()),
		})
	}
	return a
}

// Configuration converts a configuration to its message, with items ordered by id.
func Configuration(c fleet.Configuration) *configv1.Configuration {
	m := &configv1.Configuration{Revision: uint64(c.Revision)}
	for _, id := range sortedKeys(c.Pools) {
		m.Pools = append(m.Pools, Pool(c.Pools[id]))
	}
	for _, id := range sortedKeys(c.Services) {
		m.Services = append(m.Services, Service(c.Services[id]))
	}
	for _, id := range sortedKeys(c.Accounts) {
		m.Accounts = append(m.Accounts, Account(c.Accounts[id]))
	}
	return m
}

// FromConfiguration converts a configuration from its message.
func FromConfiguration(m *configv1.Configuration) fleet.Configuration {
	c := fleet.NewConfiguration()
	c.Revision = fleet.ConfigRevision(m.GetRevision())
	for _, p := range m.GetPools() {
		c.Pools[fleet.PoolID(p.GetId())] = FromPool(p)
	}
	for _, s := range m.GetServices() {
		c.Services[fleet.ServiceID(s.GetId())] = FromService(s)
	}
	for _, a := range m.GetAccounts() {
		c.Accounts[fleet.ClientAccountID(a.GetId())] = FromAccount(a)
	}
	return c
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// CheckUnique returns *check.FieldError when a configuration names an item twice, because one of the two
// would be lost silently.
func CheckUnique(m *configv1.Configuration) error {
	if err := checkUnique("replace.pools", m.GetPools(), (*configv1.Pool).GetId); err != nil {
		return err
	}
	if err := checkUnique("replace.services", m.GetServices(), (*configv1.Service).GetId); err != nil {
		return err
	}
	for _, service := range m.GetServices() {
		if err := CheckRequestTypes(service); err != nil {
			return err
		}
	}
	return checkUnique("replace.accounts", m.GetAccounts(), (*configv1.ClientAccount).GetId)
}

// CheckRequestTypes returns *check.FieldError when a service names a request type twice.
func CheckRequestTypes(m *configv1.Service) error {
	return checkUnique("service "+m.GetId()+": request-types", m.GetRequestTypes(), (*configv1.RequestType).GetName)
}

func checkUnique[T any](field string, items []T, idOf func(T) string) error {
	seen := map[string]bool{}
	for _, i := range items {
		id := idOf(i)
		if seen[id] {
			return &check.FieldError{Field: field, Bound: "each item once, not " + id + " twice"}
		}
		seen[id] = true
	}
	return nil
}
