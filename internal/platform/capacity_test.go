package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/standin"
	standinplatform "github.com/mimosawharf/mimosawharf/internal/standin/platform"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	platformv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/platform/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/platform/v1/platformv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// capacityPlatform serves the stand-in's table and a fixed list of VMs over HTTP, to one benchmark at a
// time. It counts the bytes of all connections.
type capacityPlatform struct {
	*standinplatform.Store
	vms   *platformv1.ListVMsResponse
	bytes atomic.Int64
}

// ListVMs implements the VM service.
func (p *capacityPlatform) ListVMs(_ context.Context, r *connect.Request[platformv1.ListVMsRequest]) (*connect.Response[platformv1.ListVMsResponse], error) {
	if len(r.Msg.GetZones()) == 0 {
		return connect.NewResponse(p.vms), nil
	}
	out := &platformv1.ListVMsResponse{AsOf: p.vms.GetAsOf()}
	for _, vm := range p.vms.GetVms() {
		if vm.GetZone() == r.Msg.GetZones()[0] {
			out.Vms = append(out.Vms, vm)
		}
	}
	return connect.NewResponse(out), nil
}

func newCapacityPlatform(b *testing.B, vms int) (*capacityPlatform, *platform.Client) {
	c := clockwork.NewFakeClock()
	p := &capacityPlatform{Store: standinplatform.NewStore(c, time.Second, time.Second), vms: &platformv1.ListVMsResponse{AsOf: timestamppb.New(c.Now())}}
	for i := range vms {
		zone := i % 16
		p.vms.Vms = append(p.vms.Vms, &platformv1.VM{
			Id: fmt.Sprintf("vm-region-%d-%05d", zone/4, i), Zone: fmt.Sprintf("region-%d-zone-%02d", zone/4, zone), Rack: fmt.Sprintf("rack-%02d-%04d", zone, i/64),
			Address: fmt.Sprintf("10.%d.%d.%d:7500", zone, i/250, i%250), State: "live", Slots: 8, Connections: 64, Version: "2026.11.3",
			Resources: wire.Resources(fleet.Resources{Cores: 64, Memory: 128 << 30}), UsagePercent: uint32(i % 90), Role: "endpoint",
			BootId: string(fleet.NewOperationID()), LastOperationId: string(fleet.NewOperationID()),
		})
	}
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewTableServiceHandler(p))
	mux.Handle(platformv1connect.NewVMServiceHandler(p))
	server := httptest.NewUnstartedServer(mux)
	server.Listener = standin.CountingListener{Listener: server.Listener, Bytes: &p.bytes}
	server.Start()
	b.Cleanup(server.Close)
	return p, platform.NewClient(&http.Client{}, server.URL, 20*time.Second)
}

// measure reports the time of a call, both ends of the connection included, and its bytes on the wire.
func (p *capacityPlatform) measure(b *testing.B, call func(ctx context.Context, i int) error) {
	is, calls := is.New(b), 0
	is.NoErr(call(b.Context(), 0)) // opens the connection
	p.bytes.Store(0)
	for b.Loop() {
		calls++
		is.NoErr(call(b.Context(), calls))
	}
	b.ReportMetric(float64(p.bytes.Load())/float64(calls), "wire-bytes/op")
}

// BenchmarkCapacityListVMs measures a read of the list of all VMs and of those of one zone of 16.
func BenchmarkCapacityListVMs(b *testing.B) {
	for _, zones := range [][]fleet.ZoneID{nil, {"region-0-zone-00"}} {
		for _, vms := range []int{50, 1850, 3700, 7400} {
			b.Run(fmt.Sprintf("zones-%d/vms-%d", len(zones), vms), func(b *testing.B) {
				p, client := newCapacityPlatform(b, vms)
				p.measure(b, func(ctx context.Context, _ int) error {
					_, err := client.ListVMsInZones(ctx, zones...)
					return err
				})
			})
		}
	}
}

func entryRow(i, renewal int) platform.Put {
	id := fleet.EntryID(fmt.Sprintf("entry-%02d-%d", i%16, i/16))
	return platform.Put{Key: wire.KeyEntry(id), Value: wire.EncodeEntry(fleet.Entry{
		ID: id, Incarnation: fleet.Incarnation(fleet.NewOperationID()), Zone: fleet.ZoneID(fmt.Sprintf("region-%d-zone-%02d", i%16/4, i%16)),
		PeerAddress: "10.0.0.1:7402", VM: fleet.VMID(fmt.Sprintf("vm-entry-%03d", i)), RenewedAt: time.Unix(1e9, int64(renewal+i*7919)), Duration: 6 * time.Second,
		ConfigRevision: 1000000, ConfigSince: time.Unix(1e9, 1), AcknowledgedRevision: 123456789,
	})}
}

// BenchmarkCapacityPoll measures a poll of the table after some entries renewed their rows.
func BenchmarkCapacityPoll(b *testing.B) {
	for _, entries := range []int{0, 4, 16, 64, 128} {
		b.Run(fmt.Sprintf("rows-%d", entries), func(b *testing.B) {
			p, client := newCapacityPlatform(b, 0)
			var t platform.Transaction
			for i := range entries {
				t.Puts = append(t.Puts, entryRow(i, 0))
			}
			_, err := client.Commit(b.Context(), t)
			is.New(b).NoErr(err)
			p.measure(b, func(ctx context.Context, _ int) error {
				_, err := client.Changes(ctx, 0, 2000, wire.PrefixConfig, wire.PrefixVM, wire.PrefixLedger, wire.PrefixWave, wire.PrefixLease, wire.PrefixEntry)
				return err
			})
		})
	}
}

// BenchmarkCapacityCommit measures a heartbeat, and a change of one VM and a ledger with its audit row.
func BenchmarkCapacityCommit(b *testing.B) {
	b.Run("heartbeat", func(b *testing.B) {
		p, client := newCapacityPlatform(b, 0)
		p.measure(b, func(ctx context.Context, i int) error {
			_, err := client.Commit(ctx, platform.Transaction{Puts: []platform.Put{entryRow(0, i)}})
			return err
		})
	})
	b.Run("vm", func(b *testing.B) {
		p, client := newCapacityPlatform(b, 0)
		p.measure(b, func(ctx context.Context, _ int) error {
			id := fleet.NewOperationID()
			_, err := client.Commit(ctx, platform.Transaction{
				Audit: &fleet.Audit{
					OperationID: id, Actor: "entry-00-0", Action: fleet.AuditActionVMDrain, From: "serving", To: "draining", Outcome: "done", Entry: "entry-00-0",
					Subjects: []fleet.AuditSubject{fleet.SubjectVM("vm-region-0-00001"), fleet.SubjectPool("pool-of-a-service-001")},
				},
				Puts: []platform.Put{{Key: wire.KeyVM("vm-region-0-00001"), Value: make([]byte, 213)}, {Key: wire.KeyLedger("pool-of-a-service-001"), Value: make([]byte, 200)}},
			})
			return err
		})
	})
}
