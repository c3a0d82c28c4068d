package metrics_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/metrics"
)

// Guards against metrics that scrapers cannot parse, and against a sampler that does not stop.
func TestPageShowsSampledGauges(t *testing.T) {
	is := is.New(t)
	r := metrics.New()
	s := &metrics.Sampler{
		Scope: r.Scope, Clock: clockwork.NewFakeClock(), Interval: time.Second,
		Gauges: []metrics.Gauge{{Name: "ring_depth", Tags: map[string]string{"ring": "dispatcher"}, Read: func() float64 { return 7 }}},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	cancel()
	is.True(<-done != nil)
	is.NoErr(r.Close()) // reports what is pending
	w := httptest.NewRecorder()
	r.Page.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	is.True(strings.Contains(w.Body.String(), `mimosawharf_ring_depth{ring="dispatcher"} 7`))
}
