package control_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/configuration"
	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/maintenance"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// capacitySize is a size of the fleet; the last one is the target of docs/design.md section 1 with 8
// entries in each of 16 zones.
type capacitySize struct{ vms, pools, accounts, entries int }

var capacitySizes = []capacitySize{{1850, 99, 178, 32}, {3700, 197, 355, 64}, {7400, 394, 710, 128}}

// capacityFleet is the table of a fleet. Poll reads what was put after the last poll.
type capacityFleet struct {
	clock    *clockwork.FakeClock
	revision fleet.TableRevision
	rows     []platform.Row
	list     fleet.VMList
	pushed   int
	passed   int
}

func newCapacityFleet(s capacitySize) *capacityFleet {
	f := &capacityFleet{clock: clockwork.NewFakeClock()}
	for i := range s.vms {
		vm := f.vm(s, i)
		f.put(wire.KeyVM(vm.ID), wire.EncodeVM(vm))
		f.list.VMs = append(f.list.VMs, fleet.PlatformVM{
			ID: vm.ID, Zone: vm.Zone, Rack: vm.Rack, Address: vm.Address, State: fleet.PlatformVMStateLive,
			Role: fleet.VMRoleEndpoint, Slots: vm.Slots, Connections: vm.Connections, Resources: vm.Resources,
			Version: vm.Version, Boot: fleet.BootID(fleet.NewOperationID()), LastOperation: vm.OperationID,
		})
	}
	for i := range s.pools {
		pool := fleet.Pool{ID: poolID(i), Budget: fleet.Budget{MaxUnavailableVMs: 1, MaxUnavailablePerZone: 1}, TargetVMs: 19}
		f.item(wire.KeyPool(pool.ID), configuration.Item{Pool: &pool})
		service := fleet.Service{ID: fleet.ServiceID(pool.ID), Pool: pool.ID, RequestTypes: map[fleet.RequestType]fleet.RequestTypeRule{}}
		for t := range 4 {
			name := fleet.RequestType(fmt.Sprintf("request-type-%d", t))
			service.RequestTypes[name] = fleet.RequestTypeRule{Name: name, Class: fleet.ClassNormal, DeclaredRunTime: time.Second}
		}
		f.item(wire.KeyService(service.ID), configuration.Item{Service: &service})
	}
	for i := range s.accounts {
		f.account(i)
	}
	f.head()
	for i := range s.entries {
		f.entry(i)
	}
	for _, d := range []fleet.DutyName{fleet.DutyFleetDriver, fleet.DutyWaveDriver, fleet.DutySpareDriver} {
		f.put(wire.KeyLease(d), wire.EncodeLease(fleet.Lease{Duty: d, Holder: entryID(0), Incarnation: "i", Epoch: 1}))
	}
	return f
}

func poolID(i int) fleet.PoolID   { return fleet.PoolID(fmt.Sprintf("pool-of-a-service-%03d", i)) }
func entryID(i int) fleet.EntryID { return fleet.EntryID(fmt.Sprintf("entry-%02d-%d", i%16, i/16)) }

func (f *capacityFleet) vm(s capacitySize, i int) fleet.VM {
	zone := i % 16
	return fleet.VM{
		ID: fleet.VMID(fmt.Sprintf("vm-region-%d-%05d", zone/4, i)), Zone: fleet.ZoneID(fmt.Sprintf("region-%d-zone-%02d", zone/4, zone)),
		Rack: fleet.RackID(fmt.Sprintf("rack-%02d-%04d", zone, i/64)), Address: fleet.Address(fmt.Sprintf("10.%d.%d.%d:7500", zone, i/250, i%250)),
		Slots: 8, Connections: 64, Resources: fleet.Resources{Cores: 64, Memory: 128 << 30}, Pool: poolID(i / 16 % s.pools),
		State: fleet.VMStateServing, AssignmentEpoch: 3, Version: "2026.11.3", LastMaintained: f.clock.Now().Add(-time.Duration(i%42) * 24 * time.Hour),
		OperationID: fleet.NewOperationID(), Since: f.clock.Now().Add(-time.Hour),
	}
}

func (f *capacityFleet) put(key fleet.TableKey, value []byte) {
	f.revision++
	f.rows = append(f.rows, platform.Row{Key: key, Value: value, Version: fleet.RowVersion(f.revision)})
}

func (f *capacityFleet) item(key fleet.TableKey, item configuration.Item) {
	item.Revision, item.OperationID = fleet.ConfigRevision(f.revision+1), fleet.NewOperationID()
	f.put(key, wire.EncodeItem(item))
}

func (f *capacityFleet) account(i int) {
	a := fleet.ClientAccount{ID: fleet.ClientAccountID(fmt.Sprintf("client-account-%03d", i)), CredentialHash: make([]byte, 32), Weight: 10}
	for g := range 2 {
		a.PriorityGrants = append(a.PriorityGrants, fleet.PriorityGrant{
			Service: fleet.ServiceID(poolID(g)), RequestType: "request-type-1", Class: fleet.ClassUrgent,
		})
	}
	f.item(wire.KeyAccount(a.ID), configuration.Item{Account: &a})
}

func (f *capacityFleet) head() {
	f.put(wire.KeyHead, wire.EncodeHead(configuration.Head{Revision: fleet.ConfigRevision(f.revision + 1), OperationID: fleet.NewOperationID()}))
}

