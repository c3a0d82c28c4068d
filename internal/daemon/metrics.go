package daemon

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/balancer"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/metrics"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// sampleInterval is how often gauges and counters are sampled.
const sampleInterval = time.Second

// stuckTimeout is how long a duty that never waits for external systems may leave a non-empty inbox
// untouched. The longest pauses of the Go runtime are far shorter.
const stuckTimeout = 30 * time.Second

// ringStats returns the measures that every ring publishes.
type ringStats interface {
	Name() ring.Name
	Depth() int
	Capacity() int
	Popped() uint64
	Refused() uint64
}

// monitoring holds the metrics of the daemon and the inboxes of stuck duties.
type monitoring struct {
	registry *metrics.Registry
	stuck    ring.Latest[[]ring.Name]
}

func (d *Daemon) rings() []ringStats {
	return []ringStats{d.events, d.workItems, d.polls, d.operations, d.seen, d.hub, d.writes, d.reads}
}

// observe returns the duties that publish metrics and detect stuck duties.
func (d *Daemon) observe() []duty.Duty {
	scope := d.monitoring.registry.Scope
	sampler := &metrics.Sampler{Scope: scope, Clock: d.Clock, Interval: sampleInterval}
	for _, r := range d.rings() {
		tags := map[string]string{"ring": string(r.Name())}
		sampler.Gauges = append(sampler.Gauges,
			metrics.Gauge{Name: "ring_depth", Tags: tags, Read: func() float64 { return float64(r.Depth()) }},
			metrics.Gauge{Name: "ring_capacity", Tags: tags, Read: func() float64 { return float64(r.Capacity()) }})
		sampler.Counters = append(sampler.Counters, &metrics.Counter{Name: "ring_refusals", Tags: tags, Read: r.Refused})
	}
	sampler.Gauges = append(sampler.Gauges,
		metrics.Gauge{Name: "requests_in_flight", Read: func() float64 { return float64(d.status.Get().InFlight) }})
	return []duty.Duty{
		sampler,
		&metrics.Fleet{Scope: scope, View: &d.view, Clock: d.Clock, Interval: sampleInterval, OwnsCounters: d.ownsFleetCounters},
		&balancer.Watchdog{
			Inboxes: []balancer.Inbox{d.events, d.hub, d.seen}, Stuck: &d.monitoring.stuck, Clock: d.Clock, Timeout: stuckTimeout,
		},
	}
}

// ownsFleetCounters reports whether this entry counts the events of the fleet.
func (d *Daemon) ownsFleetCounters() bool {
	_, ok := d.held.Get()[fleet.DutyFleetDriver]
	return ok
}

func (d *Daemon) dispatchObserver() dispatch.Observer {
	return metrics.NewDispatch(d.monitoring.registry.Scope)
}

func (d *Daemon) outcomes() metrics.Outcomes {
	return metrics.Outcomes{Scope: d.monitoring.registry.Scope}
}

// health returns the health, readiness and metrics pages.
func (d *Daemon) health() *balancer.Health {
	return &balancer.Health{
		Readiness: &d.readiness, Stuck: &d.monitoring.stuck, Causes: d.causes, Metrics: d.monitoring.registry.Page,
	}
}

// causes returns why the entry is not ready, for the readiness page.
func (d *Daemon) causes() []string {
	var list []string
	view := d.view.Get()
	if view == nil || view.RefreshedAt.IsZero() {
		list = append(list, "the table was not read yet: check --platform-address and the platform")
	}
	if view == nil || view.ListReadAt.IsZero() {
		list = append(list, "the list of VMs was not read yet")
	}
	if view == nil || view.Configuration.Revision == 0 {
		list = append(list, "neither the table nor a peer gave a configuration")
	}
	if d.status.Get().Stopping {
		list = append(list, "requests in flight finish before the entry ends")
	}
	return list
}
