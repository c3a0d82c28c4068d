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

// Heard says that an endpoint made a statement about itself.
type Heard struct {
	Endpoint fleet.EndpointID
}

// Prober is the duty that owns when each endpoint was last heard from. It probes the endpoints of its
// own zone; those of other zones are probed there, and their drains come from the peers.
type Prober struct {
	// The fields are set before Run.
	Zone     fleet.ZoneID
	Inbox    *ring.Ring[Heard]
	View     *ring.Latest[*fleet.View]
	Jobs     *ring.Ring[Job]
	Clock    clock.Clock
	Interval time.Duration

	heardAt map[fleet.EndpointID]time.Time
	askedAt map[fleet.EndpointID]time.Time
}

// Name implements duty.Duty.
func (*Prober) Name() fleet.DutyName { return "prober" }

// Run implements duty.Duty.
func (p *Prober) Run(ctx context.Context) error {
	p.heardAt, p.askedAt = map[fleet.EndpointID]time.Time{}, map[fleet.EndpointID]time.Time{}
	timer := p.Clock.NewTimer(p.Interval)
	defer timer.Stop()
	for {
		heard, ok, err := p.Inbox.PopUntil(ctx, timer.Chan())
		if err != nil {
			return trace.Wrap(err)
		}
		now := p.Clock.Now()
		if ok {
			p.heardAt[heard.Endpoint] = now
			continue
		}
		p.probe(now)
		timer.Reset(p.Interval / 2)
	}
}

// probe asks the endpoints that were silent for the interval. An endpoint whose probe finds no room is
// asked the next time.
func (p *Prober) probe(now time.Time) {
	view := p.View.Get()
	if view == nil {
		return
	}
	for _, vm := range view.VMs {
		id := vm.Endpoint()
		if vm.Zone != p.Zone || vm.State != fleet.VMStateServing && vm.State != fleet.VMStateDraining {
			delete(p.heardAt, id)
			delete(p.askedAt, id)
			continue
		}
		if now.Sub(p.heardAt[id]) < p.Interval || now.Sub(p.askedAt[id]) < p.Interval {
			continue
		}
		target := routing.Target{Endpoint: id, VM: vm.ID, Address: vm.Address, Pool: vm.Pool, AssignmentEpoch: vm.AssignmentEpoch}
		if p.Jobs.Push(Job{Probe: &target}) == nil {
			p.askedAt[id] = now
		}
	}
}
