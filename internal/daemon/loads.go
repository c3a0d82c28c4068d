package daemon

import (
	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/operation"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// fleetLoad publishes the load of the fleet for the drivers. Only the dispatcher calls Set.
type fleetLoad struct {
	load *ring.Latest[control.Load]
}

// Set implements dispatch.FleetLoadReceiver.
func (f fleetLoad) Set(l dispatch.FleetLoad) {
	out := control.Load{Urgent: l.Urgent, Pools: map[fleet.PoolID]control.PoolLoad{}}
	for id, queued := range l.Queued {
		out.Pools[id] = control.PoolLoad{Queued: queued}
	}
	f.load.Set(out)
}

// serviceLoads reports the load of each service at this entry in the status.
type serviceLoads struct {
	status *ring.Latest[dispatch.Status]
}

// ServiceLoads implements operator.Loads.
func (s serviceLoads) ServiceLoads() map[fleet.ServiceID]operation.ServiceLoad {
	out := map[fleet.ServiceID]operation.ServiceLoad{}
	for _, service := range s.status.Get().Services {
		out[service.Service] = operation.ServiceLoad{
			Queued: map[fleet.Class]int{
				fleet.ClassUrgent: service.QueuedUrgent, fleet.ClassNormal: service.QueuedNormal, fleet.ClassLong: service.QueuedLong,
			},
			Running: int(service.Running), Ejected: service.Ejected, ShortWaitP99: service.ShortWaitP99,
		}
	}
	return out
}
