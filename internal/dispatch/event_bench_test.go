package dispatch_test

import (
	"fmt"
	"math"
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

// The target size of docs/design.md section 1, and the work in flight at one entry.
const (
	largePools     = 394
	largeEndpoints = 7400
	largeZones     = 16
	largeDraining  = 40
	largeInFlight  = 2000
)

// largeView returns a fleet of the target size with one service for each pool.
func largeView() *fleet.View {
	v := fleet.NewView()
	v.Revision = 1e6
	for i := range largePools {
		id := fmt.Sprintf("service-%d", i)
		v.Configuration.Services[fleet.ServiceID(id)] = fleet.Service{ID: fleet.ServiceID(id), Pool: fleet.PoolID(id), RequestTypes: map[fleet.RequestType]fleet.RequestTypeRule{
			"list": {Name: "list", Class: fleet.ClassNormal, Repeatable: true}, "swap": {Name: "swap", Class: fleet.ClassNormal},
		}}
	}
	for i := range largeEndpoints {
		id := fleet.VMID(fmt.Sprintf("vm-%d", i))
		vm := fleet.VM{
			ID: id, Zone: fleet.ZoneID(fmt.Sprintf("zone-%d", i%largeZones)), Slots: 8, RowVersion: fleet.RowVersion(i + 1),
			Pool: fleet.PoolID(fmt.Sprintf("service-%d", i/largeZones%largePools)), State: fleet.VMStateServing,
		}
		if i%(largeEndpoints/largeDraining) == 0 {
			vm.State = fleet.VMStateDraining
		}
		v.VMs[id] = vm
	}
	return v
}

// largeEngine returns an engine with work in flight, half of it ticketed.
func largeEngine(is *is.I, v *fleet.View) *dispatch.Engine {
	e := dispatch.NewEngine(&admission.Queues{Capacity: 8192, MaxBytes: 1 << 30}, &routing.Router{
		Zone: "zone-0", Entry: "entry", EjectPercent: 30, LoanDuration: loanDuration,
	}, &ticket.Book{Issuer: "entry", Incarnation: "1", Lifetime: time.Hour}, math.MaxInt)
	e.SetView(epoch, v, 1)
	for i := range largeInFlight {
		r := largeRequest(i, i)
		if i%2 == 0 {
			r.Type, r.Ticket = "swap", e.IssueTickets(epoch, r.Account, 1)[0]
		}
		e.Submit(epoch, r, 1)
	}
	is.True(len(e.Take().Sends) > largeInFlight/2)
	return e
}

func largeRequest(number, service int) *request.Request {
	return &request.Request{
		ID: fleet.RequestID(fmt.Sprint(number)), Account: "newsroom", Service: fleet.ServiceID(fmt.Sprintf("service-%d", service%largePools)),
		Type: "list", Received: epoch, Deadline: epoch.Add(time.Hour),
	}
}

// BenchmarkEvent measures the cost of the dispatcher's events at the target size. Requests and ticks
// include the acknowledged revision, which the dispatcher publishes after each event.
func BenchmarkEvent(b *testing.B) {
	v := largeView()
	b.Run("request", func(b *testing.B) {
		e := largeEngine(is.New(b), v)
		for i := range b.N {
			e.Submit(epoch, largeRequest(1e6+i, i), 1)
			e.AcknowledgedRevision()
			for _, s := range e.Take().Sends {
				e.AttemptEnded(epoch, s.Call, request.Result{Kind: request.ResultAnswered, Elapsed: time.Millisecond})
				e.AcknowledgedRevision()
			}
		}
	})
	b.Run("tick", func(b *testing.B) {
		e := largeEngine(is.New(b), v)
		for range b.N {
			e.Tick(epoch)
			e.AcknowledgedRevision()
		}
	})
	b.Run("report", func(b *testing.B) {
		e := largeEngine(is.New(b), v)
		for range b.N {
			e.LoanReport()
		}
	})
	b.Run("view", func(b *testing.B) {
		e := largeEngine(is.New(b), v)
		for range b.N {
			e.SetView(epoch, v, 1)
		}
	})
}
