package control_test

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/configuration"
	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// capacitySize is a size of the fleet. The last of capacitySizes is the target of docs/design.md section 1,
// with 8 entries in each of 16 zones.
type capacitySize struct{ vms, pools, accounts, entries int }

var capacitySizes = []capacitySize{{1850, 99, 178, 32}, {3700, 197, 355, 64}, {7400, 394, 710, 128}}

// capacityFleet is the table of a fleet. A poll reads what was put after the previous poll.
type capacityFleet struct {
	clock     *clockwork.FakeClock
	revision  fleet.TableRevision
	rows      []platform.Row
	list      fleet.VMList
	pushed    int
	forwarded int
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

// Changes implements control.ChangeReader. It returns each row once.
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

// Push implements control.EventSink.
func (f *capacityFleet) Push(dispatch.Event) error { f.pushed++; return nil }

// PushRows implements control.RowReceiver.
func (f *capacityFleet) PushRows(r control.PeerRows) { f.forwarded += len(r.Rows) }

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
	f.pushed, f.forwarded = 0, 0
	return p
}

func (f *capacityFleet) newList() *fleet.VMList {
	f.list.AsOf = f.clock.Now()
	list := f.list
	return &list
}
