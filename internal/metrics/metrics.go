// Package metrics publishes the metrics of an entry in the text format of Prometheus.
package metrics

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// reportInterval is how often values are reported to the page.
const reportInterval = time.Second

// prefix is the prefix of each metric's name.
const prefix = "mimosawharf"

// Registry collects the metrics of one entry.
type Registry struct {
	// Scope creates metrics. It is safe for concurrent use.
	Scope tally.Scope
	// Page is the HTTP handler of the metrics page.
	Page http.Handler

	closer io.Closer
}

// New returns a registry. Its owner calls Close.
func New() *Registry {
	// The global registry is not used, because several entries may run in one process.
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        sanitize(),
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Registry{Scope: scope, Page: reporter.HTTPHandler(), closer: closer}
}

// sanitize returns the characters that the text format allows. Label values, unlike names, may contain
// the dots and dashes of identifiers.
func sanitize() *tally.SanitizeOptions {
	o := prometheus.DefaultSanitizerOpts
	o.ValueCharacters.Characters = tally.UnderscoreDashDotCharacters
	return &o
}

// Close reports the last values and stops reporting.
func (r *Registry) Close() error { return trace.Wrap(r.closer.Close()) }

// Gauge is a value that is sampled periodically. Read is safe for concurrent use.
type Gauge struct {
	Name string
	Tags map[string]string
	Read func() float64
}

// Counter is a monotonic count that is sampled periodically. Read is safe for concurrent use.
type Counter struct {
	Name string
	Tags map[string]string
	Read func() uint64

	last uint64
}

// Sampler is the duty that samples the gauges and the counters.
type Sampler struct {
	// The fields are set before Run.
	Scope    tally.Scope
	Gauges   []Gauge
	Counters []*Counter
	Clock    clock.Clock
	Interval time.Duration
}

// Name implements duty.Duty.
func (*Sampler) Name() fleet.DutyName { return "metrics" }

// Run implements duty.Duty.
func (s *Sampler) Run(ctx context.Context) error {
	for {
		for _, g := range s.Gauges {
			s.Scope.Tagged(g.Tags).Gauge(g.Name).Update(g.Read())
		}
		for _, c := range s.Counters {
			value := c.Read()
			s.Scope.Tagged(c.Tags).Counter(c.Name).Inc(int64(value - c.last))
			c.last = value
		}
		if err := clock.Wait(ctx, s.Clock, s.Interval); err != nil {
			return trace.Wrap(err)
		}
	}
}
