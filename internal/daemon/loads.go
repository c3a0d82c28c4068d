package daemon

import (
	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/operation"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// fleetLoad publishes the load of the fleet for the drivers. Only the dispatcher sets it.
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

// serviceLoads shows the load of this entry on the status page.
type serviceLoads struct {
	status *ring.Latest[dispatch.Status]
}

// ServiceLoads implements operator.Loads.
func (s serviceLoads) ServiceLoads() map[fleet.ServiceID]operation.ServiceLoad {
	out := map[fleet.ServiceID]operation.ServiceLoad{}
	for _, one := range s.status.Get().Services {
		out[one.Service] = operation.ServiceLoad{
			Queued: map[fleet.Class]int{
				fleet.ClassUrgent: one.QueuedUrgent, fleet.ClassNormal: one.QueuedNormal, fleet.ClassLong: one.QueuedLong,
			},
			Running: int(one.Running), Ejected: one.Ejected, ShortWaitP99: one.ShortWaitP99,
		}
	}
	return out
}
