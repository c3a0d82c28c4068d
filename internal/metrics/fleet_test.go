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
// for adoptions, and against gauges of subjects that have gone.
func TestFleetMeasures(t *testing.T) {
	for name, c := range map[string]struct {
		counts bool
		want   []string
	}{
		"holder of the duty": {true, []string{
			"vm_moves 1\n", "buffer_cost_vm_hours 0.75\n", `roll_out_seconds_sum{action="roll-out"}`,
			`waves{state="finished"} 1`, `waves{state="running"} 0`, `loans{pool="billing"} 1`, `grants{pool="billing"} 0`,
		}},
		"another entry": {false, []string{"buffer_cost_vm_hours 0\n", `waves{state="finished"} 1`}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			times, registry, views := clockwork.NewFakeClock(), metrics.New(), &ring.Latest[*fleet.View]{}
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
			wave.State, wave.ChangedAt = fleet.WaveStateFinished, times.Now()
			after.Waves["w"] = wave
			views.Set(before)
			group, ctx := duty.NewGroup(context.Background())
			group.Start(ctx, &metrics.Fleet{
				Scope: registry.Scope, View: views, Clock: times, Interval: time.Hour, Counts: func() bool { return c.counts },
			})
			is.NoErr(times.BlockUntilContext(ctx, 1))
			views.Set(after)
			times.Advance(time.Hour)
			is.NoErr(times.BlockUntilContext(ctx, 1))
			group.Stop()
			is.NoErr(group.Wait())
			is.NoErr(registry.Close())
			w := httptest.NewRecorder()
			registry.Page.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
			for _, line := range c.want {
				is.True(strings.Contains(w.Body.String(), "mimosawharf_"+line))
			}
			is.True(c.counts || !strings.Contains(w.Body.String(), "vm_moves 1"))
		})
	}
}
