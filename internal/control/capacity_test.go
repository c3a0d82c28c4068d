package control_test

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/maintenance"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// eachSize runs a benchmark for each of capacitySizes.
func eachSize(b *testing.B, run func(b *testing.B, s capacitySize, f *capacityFleet)) {
	for _, s := range capacitySizes {
		b.Run(fmt.Sprintf("vms-%d", s.vms), func(b *testing.B) { run(b, s, newCapacityFleet(s)) })
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkCapacityStart measures the first read of the table: its rows, its time and the memory retained.
func BenchmarkCapacityStart(b *testing.B) {
	eachSize(b, func(b *testing.B, _ capacitySize, f *capacityFleet) {
		rows, bytes := f.rows, 0
		for _, r := range rows {
			bytes += len(r.Key) + len(r.Value)
		}
		before := heapBytes()
		var p *control.Poller
		for b.Loop() {
			f.rows = rows
			p = f.poller()
			p.Poll(b.Context())
		}
		b.ReportMetric(heapBytes()-before, "state-bytes")
		b.ReportMetric(float64(len(rows)), "rows")
		b.ReportMetric(float64(bytes), "table-bytes")
		runtime.KeepAlive(rows)
		runtime.KeepAlive(p)
	})
}

// BenchmarkCapacityStartFromPeer measures the first view of an entry that receives all rows from a peer.
func BenchmarkCapacityStartFromPeer(b *testing.B) {
	eachSize(b, func(b *testing.B, _ capacitySize, f *capacityFleet) {
		rows, bytes := control.RowsOf(f.read().View.Get()).Rows, 0
		for _, r := range rows {
			bytes += len(r.Key) + len(r.Value)
		}
		for b.Loop() {
			p := f.poller()
			for chunk := range slices.Chunk(rows, 1000) { // the rows of one frame
				p.Handle(b.Context(), control.PollerEvent{Rows: chunk})
			}
		}
		b.ReportMetric(float64(bytes), "bytes")
	})
}

// objects stores one object.
type objects struct{ data []byte }

func (o *objects) PutObject(_ context.Context, _ platform.ObjectName, data []byte) error {
	o.data = data
	return nil
}

// BenchmarkCapacitySnapshot measures the writing of a snapshot.
func BenchmarkCapacitySnapshot(b *testing.B) {
	eachSize(b, func(b *testing.B, _ capacitySize, f *capacityFleet) {
		rows, stored := f.rows, &objects{}
		s := &control.Snapshot{Table: f, Objects: stored, Held: held(fleet.DutySnapshot), Clock: f.clock, Log: zap.NewNop(), Interval: time.Minute}
		for b.Loop() {
			f.rows = rows
			is.New(b).NoErr(s.Step(b.Context()))
		}
		b.ReportMetric(float64(len(stored.data)), "bytes")
		b.ReportMetric(float64(len(stored.data))/s.Pause().Seconds(), "bytes/s")
	})
}

// BenchmarkCapacityState measures the memory of the view per item of one kind, with one item of each other kind.
func BenchmarkCapacityState(b *testing.B) {
	for _, c := range []struct {
		kind  string
		count int
		size  func(n int) capacitySize
	}{
		{"vm", 7400, func(n int) capacitySize { return capacitySize{n, 1, 1, 1} }},
		{"pool-and-service", 394, func(n int) capacitySize { return capacitySize{1, n, 1, 1} }},
		{"account", 710, func(n int) capacitySize { return capacitySize{1, 1, n, 1} }},
		{"entry", 128, func(n int) capacitySize { return capacitySize{1, 1, 1, n} }},
	} {
		for part := 4; part >= 1; part /= 2 {
			n := c.count / part
			b.Run(fmt.Sprintf("%s-%d", c.kind, n), func(b *testing.B) {
				f := newCapacityFleet(c.size(n))
				rows, before := f.rows, heapBytes()
				p := f.poller()
				for b.Loop() {
					p.Poll(b.Context())
				}
				b.ReportMetric((heapBytes()-before)/float64(n), "bytes/item")
				runtime.KeepAlive(rows)
				runtime.KeepAlive(p)
			})
		}
	}
}

// BenchmarkCapacityRows measures the size of one row of each kind, including its key.
func BenchmarkCapacityRows(b *testing.B) {
	f := newCapacityFleet(capacitySizes[2])
	wave := fullWave(b, f)
	ledger := fleet.Ledger{Pool: poolID(1), Grants: []fleet.Grant{{
		ID: fleet.GrantID(fleet.NewOperationID() + "/vm-region-0-00000"), VM: "vm-region-0-00000", Zone: "region-0-zone-00", Slots: 8,
		HolderKind: fleet.HolderKindWave, Holder: "standing-2026-03-02", OperationID: fleet.NewOperationID(), GrantedAt: f.clock.Now(),
	}}}
	for b.Loop() {
		for _, prefix := range []fleet.TableKey{wire.PrefixVM, wire.PrefixPool, wire.PrefixService, wire.PrefixAccount, wire.PrefixEntry, wire.PrefixLease} {
			for _, r := range f.rows {
				if wire.HasPrefix(r.Key, prefix) {
					b.ReportMetric(float64(len(r.Key)+len(r.Value)), string(prefix)+"-bytes")
					break
				}
			}
		}
		b.ReportMetric(float64(len(wire.EncodeLedger(ledger))), "ledger-of-one-grant-bytes")
		b.ReportMetric(float64(len(wire.EncodeWave(wave)))/float64(len(wave.VMs)), "wave-bytes/VM")
	}
}

// BenchmarkCapacityPoll measures a poll for each kind of change since the last one.
func BenchmarkCapacityPoll(b *testing.B) {
	for name, change := range map[string]func(f *capacityFleet, s capacitySize, i int){
		"none": func(*capacityFleet, capacitySize, int) {},
		"entries": func(f *capacityFleet, s capacitySize, i int) {
			for e := range s.entries / 2 { // each entry renews its row every 2 s
				f.entry((i%2)*s.entries/2 + e)
			}
		},
		"vm": func(f *capacityFleet, s capacitySize, i int) {
			vm := f.vm(s, i%s.vms)
			f.put(wire.KeyVM(vm.ID), wire.EncodeVM(vm))
		},
		"config": func(f *capacityFleet, s capacitySize, i int) { f.account(i % s.accounts); f.head() },
	} {
		b.Run(name, func(b *testing.B) {
			eachSize(b, func(b *testing.B, s capacitySize, f *capacityFleet) {
				p, polls := f.read(), 0
				for b.Loop() {
					change(f, s, polls)
					polls++
					p.Poll(b.Context())
				}
				b.ReportMetric(float64(f.pushed)/float64(polls), "dispatcher-updates/op")
				b.ReportMetric(float64(f.forwarded)/float64(polls), "peer-rows/op")
			})
		})
	}
}

// BenchmarkCapacityList measures the handling of a list of VMs in which nothing changed.
func BenchmarkCapacityList(b *testing.B) {
	eachSize(b, func(b *testing.B, _ capacitySize, f *capacityFleet) {
		p, lists := f.read(), 0
		for b.Loop() {
			lists++
			p.Handle(b.Context(), control.PollerEvent{List: f.newList()})
		}
		b.ReportMetric(float64(f.pushed)/float64(lists), "dispatcher-updates/op")
	})
}

// BenchmarkCapacityLease measures a heartbeat and the check of the leases.
func BenchmarkCapacityLease(b *testing.B) {
	eachSize(b, func(b *testing.B, _ capacitySize, f *capacityFleet) {
		h := &control.LeaseHolder{
			Entry: fleet.Entry{ID: entryID(0), Incarnation: "i", Duration: 6 * time.Second}, Duties: []fleet.DutyName{fleet.DutyFleetDriver, fleet.DutyWaveDriver, fleet.DutySpareDriver},
			Table: f, View: f.read().View, Status: &ring.Latest[dispatch.Status]{}, Held: &ring.Latest[control.Leases]{}, Clock: f.clock, Log: zap.NewNop(),
			Reconciled: &ring.Latest[fleet.TableHistory]{}, DeadEndpoints: &ring.Latest[[]fleet.VMID]{},
		}
		for b.Loop() {
			h.Step(b.Context())
		}
	})
}

// BenchmarkCapacityFleetDriver measures a step of the fleet driver with 20 draining VMs.
func BenchmarkCapacityFleetDriver(b *testing.B) {
	eachSize(b, func(b *testing.B, s capacitySize, f *capacityFleet) {
		for i := range 20 {
			vm := f.vm(s, i)
			vm.State, vm.Purpose = fleet.VMStateDraining, fleet.VMPurposeReboot
			f.put(wire.KeyVM(vm.ID), wire.EncodeVM(vm))
		}
		d := &control.FleetDriver{
			Entry: entryID(0), Table: f, View: f.read().View, Held: held(fleet.DutyFleetDriver), Poller: ring.New[control.PollerEvent]("poller", 16),
			Clock: f.clock, Log: zap.NewNop(), HoldTime: 10 * time.Second, ListMaxAge: time.Minute,
		}
		for b.Loop() {
			d.Step(b.Context())
		}
	})
}

func held(duty fleet.DutyName) *ring.Latest[control.Leases] {
	l := &ring.Latest[control.Leases]{}
	l.Set(control.Leases{duty: {RowVersion: 1}})
	return l
}

func driverConfig(f *capacityFleet, view *ring.Latest[*fleet.View], duty fleet.DutyName) control.DriverConfig {
	return control.DriverConfig{
		Entry: entryID(0), Table: f, View: view, Held: held(duty), Load: &ring.Latest[control.Load]{},
		Poller: ring.New[control.PollerEvent]("poller", 16), Clock: f.clock, Log: zap.NewNop(), ListMaxAge: time.Minute,
	}
}

// fullWave returns a wave over all VMs in which one VM of each pool is in its step.
func fullWave(b *testing.B, f *capacityFleet) fleet.Wave {
	p := f.poller()
	rows := f.rows
	p.Poll(b.Context())
	f.rows = rows
	view := p.View.Get()
	plan, err := maintenance.NewPlan(maintenance.Request{
		ID: "wave", Spec: fleet.WaveSpec{Action: fleet.WaveActionReboot}, VMs: wire.SortedVMs(view), StepTime: maintenance.DefaultStepTime,
		Parallel: maintenance.NewBudgetTracker(view.Configuration, view.VMs, nil).Parallel(),
	}, f.clock.Now())
	is.New(b).NoErr(err)
	w := plan.Wave
	w.State, w.Width = fleet.WaveStateRunning, 2
	pools := map[fleet.PoolID]bool{}
	for i := range w.VMs {
		if v := &w.VMs[i]; !pools[v.Pool] {
			pools[v.Pool] = true
			v.State, v.StartedAt, v.ChangedAt = fleet.WaveVMStateStarted, f.clock.Now(), f.clock.Now()
			vm := view.VMs[v.VM]
			vm.State, vm.Wave = fleet.VMStateRebooting, w.ID
			f.put(wire.KeyVM(vm.ID), wire.EncodeVM(vm))
			f.put(wire.KeyLedger(vm.Pool), wire.EncodeLedger(fleet.Ledger{Pool: vm.Pool, Grants: []fleet.Grant{{ID: "g", VM: vm.ID}}}))
		}
	}
	return w
}

// BenchmarkCapacityWaveDriver measures a step when no wave is due, and a step in a wave over the whole fleet
// in which nothing changes.
func BenchmarkCapacityWaveDriver(b *testing.B) {
	for _, full := range []bool{false, true} {
		b.Run(fmt.Sprintf("full-wave-%t", full), func(b *testing.B) {
			eachSize(b, func(b *testing.B, _ capacitySize, f *capacityFleet) {
				id := fleet.WaveID("standing-" + f.clock.Now().UTC().Format("2006-01-02"))
				f.put(wire.KeyWave(id), wire.EncodeWave(fleet.Wave{ID: id, State: fleet.WaveStateFinished}))
				if full {
					w := fullWave(b, f)
					f.put(wire.KeyWave(w.ID), wire.EncodeWave(w))
				}
				d := &control.WaveDriver{DriverConfig: driverConfig(f, f.read().View, fleet.DutyWaveDriver)}
				commits := f.revision
				for b.Loop() {
					d.Step(b.Context())
				}
				b.ReportMetric(float64(f.revision-commits)/float64(b.N), "commits/op")
			})
		})
	}
}

// BenchmarkCapacitySpareDriver measures a step of the spare driver.
func BenchmarkCapacitySpareDriver(b *testing.B) {
	eachSize(b, func(b *testing.B, _ capacitySize, f *capacityFleet) {
		d := &control.SpareDriver{DriverConfig: driverConfig(f, f.read().View, fleet.DutySpareDriver)}
		for b.Loop() {
			d.Step(b.Context())
		}
	})
}
