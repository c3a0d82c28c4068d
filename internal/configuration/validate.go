package configuration

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/pkg/check"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// InvalidError lists what is wrong with a configuration. Nothing was changed.
type InvalidError struct {
	// Findings name the item, the fault and what to do about it.
	Findings []string
}

// Error implements error. It is one line.
func (e *InvalidError) Error() string {
	return "configuration is invalid: " + strings.Join(e.Findings, "; ")
}

// Bounds of items.
const (
	maxIDBytes          = 64
	maxWeight           = 1000
	credentialHashBytes = 32
)

// Check validates a whole configuration. It returns *InvalidError.
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
	return invalid(findings)
}

// CheckChanges validates changes against the configuration that they are based on and against the VMs
// that pools hold. It returns *InvalidError.
func CheckChanges(base fleet.Configuration, changes []Change, capacities map[fleet.PoolID]Capacity) error {
	var findings []string
	for _, c := range changes {
		switch {
		case c.IsEmpty():
			findings = append(findings, "a change names no item; put or delete a pool, a service or an account")
		case c.DeletePool != "":
			findings = append(findings, checkDelete(base.Pools, c.DeletePool, c.Subject())...)
			if n := capacities[c.DeletePool].VMs; n > 0 {
				findings = append(findings, fmt.Sprintf("pool %s: holds %d VMs; move or remove them before you delete the pool", c.DeletePool, n))
			}
		case c.DeleteService != "":
			findings = append(findings, checkDelete(base.Services, c.DeleteService, c.Subject())...)
		case c.DeleteAccount != "":
			findings = append(findings, checkDelete(base.Accounts, c.DeleteAccount, c.Subject())...)
		}
	}
	return invalid(findings)
}

func invalid(findings []string) error {
	if len(findings) == 0 {
		return nil
	}
	return trace.Wrap(&InvalidError{Findings: findings})
}

func checkDelete[K comparable, V any](items map[K]V, id K, subject fleet.AuditSubject) []string {
	if _, ok := items[id]; ok {
		return nil
	}
	return []string{fmt.Sprintf("%s: does not exist and cannot be deleted; run config show for the items", subject)}
}

func checkID(kind, id string) []string {
	if id == "" || len(id) > maxIDBytes || check.Identifier("id", id) != nil {
		return []string{fmt.Sprintf("%s %q: id is not valid; use 1 to %d lower-case letters, digits, '.', '_' and '-'", kind, id, maxIDBytes)}
	}
	return nil
}

func checkPool(p fleet.Pool) []string {
	findings := checkID("pool", string(p.ID))
	add := func(text string) {
		findings = append(findings, fmt.Sprintf("pool %s: ", p.ID)+text)
	}
	b := p.Budget
	if p.ID == fleet.PoolUnassigned {
		add("the id is reserved for VMs without a pool; choose another one")
	}
	if b == (fleet.Budget{}) {
		add("budget sets no limit; set min-available-vms or max-unavailable-vms")
	}
	if p.TargetVMs > 0 && b.MinAvailableVMs > p.TargetVMs {
		add(fmt.Sprintf("min-available-vms %d exceeds target-vms %d; lower the budget or raise the target", b.MinAvailableVMs, p.TargetVMs))
	}
	if p.MaxVMs > 0 && p.TargetVMs > p.MaxVMs {
		add(fmt.Sprintf("target-vms %d exceeds max-vms %d; lower the target or raise the bound", p.TargetVMs, p.MaxVMs))
	}
	if p.MaxVMs > 0 && b.MinAvailableVMs > p.MaxVMs {
		add(fmt.Sprintf("min-available-vms %d exceeds max-vms %d; lower the budget or raise the bound", b.MinAvailableVMs, p.MaxVMs))
	}
	if b.MinAvailableVMs > 0 && b.MinAvailablePerZone > b.MinAvailableVMs {
		add(fmt.Sprintf("min-available-per-zone %d exceeds min-available-vms %d; raise min-available-vms or unset it", b.MinAvailablePerZone, b.MinAvailableVMs))
	}
	if b.MaxUnavailableVMs > 0 && b.MaxUnavailablePerZone > b.MaxUnavailableVMs {
		add(fmt.Sprintf("max-unavailable-per-zone %d exceeds max-unavailable-vms %d; lower the bound per zone", b.MaxUnavailablePerZone, b.MaxUnavailableVMs))
	}
	return findings
}

