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

// sampleInterval is how often values are read for the metrics page.
const sampleInterval = time.Second

// stuckAfter is how long a duty that never waits for outside systems may leave its inbox alone. The
// longest pauses of a runtime are far shorter.
const stuckAfter = 30 * time.Second

// meter is what every ring tells of itself.
type meter interface {
	Name() ring.Name
	Depth() int
	Capacity() int
	Popped() uint64
	Refused() uint64
}

// observability holds what the parts of the daemon tell of themselves.
type observability struct {
	registry *metrics.Registry
	stuck    ring.Latest[[]ring.Name]
}

func (d *Daemon) rings() []meter {
	return []meter{d.events, d.jobs, d.polls, d.operations, d.heard, d.hub, d.writes, d.reads}
}

// observe returns the duties that publish metrics and watch other duties.
func (d *Daemon) observe() []duty.Duty {
	scope := d.observability.registry.Scope
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
		&metrics.Fleet{Scope: scope, View: &d.view, Clock: d.Clock, Interval: sampleInterval, OwnsCounters: d.countsFleet},
		&balancer.Watch{
			Inboxes: []balancer.Inbox{d.events, d.hub, d.heard}, Stuck: &d.observability.stuck, Clock: d.Clock, Patience: stuckAfter,
		},
	}
}

// countsFleet reports whether this entry counts what happens in the fleet.
func (d *Daemon) countsFleet() bool {
	_, ok := d.held.Get()[fleet.DutyFleetDriver]
	return ok
}

func (d *Daemon) dispatchObserver() dispatch.Observer {
	return metrics.NewDispatch(d.observability.registry.Scope)
}

func (d *Daemon) outcomes() metrics.Outcomes {
	return metrics.Outcomes{Scope: d.observability.registry.Scope}
}

// health returns the pages for the balancer and for scrapers.
func (d *Daemon) health() *balancer.Health {
	return &balancer.Health{
		Readiness: &d.readiness, Stuck: &d.observability.stuck, Causes: d.causes, Metrics: d.observability.registry.Page,
	}
}

// causes returns what the entry lacks, for the page of readiness.
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
