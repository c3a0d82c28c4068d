// Package metrics publishes the metrics of an entry in the text format of Prometheus.
package metrics

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// reportInterval is how often values reach the page.
const reportInterval = time.Second

// prefix starts the name of each metric.
const prefix = "mimosawharf"

// Registry collects the metrics of one entry.
type Registry struct {
	// Scope is where parts put their metrics. It is safe for concurrent use.
	Scope tally.Scope
	// Page is the HTTP handler of the metrics page.
	Page http.Handler

	closer io.Closer
}

// New returns a registry. Its owner calls Close.
func New() *Registry {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         prefix,
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// Names with dots are not valid in the text format.
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Registry{Scope: scope, Page: reporter.HTTPHandler(), closer: closer}
}

// Close ends the reports.
func (r *Registry) Close() error { return trace.Wrap(r.closer.Close()) }

// Gauge is a value that is read from time to time. Read is safe for concurrent use.
type Gauge struct {
	Name string
	Tags map[string]string
	Read func() float64
}

// Sampler is the duty that reads the gauges.
type Sampler struct {
	// The fields are set before Run.
	Scope    tally.Scope
	Gauges   []Gauge
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
		if err := clock.Wait(ctx, s.Clock, s.Interval); err != nil {
			return trace.Wrap(err)
		}
	}
}