func checkService(c fleet.Configuration, s fleet.Service) []string {
	findings := checkID("service", string(s.ID))
	if _, ok := c.Pools[s.Pool]; !ok {
		findings = append(findings, fmt.Sprintf("service %s: pool %s does not exist; put the pool first or name another one", s.ID, s.Pool))
	}
	if len(s.RequestTypes) == 0 {
		findings = append(findings, fmt.Sprintf("service %s: has no request types; name at least one", s.ID))
	}
	for _, name := range slices.Sorted(maps.Keys(s.RequestTypes)) {
		findings = append(findings, checkRequestType(s.ID, s.RequestTypes[name])...)
	}
	return findings
}

func checkRequestType(service fleet.ServiceID, t fleet.RequestTypeRule) []string {
	findings := checkID("service "+string(service)+": request type", string(t.Name))
	add := func(text string) {
		findings = append(findings, fmt.Sprintf("service %s: request type %s: ", service, t.Name)+text)
	}
	switch {
	case t.Class == fleet.ClassUrgent:
		add("class urgent needs a priority grant of an account; use normal here and grant urgent to the account")
	case !slices.Contains(fleet.Classes(), t.Class):
		add(fmt.Sprintf("class %q is not known; use normal or long", t.Class))
	}
	if t.DeclaredRunTime < 0 {
		add(fmt.Sprintf("declared-run-time %s is negative; use 0 when it is not known", t.DeclaredRunTime))
	}
	if t.MaxTimeout < 0 {
		add(fmt.Sprintf("max-timeout %s is negative; use 0 for no bound", t.MaxTimeout))
	}
	if t.MaxTimeout > 0 && t.DeclaredRunTime > t.MaxTimeout {
		add(fmt.Sprintf("declared-run-time %s exceeds max-timeout %s; no request could finish; raise the timeout", t.DeclaredRunTime, t.MaxTimeout))
	}
	return findings
}

func checkAccount(c fleet.Configuration, a fleet.ClientAccount) []string {
	findings := checkID("account", string(a.ID))
	add := func(text string) {
		findings = append(findings, fmt.Sprintf("account %s: ", a.ID)+text)
	}
	if len(a.CredentialHash) != credentialHashBytes {
		add(fmt.Sprintf("credential-hash has %d bytes; set the SHA-256 of the secret (account put --secret-file)", len(a.CredentialHash)))
	}
	if a.Weight < 0 || a.Weight > maxWeight {
		add(fmt.Sprintf("weight %d is out of bounds; use 0 to %d", a.Weight, maxWeight))
	}
	if q := a.Quota; q.Rate < 0 || q.Burst < 0 || q.InFlight < 0 {
		add("quota is negative; use 0 for no bound")
	}
	if a.Quota.Burst > 0 && a.Quota.Rate == 0 {
		add("quota has a burst but no requests-per-second; set the rate or unset the burst")
	}
	seen := map[fleet.PriorityGrant]bool{}
	for _, g := range a.PriorityGrants {
		if _, ok := c.Services[g.Service].RequestTypes[g.RequestType]; !ok {
			add(fmt.Sprintf("priority grant names unknown request type %s of service %s; remove the grant or add the request type", g.RequestType, g.Service))
		}
		if !slices.Contains(fleet.Classes(), g.Class) {
			add(fmt.Sprintf("priority grant for %s of service %s: class %q is not known; use urgent, normal or long", g.RequestType, g.Service, g.Class))
		}
		key := fleet.PriorityGrant{Service: g.Service, RequestType: g.RequestType}
		if seen[key] {
			add(fmt.Sprintf("has two priority grants for request type %s of service %s; keep one", g.RequestType, g.Service))
		}
		seen[key] = true
	}
	return findings
}
