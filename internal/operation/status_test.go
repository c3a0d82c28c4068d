package operation_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/operation"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

var noon = time.Date(2030, 1, 1, 12, 0, 0, 0, time.UTC)

// healthyView returns a view in which every guarantee holds at noon.
func healthyView() *fleet.View {
	v := fleet.NewView()
	v.Configuration.Revision, v.ConfigSince = 4, noon.Add(-time.Hour)
	v.Configuration.Pools["rota"] = fleet.Pool{ID: "rota", Budget: fleet.Budget{MinAvailableVMs: 2, MaxUnavailablePerZone: 1}}
	v.Configuration.Services["plans"] = fleet.Service{ID: "plans", Pool: "rota"}
	for _, id := range []fleet.VMID{"vm-1", "vm-2", "vm-3"} {
		v.VMs[id] = fleet.VM{ID: id, Pool: "rota", Zone: "a", State: fleet.VMStateServing, Slots: 8, Since: noon}
	}
	v.Entries["entry-a"] = fleet.Entry{ID: "entry-a", Incarnation: "1", RenewedAt: noon, Duration: time.Second, ConfigRevision: 4}
	v.Leases["fleet-driver"] = fleet.Lease{Duty: "fleet-driver", Holder: "entry-a", Incarnation: "1", RenewedAt: noon.Add(-time.Minute)}
	v.RefreshedAt, v.ListReadAt = noon, noon
	return v
}

func status(v *fleet.View) operation.Status {
	return operation.StatusOf(v, nil, noon, operation.StatusBounds{StoreMaxAge: 5 * time.Second, ListMaxAge: time.Minute})
}

// Guards against a status that is healthy although a guarantee does not hold, or that names no next step.
func TestStatusNamesEachProblem(t *testing.T) {
	healthy := status(healthyView())
	is.New(t).Equal(healthy.Problems, nil)
	is.New(t).True(healthy.Healthy)
	is.New(t).Equal(healthy.Pools[0].Required, fleet.VMCount(2))
	cases := []struct {
		name    string
		modify  func(*fleet.View)
		healthy bool
		want    string
	}{
		{"table not read", func(v *fleet.View) { v.RefreshedAt = time.Time{} }, false, "check --platform-address"},
		{"table does not answer", func(v *fleet.View) { v.RefreshedAt = noon.Add(-time.Minute) }, false, "has not answered for 1m0s"},
		{"old VM list", func(v *fleet.View) { v.ListReadAt = noon.Add(-2 * time.Minute) }, false, "no new grants"},
		{"budget not met", func(v *fleet.View) { v.Leaving = map[fleet.VMID]bool{"vm-1": true, "vm-2": true} }, false, "pool rota: budget does not hold: min-available-vms is 2, but there are 1"},
		{"pool without configuration", func(v *fleet.View) { delete(v.Configuration.Pools, "rota") }, false, "is not configured"},
		{"entry behind", func(v *fleet.View) {
			v.Entries["entry-a"] = fleet.Entry{ID: "entry-a", Incarnation: "1", RenewedAt: noon, ConfigRevision: 3}
		}, false, "has revision 3 in force, current is 4"},
		{"entry not renewed", func(v *fleet.View) {
			v.Entries["entry-b"] = fleet.Entry{ID: "entry-b", RenewedAt: noon.Add(-time.Hour)}
		}, true, "has not renewed its row for 1h"},
		{"lease without holder", func(v *fleet.View) { v.Leases["x"] = fleet.Lease{Duty: "x", Holder: "entry-z"} }, true, "another entry takes it"},
		{"wave halted", func(v *fleet.View) {
			v.Waves["w"] = fleet.Wave{ID: "w", State: fleet.WaveStateHalted, Reason: "3 failures"}
		}, true, "wave resume"},
		{"VM failed", func(v *fleet.View) {
			v.VMs["vm-3"] = fleet.VM{ID: "vm-3", Pool: "rota", Zone: "a", State: fleet.VMStateFailed}
		}, true, "replace or remove it"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := healthyView()
			c.modify(v)
			s := status(v)
			is.Equal(s.Healthy, c.healthy)
			is.True(strings.Contains(strings.Join(s.Problems, "\n"), c.want)) // the problem is named
		})
	}
}
