package dispatch_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/admission"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/routing"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// capacityView is a fleet of pools of 19 VMs in 16 zones with one service each; 394 pools is the target size.
func capacityView(pools int) *fleet.View {
	v := fleet.NewView()
	for i := range pools {
		id := fmt.Sprintf("pool-of-a-service-%03d", i)
		v.Configuration.Services[fleet.ServiceID(id)] = fleet.Service{
			ID: fleet.ServiceID(id), Pool: fleet.PoolID(id),
			RequestTypes: map[fleet.RequestType]fleet.RequestTypeRule{"plan": {Name: "plan", Class: fleet.ClassNormal, Repeatable: true}},
		}
		for n := range 19 {
			vm := fleet.VM{
				ID: fleet.VMID(fmt.Sprintf("vm-%05d", i*19+n)), Zone: fleet.ZoneID(fmt.Sprintf("zone-%02d", n%16)), Slots: slots,
				Pool: fleet.PoolID(id), State: fleet.VMStateServing,
			}
			v.VMs[vm.ID] = vm
		}
	}
	for i := range 710 {
		id := fleet.ClientAccountID(fmt.Sprintf("account-%03d", i))
		v.Configuration.Accounts[id] = fleet.ClientAccount{ID: id, Weight: 10}
	}
	return v
}

func newCapacityEngine(v *fleet.View, calls int) *dispatch.Engine {
	e := dispatch.NewEngine(
		&admission.Queues{Capacity: 1 << 20, MaxBytes: 1 << 30, NormalPercent: 10},
		&routing.Router{Zone: "zone-00", Entry: "entry-0", Reserved: 1, EjectPercent: 30, LoanDuration: 500 * time.Millisecond},
		&ticket.Book{Issuer: "entry-0", Incarnation: "i", Key: []byte("key"), Lifetime: time.Minute}, calls,
	)
	e.SetView(epoch, v, 8)
	return e
}

func eachPoolCount(b *testing.B, run func(b *testing.B, pools int, v *fleet.View)) {
	for _, pools := range []int{99, 197, 394} {
		b.Run(fmt.Sprintf("vms-%d", pools*19), func(b *testing.B) { run(b, pools, capacityView(pools)) })
	}
}

// BenchmarkCapacityView measures the handling of a new view of the fleet.
func BenchmarkCapacityView(b *testing.B) {
	eachPoolCount(b, func(b *testing.B, _ int, v *fleet.View) {
		e := newCapacityEngine(v, 512)
		for b.Loop() {
			e.SetView(epoch, v, 8)
		}
	})
}

func capacityRequest(i, pools int) *request.Request {
	return &request.Request{
		ID: fleet.RequestID(fmt.Sprintf("request-%09d", i)), Account: fleet.ClientAccountID(fmt.Sprintf("account-%03d", i%710)),
		Service: fleet.ServiceID(fmt.Sprintf("pool-of-a-service-%03d", i%pools)), Type: "plan", Body: make([]byte, 1024),
		Received: epoch, Deadline: epoch.Add(time.Hour),
	}
}

// BenchmarkCapacityRequest measures a request from its submission to its result.
func BenchmarkCapacityRequest(b *testing.B) {
	eachPoolCount(b, func(b *testing.B, pools int, v *fleet.View) {
		is, e, i := is.New(b), newCapacityEngine(v, 512), 0
		for b.Loop() {
			i++
			e.Submit(epoch, capacityRequest(i, pools), request.ReplyID(i))
			sends := e.Take().Sends
			is.Equal(len(sends), 1)
			e.AttemptEnded(epoch, sends[0].Call, request.Result{Kind: request.ResultAnswered})
			is.Equal(len(e.Take().Replies), 1)
		}
	})
}

// BenchmarkCapacityTick measures a tick without anything due.
func BenchmarkCapacityTick(b *testing.B) {
	eachPoolCount(b, func(b *testing.B, _ int, v *fleet.View) {
		e := newCapacityEngine(v, 512)
		for b.Loop() {
			e.Tick(epoch)
		}
	})
}

// BenchmarkCapacityQueued measures the memory of queued requests, their bodies of 1 KB left out.
func BenchmarkCapacityQueued(b *testing.B) {
	for _, count := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprintf("requests-%d", count), func(b *testing.B) {
			e := newCapacityEngine(capacityView(20), 0)
			before := heapBytes()
			for b.Loop() {
				for i := range count {
					e.Submit(epoch, capacityRequest(i, 20), request.ReplyID(i+1))
				}
			}
			b.ReportMetric((heapBytes()-before)/float64(count)-1024, "bytes/request")
			runtime.KeepAlive(e)
		})
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
