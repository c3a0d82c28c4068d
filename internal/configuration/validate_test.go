package configuration_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/configuration"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// valid returns a configuration without findings.
func valid() fleet.Configuration {
	c := fleet.NewConfiguration()
	c.Pools["rota"] = fleet.Pool{ID: "rota", Budget: fleet.Budget{MinAvailableVMs: 2}}
	c.Services["plans"] = fleet.Service{ID: "plans", Pool: "rota", RequestTypes: map[fleet.RequestType]fleet.RequestTypeRule{
		"week": {Name: "week", Class: fleet.ClassNormal, Repeatable: true},
	}}
	c.Accounts["union"] = fleet.ClientAccount{ID: "union", CredentialHash: make([]byte, 32), Quota: fleet.Quota{Rate: 100}}
	return c
}

// Guards against an invalid configuration that is accepted, or refused without saying what to do.
func TestCheckFindsEachFault(t *testing.T) {
	is.New(t).NoErr(configuration.Check(valid()))
	cases := []struct {
		name   string
		modify func(fleet.Configuration)
		want   string
	}{
		{"pool id", func(c fleet.Configuration) {
			c.Pools["A"] = fleet.Pool{ID: "A", Budget: fleet.Budget{MinAvailableVMs: 1}}
		}, "use 1 to 64 lower-case"},
		{"reserved pool", func(c fleet.Configuration) {
			c.Pools["unassigned"] = fleet.Pool{ID: "unassigned", Budget: fleet.Budget{MinAvailableVMs: 1}}
		}, "choose another"},
		{"no budget", func(c fleet.Configuration) { c.Pools["rota"] = fleet.Pool{ID: "rota"} }, "set min-available-vms or"},
		{"budget above target", func(c fleet.Configuration) {
			c.Pools["rota"] = fleet.Pool{ID: "rota", TargetVMs: 1, Budget: fleet.Budget{MinAvailableVMs: 2}}
		}, "lower the budget or raise the target"},
		{"target above bound", func(c fleet.Configuration) {
			c.Pools["rota"] = fleet.Pool{ID: "rota", TargetVMs: 3, MaxVMs: 2, Budget: fleet.Budget{MinAvailableVMs: 2}}
		}, "raise the bound"},
		{"unknown pool", func(c fleet.Configuration) { delete(c.Pools, "rota") }, "put the pool first"},
		{"no request types", func(c fleet.Configuration) { c.Services["plans"] = fleet.Service{ID: "plans", Pool: "rota"} }, "name at least one"},
		{"urgent class", func(c fleet.Configuration) { setRule(c, fleet.RequestTypeRule{Name: "week", Class: fleet.ClassUrgent}) }, "grant urgent to the account"},
		{"unknown class", func(c fleet.Configuration) { setRule(c, fleet.RequestTypeRule{Name: "week", Class: "fast"}) }, "use normal or long"},
		{"run time above timeout", func(c fleet.Configuration) {
			setRule(c, fleet.RequestTypeRule{Name: "week", Class: fleet.ClassLong, DeclaredRunTime: time.Hour, MaxTimeout: time.Minute})
		}, "raise the timeout"},
		{"no credential", func(c fleet.Configuration) { c.Accounts["union"] = fleet.ClientAccount{ID: "union"} }, "set the SHA-256"},
		{"burst without rate", func(c fleet.Configuration) {
			c.Accounts["union"] = fleet.ClientAccount{ID: "union", CredentialHash: make([]byte, 32), Quota: fleet.Quota{Burst: 3}}
		}, "set the rate or unset the burst"},
		{"unknown grant", func(c fleet.Configuration) {
			a := c.Accounts["union"]
			a.PriorityGrants = []fleet.PriorityGrant{{Service: "plans", RequestType: "swap", Class: fleet.ClassUrgent}}
			c.Accounts["union"] = a
		}, "remove the grant"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := valid()
			tc.modify(c)
			var invalid *configuration.InvalidError
			is.True(errors.As(configuration.Check(c), &invalid)) // the fault is found
			is.True(strings.Contains(invalid.Error(), tc.want))  // the finding says what to do
			is.True(!strings.Contains(invalid.Error(), "\n"))
		})
	}
}

func setRule(c fleet.Configuration, rule fleet.RequestTypeRule) {
	c.Services["plans"] = fleet.Service{ID: "plans", Pool: "rota", RequestTypes: map[fleet.RequestType]fleet.RequestTypeRule{rule.Name: rule}}
}

// Guards against a dry run that leaves out a difference, or an effect that operators need to know of.
func TestDryRunShowsDifferencesAndEffects(t *testing.T) {
	is := is.New(t)
	from, to := valid(), valid()
	to.Pools["rota"] = fleet.Pool{ID: "rota", Budget: fleet.Budget{MinAvailableVMs: 5}}
	to.Pools["night"] = fleet.Pool{ID: "night", Budget: fleet.Budget{MaxUnavailableVMs: 1}}
	to.Services["storm"] = fleet.Service{ID: "storm", Pool: "night"}
	to.Accounts["union"] = fleet.ClientAccount{ID: "union", Quota: fleet.Quota{Rate: 10}}
	vms := map[fleet.VMID]fleet.VM{"vm-1": {ID: "vm-1", Pool: "rota", State: fleet.VMStateServing}}
	changes := configuration.Replace(from, to)
	is.Equal(len(changes), 4)
	next := configuration.Apply(from, changes, 2)
	is.Equal(len(next.Accounts["union"].CredentialHash), 32) // a put without a credential keeps it
	is.Equal(configuration.Diff(from, next), []configuration.Difference{
		{Item: "account/union", Field: "quota.requests-per-second", From: "100", To: "10"},
		{Item: "pool/night", Field: "item", From: "absent", To: "present"},
		{Item: "pool/night", Field: "budget.max-unavailable-vms", To: "1"},
		{Item: "pool/rota", Field: "budget.min-available-vms", From: "2", To: "5"},
		{Item: "service/storm", Field: "item", From: "absent", To: "present"},
		{Item: "service/storm", Field: "pool", To: "night"},
	})
	warnings := strings.Join(configuration.Warnings(from, next, configuration.Capacities(vms, nil)), "\n")
	for _, want := range []string{
		"pool rota: budget cannot be met now: min-available-vms is 5, but there are 1",
		"service storm: pool night has no serving VM",
		"account union: quota requests-per-second goes from 100 to 10",
	} {
		is.True(strings.Contains(warnings, want)) // the effect is shown
	}
	err := configuration.CheckChanges(from, []configuration.Change{{DeletePool: "rota"}}, configuration.Capacities(vms, nil))
	is.True(err != nil) // a pool with VMs is not deleted
}
