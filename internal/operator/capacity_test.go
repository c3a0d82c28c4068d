package operator_test

import (
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/operation"
	"github.com/mimosawharf/mimosawharf/internal/operator"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// capacityHandler serves a view of pools of 19 VMs with a service each, 128 entries and a wave over all VMs.
func capacityHandler(pools int) *operator.Handler {
	c, v := clockwork.NewFakeClock(), fleet.NewView()
	v.RefreshedAt, v.ListReadAt = c.Now(), c.Now()
	w := fleet.Wave{ID: "wave", State: fleet.WaveStateRunning}
	for i := range pools {
		id := fleet.PoolID(fmt.Sprintf("pool-of-a-service-%03d", i))
		v.Configuration.Pools[id] = fleet.Pool{ID: id, Budget: fleet.Budget{MaxUnavailableVMs: 1}}
		v.Configuration.Services[fleet.ServiceID(id)] = fleet.Service{ID: fleet.ServiceID(id), Pool: id}
		for n := range 19 {
			vm := fleet.VM{ID: fleet.VMID(fmt.Sprintf("vm-%05d", i*19+n)), Zone: fleet.ZoneID(fmt.Sprintf("zone-%02d", n%16)), Pool: id, State: fleet.VMStateServing, Slots: 8}
			v.VMs[vm.ID] = vm
			w.VMs = append(w.VMs, fleet.WaveVM{VM: vm.ID, Pool: id, Zone: vm.Zone, State: fleet.WaveVMStatePending})
		}
	}
	v.Waves[w.ID] = w
	for i := range 128 {
		e := fleet.Entry{ID: fleet.EntryID(fmt.Sprintf("entry-%03d", i)), Zone: "zone-00", RenewedAt: c.Now(), Duration: 6 * time.Second}
		v.Entries[e.ID] = e
	}
	view := &ring.Latest[*fleet.View]{}
	view.Set(v)
	return &operator.Handler{View: view, Clock: c, Bounds: operation.StatusBounds{StoreMaxAge: time.Minute, ListMaxAge: time.Minute}}
}

// BenchmarkCapacityStatus measures a GetStatus call.
func BenchmarkCapacityStatus(b *testing.B) {
	for _, pools := range []int{99, 197, 394} {
		b.Run(fmt.Sprintf("vms-%d", pools*19), func(b *testing.B) {
			is, h, size := is.New(b), capacityHandler(pools), 0
			for b.Loop() {
				r, err := h.GetStatus(b.Context(), connect.NewRequest(&operatorv1.GetStatusRequest{}))
				is.NoErr(err)
				size = proto.Size(r.Msg)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