func (f *capacityFleet) entry(i int) {
	f.put(wire.KeyEntry(entryID(i)), wire.EncodeEntry(fleet.Entry{
		ID: entryID(i), Incarnation: fleet.Incarnation(fleet.NewOperationID()), Zone: fleet.ZoneID(fmt.Sprintf("region-%d-zone-%02d", i%16/4, i%16)),
		PeerAddress: "10.0.0.1:7402", VM: fleet.VMID(fmt.Sprintf("vm-entry-%03d", i)), RenewedAt: f.clock.Now(), Duration: 6 * time.Second,
		ConfigRevision: 1000000, ConfigSince: f.clock.Now(), AcknowledgedRevision: f.revision,
	}))
}

// Changes implements control.ChangeReader. Rows that were read are dropped.
func (f *capacityFleet) Changes(context.Context, fleet.TableRevision, int, ...fleet.TableKey) (platform.Changes, error) {
	rows := f.rows
	f.rows = nil
	return platform.Changes{Rows: rows, Revision: f.revision, History: "h"}, nil
}

// Commit implements control.Table.
func (f *capacityFleet) Commit(context.Context, platform.Transaction) (fleet.TableRevision, error) {
	f.revision++
	return f.revision, nil
}

// Read implements control.Table.
func (f *capacityFleet) Read(context.Context, ...fleet.TableKey) ([]platform.Row, error) {
	return nil, &platform.UnavailableError{Call: "read", Cause: context.Canceled}
}

// Push implements control.Notified.
func (f *capacityFleet) Push(dispatch.Event) error { f.pushed++; return nil }

// PushRows implements control.RowReceiver.
func (f *capacityFleet) PushRows(r control.PeerRows) { f.passed += len(r.Rows) }

func (f *capacityFleet) poller() *control.Poller {
	return &control.Poller{
		Table: f, Inbox: ring.New[control.PollerEvent]("poller", 16), View: &ring.Latest[*fleet.View]{}, Dispatcher: f,
		Clock: f.clock, Log: zap.NewNop(), Interval: time.Second, Zone: "region-0-zone-00", HoldTime: 10 * time.Second, Peers: f,
	}
}

// read returns a poller that has read the table and the list.
func (f *capacityFleet) read() *control.Poller {
	p := f.poller()
	p.Poll(context.Background())
	p.Handle(context.Background(), control.PollerEvent{List: f.newList()})
	f.pushed, f.passed = 0, 0
	return p
}

func (f *capacityFleet) newList() *fleet.VMList {
	f.list.AsOf = f.clock.Now()
	list := f.list
	return &list
}

// eachSize runs a benchmark at each size.
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

// BenchmarkCapacityStart measures the first read of the table: its rows, the time and the memory kept.
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
		runtime.KeepAlive(p)
	})
}

// BenchmarkCapacityRows measures the bytes of one row of each kind, keys included.
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

// BenchmarkCapacityPoll measures a poll by what changed since the last one.
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
				b.ReportMetric(float64(f.passed)/float64(polls), "peer-rows/op")
			})
		})
	}
}

// BenchmarkCapacityList measures a list of VMs in which nothing changed.
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

// BenchmarkCapacityLease measures a heartbeat with the check of the leases.
func BenchmarkCapacityLease(b *testing.B) {
	eachSize(b, func(b *testing.B, _ capacitySize, f *capacityFleet) {
		h := &control.LeaseHolder{
			Entry: fleet.Entry{ID: entryID(0), Incarnation: "i", Duration: 6 * time.Second}, Duties: []fleet.DutyName{fleet.DutyFleetDriver, fleet.DutyWaveDriver, fleet.DutySpareDriver},
			Table: f, View: f.read().View, Status: &ring.Latest[dispatch.Status]{}, Held: &ring.Latest[control.Leases]{}, Clock: f.clock, Log: zap.NewNop(),
		}
		for b.Loop() {
			h.Step(b.Context())
		}
	})
}

// BenchmarkCapacityFleetDriver measures a round of the fleet driver with 20 VMs draining.
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

func disruptive(f *capacityFleet, view *ring.Latest[*fleet.View], duty fleet.DutyName) control.Disruptive {
	return control.Disruptive{
		Entry: entryID(0), Table: f, View: view, Held: held(duty), Load: &ring.Latest[control.Load]{},
		Poller: ring.New[control.PollerEvent]("poller", 16), Clock: f.clock, Log: zap.NewNop(), ListMaxAge: time.Minute,
	}
}

// fullWave returns a wave over all VMs in which one VM of each pool is under way.
func fullWave(b *testing.B, f *capacityFleet) fleet.Wave {
	p := f.poller()
	rows := f.rows
	p.Poll(b.Context())
	f.rows = rows
	view := p.View.Get()
	plan, err := maintenance.New(maintenance.Request{
		ID: "wave", Spec: fleet.WaveSpec{Action: fleet.WaveActionReboot}, VMs: wire.SortedVMs(view), StepTime: maintenance.DefaultStepTime,
		Parallel: maintenance.NewCapacity(view.Configuration, view.VMs, nil).Parallel(),
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
		}
	}
	return w
}

// BenchmarkCapacityWaveDriver measures a round without a wave that is due, and one in a wave over the whole
// fleet in which nothing changes.
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
				d := &control.WaveDriver{Disruptive: disruptive(f, f.read().View, fleet.DutyWaveDriver)}
				commits := f.revision
				for b.Loop() {
					d.Step(b.Context())
				}
				b.ReportMetric(float64(f.revision-commits)/float64(b.N), "commits/op")
			})
		})
	}
}

// BenchmarkCapacitySpareDriver measures a round of the spare driver.
func BenchmarkCapacitySpareDriver(b *testing.B) {
	eachSize(b, func(b *testing.B, _ capacitySize, f *capacityFleet) {
		d := &control.SpareDriver{Disruptive: disruptive(f, f.read().View, fleet.DutySpareDriver)}
		for b.Loop() {
			d.Step(b.Context())
		}
	})
}
