// Package configuration validates changes of the configuration, computes their effects, and keeps a copy
// of the configuration that never rolls back to an older revision.
package configuration

import (
	"maps"
	"reflect"
	"slices"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Change puts or deletes one item. Exactly one field is set.
type Change struct {
	PutPool       *fleet.Pool
	PutService    *fleet.Service
	PutAccount    *fleet.ClientAccount
	DeletePool    fleet.PoolID
	DeleteService fleet.ServiceID
	DeleteAccount fleet.ClientAccountID
}

// Apply returns a copy of the configuration with the changes applied. Changed items and the
// configuration itself get the revision. An account that is put without a credential keeps its present
// one.
func Apply(base fleet.Configuration, changes []Change, revision fleet.ConfigRevision) fleet.Configuration {
	c := fleet.Configuration{
		Revision: revision,
		Pools:    maps.Clone(base.Pools),
		Services: maps.Clone(base.Services),
		Accounts: maps.Clone(base.Accounts),
	}
	for _, change := range changes {
		change.apply(c, revision)
	}
	return c
}

func (c Change) apply(to fleet.Configuration, revision fleet.ConfigRevision) {
	switch {
	case c.PutPool != nil:
		p := *c.PutPool
		p.Revision = revision
		to.Pools[p.ID] = p
	case c.PutService != nil:
		s := *c.PutService
		s.Revision = revision
		to.Services[s.ID] = s
	case c.PutAccount != nil:
		a := *c.PutAccount
		a.Revision = revision
		if len(a.CredentialHash) == 0 {
			a.CredentialHash = to.Accounts[a.ID].CredentialHash
		}
		to.Accounts[a.ID] = a
	case c.DeletePool != "":
		delete(to.Pools, c.DeletePool)
	case c.DeleteService != "":
		delete(to.Services, c.DeleteService)
	case c.DeleteAccount != "":
		delete(to.Accounts, c.DeleteAccount)
	}
}

// IsEmpty reports whether the change names no item.
func (c Change) IsEmpty() bool { return c == (Change{}) }

// Pool returns the pool that the change is about, or an empty id.
func (c Change) Pool() fleet.PoolID {
	if c.PutPool != nil {
		return c.PutPool.ID
	}
	return c.DeletePool
}

// Service returns the service that the change is about, or an empty id.
func (c Change) Service() fleet.ServiceID {
	if c.PutService != nil {
		return c.PutService.ID
	}
	return c.DeleteService
}

// Account returns the client account that the change is about, or an empty id.
func (c Change) Account() fleet.ClientAccountID {
	if c.PutAccount != nil {
		return c.PutAccount.ID
	}
	return c.DeleteAccount
}

// Subject returns what the change is about, for the audit trail.
func (c Change) Subject() fleet.AuditSubject {
	switch {
	case c.Pool() != "":
		return fleet.SubjectPool(c.Pool())
	case c.Service() != "":
		return fleet.SubjectService(c.Service())
	default:
		return fleet.SubjectAccount(c.Account())
	}
}

// Replace returns the changes that turn one configuration into another, ordered by kind and id.
// Items that differ only in their revision are left out.
func Replace(from, to fleet.Configuration) []Change {
	return slices.Concat(
		replaceItems(from.Pools, to.Pools, samePool, func(p fleet.Pool) Change { return Change{PutPool: &p} },
			func(id fleet.PoolID) Change { return Change{DeletePool: id} }),
		replaceItems(from.Services, to.Services, sameService, func(s fleet.Service) Change { return Change{PutService: &s} },
			func(id fleet.ServiceID) Change { return Change{DeleteService: id} }),
		replaceItems(from.Accounts, to.Accounts, sameAccount, func(a fleet.ClientAccount) Change { return Change{PutAccount: &a} },
			func(id fleet.ClientAccountID) Change { return Change{DeleteAccount: id} }),
	)
}

// Restore returns the changes that turn an older configuration into a newer one, including items that
// differ only in their revision. It brings a table that was restored from a backup up to date.
func Restore(older, newer fleet.Configuration) []Change {
	base := fleet.Configuration{
		Pools:    maps.Clone(older.Pools),
		Services: maps.Clone(older.Services),
		Accounts: maps.Clone(older.Accounts),
	}
	// Items whose revision differs are removed from the base, so that they are put again.
	maps.DeleteFunc(base.Pools, func(id fleet.PoolID, p fleet.Pool) bool {
		return hasOtherRevision(newer.Pools, id, p.Revision, poolRevision)
	})
	maps.DeleteFunc(base.Services, func(id fleet.ServiceID, s fleet.Service) bool {
		return hasOtherRevision(newer.Services, id, s.Revision, serviceRevision)
	})
	maps.DeleteFunc(base.Accounts, func(id fleet.ClientAccountID, a fleet.ClientAccount) bool {
		return hasOtherRevision(newer.Accounts, id, a.Revision, accountRevision)
	})
	return Replace(base, newer)
}

func poolRevision(p fleet.Pool) fleet.ConfigRevision             { return p.Revision }
func serviceRevision(s fleet.Service) fleet.ConfigRevision       { return s.Revision }
func accountRevision(a fleet.ClientAccount) fleet.ConfigRevision { return a.Revision }

func hasOtherRevision[K comparable, V any](newer map[K]V, id K, revision fleet.ConfigRevision, revisionOf func(V) fleet.ConfigRevision) bool {
	v, ok := newer[id]
	return ok && revisionOf(v) != revision
}

func replaceItems[K ~string, V any](from, to map[K]V, same func(a, b V) bool, put func(V) Change, remove func(K) Change) []Change {
	var list []Change
	for _, id := range slices.Sorted(maps.Keys(to)) {
		if old, ok := from[id]; !ok || !same(old, to[id]) {
			list = append(list, put(to[id]))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(from)) {
		if _, ok := to[id]; !ok {
			list = append(list, remove(id))
		}
	}
	return list
}

func samePool(a, b fleet.Pool) bool {
	a.Revision = b.Revision
	return a == b
}

func sameService(a, b fleet.Service) bool {
	return a.Pool == b.Pool && maps.Equal(a.RequestTypes, b.RequestTypes)
}

func sameAccount(a, b fleet.ClientAccount) bool {
	a.Revision = b.Revision
	if len(b.CredentialHash) == 0 {
		b.CredentialHash = a.CredentialHash
	}
	if len(a.PriorityGrants)+len(b.PriorityGrants) == 0 {
		a.PriorityGrants, b.PriorityGrants = nil, nil
	}
	return reflect.DeepEqual(a, b)
}
