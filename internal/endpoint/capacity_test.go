package endpoint_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/endpoint"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/routing"
	"github.com/mimosawharf/mimosawharf/internal/standin"
	standinendpoint "github.com/mimosawharf/mimosawharf/internal/standin/endpoint"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// BenchmarkCapacityProbe measures a probe of an endpoint: its bytes on the connection, and its time with
// both sides of the connection.
func BenchmarkCapacityProbe(b *testing.B) {
	is, bytes := is.New(b), &atomic.Int64{}
	group, ctx := duty.NewGroup(context.Background())
	e := standinendpoint.New(clockwork.NewFakeClock(), 8, 0)
	group.Start(ctx, e)
	server := httptest.NewUnstartedServer(e.Handler())
	server.Listener = standin.CountingListener{Listener: server.Listener, Bytes: bytes}
	server.Start()
	items, results := ring.New[endpoint.WorkItem]("calls", 8), ring.New[dispatch.Event]("dispatcher", 8)
	seen := ring.New[endpoint.Seen]("prober", 8)
	group.Start(ctx, &endpoint.Worker{
		WorkItems: items, Results: results, LoadReports: results, Seen: seen, Client: endpoint.NewClient(2, nil), Scheme: "http", Clock: clock.Real(),
	})
	target := routing.Target{Endpoint: "vm-1", Address: fleet.Address(server.Listener.Addr().String()), Pool: "desk", AssignmentEpoch: 1}
	probes := 0
	for b.Loop() {
		probes++
		is.NoErr(items.Push(endpoint.WorkItem{Probe: &target}))
		_, err := seen.Pop(ctx)
		is.NoErr(err)
		_, _ = results.TryPop()
	}
	b.ReportMetric(float64(bytes.Load())/float64(probes), "wire-bytes/op")
	server.CloseClientConnections()
	group.Stop()
	_ = group.Wait()
	http.DefaultClient.CloseIdleConnections()
	server.Close()
}
