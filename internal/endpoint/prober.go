package endpoint

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/routing"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Seen reports that an endpoint has reported its load.
type Seen struct {
	Endpoint fleet.EndpointID
}

// Prober is the duty that tracks when each endpoint last reported its load, and probes the silent ones. It
// probes the endpoints of its own zone only; those of other zones are probed there, and peers report which
// of them are leaving.
type Prober struct {
	// The fields are set before Run.
	Zone      fleet.ZoneID
	Inbox     *ring.Ring[Seen]
	View      *ring.Latest[*fleet.View]
	WorkItems *ring.Ring[WorkItem]
	Clock     clock.Clock
	Interval  time.Duration

	lastSeen  map[fleet.EndpointID]time.Time
	lastProbe map[fleet.EndpointID]time.Time
}

// Name implements duty.Duty.
func (*Prober) Name() fleet.DutyName { return "prober" }

// Run implements duty.Duty.
func (p *Prober) Run(ctx context.Context) error {
	p.lastSeen, p.lastProbe = map[fleet.EndpointID]time.Time{}, map[fleet.EndpointID]time.Time{}
	timer := p.Clock.NewTimer(p.Interval)
	defer timer.Stop()
	for {
		seen, ok, err := p.Inbox.PopUntil(ctx, timer.Chan())
		if err != nil {
			return trace.Wrap(err)
		}
		now := p.Clock.Now()
		if ok {
			p.lastSeen[seen.Endpoint] = now
			continue
		}
		p.probe(now)
		timer.Reset(p.Interval / 2)
	}
}

// probe probes the endpoints that have been silent for the interval. If the ring of work items is full, an
// endpoint is probed the next time.
func (p *Prober) probe(now time.Time) {
	view := p.View.Get()
	if view == nil {
		return
	}
	for _, vm := range view.VMs {
		id := vm.Endpoint()
		if vm.Zone != p.Zone || vm.State != fleet.VMStateServing && vm.State != fleet.VMStateDraining {
			delete(p.lastSeen, id)
			delete(p.lastProbe, id)
			continue
		}
		if now.Sub(p.lastSeen[id]) < p.Interval || now.Sub(p.lastProbe[id]) < p.Interval {
			continue
		}
		target := routing.Target{Endpoint: id, VM: vm.ID, Address: vm.Address, Pool: vm.Pool, AssignmentEpoch: vm.AssignmentEpoch}
		if p.WorkItems.Push(WorkItem{Probe: &target}) == nil {
			p.lastProbe[id] = now
		}
	}
}
