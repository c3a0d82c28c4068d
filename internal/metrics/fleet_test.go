package metrics_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/metrics"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against performance measures that are counted twice, by entries that do not hold the duty, or
// for adoptions, and against gauges that keep the last value of a grant or wave that no longer exists.
func TestFleetMetrics(t *testing.T) {
	for name, c := range map[string]struct {
		ownsCounters bool
		want         []string
	}{
		"holder of the duty": {true, []string{
			"vm_moves 1\n", "buffer_cost_vm_hours 0.75\n", `roll_out_seconds_sum{action="roll-out"}`,
			`waves{state="finished"} 1`, `waves{state="running"} 0`, `loans{pool="billing"} 1`, `grants{pool="billing"} 0`,
		}},
		"another entry": {false, []string{"buffer_cost_vm_hours 0\n", `waves{state="finished"} 1`}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fakeClock, registry, views := clockwork.NewFakeClock(), metrics.New(), &ring.Latest[*fleet.View]{}
			before, after := fleet.NewView(), fleet.NewView()
			usage := fleet.VMList{VMs: []fleet.PlatformVM{{ID: "vm-1", Usage: 25}, {ID: "vm-2", Usage: 100}}}
			before.List, after.List = usage, usage
			before.VMs["vm-1"] = fleet.VM{ID: "vm-1", Pool: "billing", State: fleet.VMStateServing}
			before.VMs["vm-2"] = fleet.VM{ID: "vm-2", Pool: fleet.PoolUnassigned, State: fleet.VMStateServing}
			after.VMs["vm-1"] = fleet.VM{ID: "vm-1", Pool: "rota", HomePool: "billing", State: fleet.VMStateServing}
			after.VMs["vm-2"] = fleet.VM{ID: "vm-2", Pool: "rota", State: fleet.VMStateServing}
			before.Ledgers["billing"] = fleet.Ledger{Grants: make([]fleet.Grant, 1)}
			wave := fleet.Wave{State: fleet.WaveStateRunning, Spec: fleet.WaveSpec{Action: fleet.WaveActionRollOut}}
			before.Waves["w"] = wave
			wave.State, wave.ChangedAt = fleet.WaveStateFinished, fakeClock.Now()
			after.Waves["w"] = wave
			views.Set(before)
			group, ctx := duty.NewGroup(context.Background())
			group.Start(ctx, &metrics.Fleet{
				Scope: registry.Scope, View: views, Clock: fakeClock, Interval: time.Hour, OwnsCounters: func() bool { return c.ownsCounters },
			})
			is.NoErr(fakeClock.BlockUntilContext(ctx, 1))
			views.Set(after)
			fakeClock.Advance(time.Hour)
			is.NoErr(fakeClock.BlockUntilContext(ctx, 1))
			group.Stop()
			is.NoErr(group.Wait())
			is.NoErr(registry.Close())
			w := httptest.NewRecorder()
			registry.Page.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
			for _, line := range c.want {
				is.True(strings.Contains(w.Body.String(), "mimosawharf_"+line))
			}
			is.True(c.ownsCounters || !strings.Contains(w.Body.String(), "vm_moves 1"))
		})
	}
}
