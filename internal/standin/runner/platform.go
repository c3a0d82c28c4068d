package runner

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/jobentry"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/internal/standin/rows"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Platform stands in for a platform: a store, endpoints of one service, and a configuration. It implements
// jobentry.Platform for any number of entries.
type Platform struct {
	// The fields are set before the first entry runs.
	Rows      *rows.Store
	Endpoints []*Endpoint
	Capacity  fleet.Capacity
	Config    *holder.Config
	Clock     clock.Clock
}

// Store implements jobentry.Platform.
func (p *Platform) Store() holder.Store { return p.Rows }

// VMs implements jobentry.Platform.
func (*Platform) VMs() holder.VMPlatform { return nil }

// Advice implements jobentry.Platform.
func (*Platform) Advice() holder.AdviceService { return nil }

// Servers implements jobentry.Platform: callers use the product's own interface.
func (*Platform) Servers(jobentry.Feeds) []jobentry.Server { return nil }

// NewCaller implements jobentry.Platform.
func (p *Platform) NewCaller() holder.EndpointCaller { return &caller{platform: p} }

// Operator implements jobentry.Platform.
func (p *Platform) Operator(f jobentry.Feeds) duty.Duty {
	return &operator{platform: p, feeds: f}
}

// Registry implements jobentry.Platform.
func (p *Platform) Registry(f jobentry.Feeds) duty.Duty {
	return &registry{platform: p, feeds: f}
}

type caller struct{ platform *Platform }

// Execute implements holder.EndpointCaller.
func (c *caller) Execute(ctx context.Context, o shard.Order) shard.Result {
	for _, e := range c.platform.Endpoints {
		if fleet.Address(e.Process.Endpoint) == o.Address {
			return e.Execute(ctx, o)
		}
	}
	return shard.Result{Order: o, Answer: shard.AnswerUnsent, SentAt: c.platform.Clock.Now()}
}

// Close implements holder.EndpointCaller.
func (*caller) Close() {}

// operator is the duty that sends the configuration to an entry.
type operator struct {
	platform *Platform
	feeds    jobentry.Feeds
}

// Name implements duty.Duty.
func (*operator) Name() fleet.DutyName { return "operator" }

// Run implements duty.Duty.
func (o *operator) Run(ctx context.Context) error {
	o.feeds.Config.Set(o.platform.Config)
	if err := o.feeds.Scheduler.PushReserved(holder.Event{Config: o.platform.Config}); err != nil {
		return trace.Wrap(err)
	}
	<-ctx.Done()
	return trace.Wrap(ctx.Err())
}

// registry is the duty that sends the endpoints to an entry.
type registry struct {
	platform *Platform
	feeds    jobentry.Feeds
}

// registryInterval is the time between two lists of the endpoints.
const registryInterval = 200 * time.Millisecond

// Name implements duty.Duty.
func (*registry) Name() fleet.DutyName { return "registry" }

// Run implements duty.Duty.
func (a *registry) Run(ctx context.Context) error {
	for {
		list := &holder.EndpointList{All: true}
		for _, e := range a.platform.Endpoints {
			list.Endpoints = append(list.Endpoints, shard.EndpointInfo{
				Endpoint: e.Process.Endpoint, Service: a.platform.Config.Services[0].ID, Address: fleet.Address(e.Process.Endpoint),
				Capacity: a.platform.Capacity, StartMillis: e.Process.StartMillis,
			})
		}
		if err := a.feeds.Scheduler.PushReserved(holder.Event{Endpoints: list}); err != nil {
			return trace.Wrap(err)
		}
		if err := clock.Wait(ctx, a.platform.Clock, registryInterval); err != nil {
			return trace.Wrap(err)
		}
	}
}
