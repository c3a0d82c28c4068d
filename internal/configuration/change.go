// Package configuration decides whether a change of the configuration is accepted, and keeps a copy
// of the configuration that only moves forward.
package configuration

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/gravitational/trace"

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

// Apply returns a copy of the configuration with the changes made. Changed items and the
// configuration itself carry the revision.
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
		to.Accounts[a.ID] = a
	case c.DeletePool != "":
		delete(to.Pools, c.DeletePool)
	case c.DeleteService != "":
		delete(to.Services, c.DeleteService)
	case c.DeleteAccount != "":
		delete(to.Accounts, c.DeleteAccount)
	}
}

// Subject returns what the change is about, for the audit trail.
func (c Change) Subject() fleet.AuditSubject {
	switch {
	case c.PutPool != nil:
		return fleet.SubjectPool(c.PutPool.ID)
	case c.PutService != nil:
		return fleet.SubjectService(c.PutService.ID)
	case c.PutAccount != nil:
		return fleet.SubjectAccount(c.PutAccount.ID)
	case c.DeletePool != "":
		return fleet.SubjectPool(c.DeletePool)
	case c.DeleteService != "":
		return fleet.SubjectService(c.DeleteService)
	default:
		return fleet.SubjectAccount(c.DeleteAccount)
	}
}

// InvalidError lists what is wrong with a configuration. Nothing was changed.
type InvalidError struct {
	Findings []string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return "configuration is invalid: " + strings.Join(e.Findings, "; ")
}

// Check checks a configuration as a whole and returns *InvalidError.
func Check(c fleet.Configuration) error {
	var findings []string
	for _, id := range slices.Sorted(maps.Keys(c.Pools)) {
		findings = append(findings, checkPool(c.Pools[id])...)
	}
	for _, id := range slices.Sorted(maps.Keys(c.Services)) {
		findings = append(findings, checkService(c, c.Services[id])...)
	}
	for _, id := range slices.Sorted(maps.Keys(c.Accounts)) {
		findings = append(findings, checkAccount(c, c.Accounts[id])...)
	}
	if len(findings) > 0 {
		return trace.Wrap(&InvalidError{Findings: findings})
	}
	return nil
}

func checkPool(p fleet.Pool) []string {
	if p.Budget == (fleet.Budget{}) {
		return []string{fmt.Sprintf("pool %s: budget sets no limit; set min-available-vms or max-unavailable-vms", p.ID)}
	}
	return nil
}

func checkService(c fleet.Configuration, s fleet.Service) []string {
	var findings []string
	if _, ok := c.Pools[s.Pool]; !ok {
		findings = append(findings, fmt.Sprintf("service %s: pool %s does not exist", s.ID, s.Pool))
	}
	if len(s.RequestTypes) == 0 {
		findings = append(findings, fmt.Sprintf("service %s: has no request types", s.ID))
	}
	for _, name := range slices.Sorted(maps.Keys(s.RequestTypes)) {
		if s.RequestTypes[name].Class == fleet.ClassUrgent {
			findings = append(findings, fmt.Sprintf("service %s: request type %s: class urgent needs a priority grant of an account", s.ID, name))
		}
	}
	return findings
}

func checkAccount(c fleet.Configuration, a fleet.ClientAccount) []string {
	var findings []string
	for _, g := range a.PriorityGrants {
		if _, ok := c.Services[g.Service].RequestTypes[g.RequestType]; !ok {
			findings = append(findings, fmt.Sprintf("account %s: priority grant names unknown request type %s of service %s", a.ID, g.RequestType, g.Service))
		}
	}
	return findings
}
