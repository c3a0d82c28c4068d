// Package balancer serves the health and readiness of the entry to the platform's load balancer.
package balancer

import (
	"fmt"
	"net/http"

	"github.com/mimosawharf/mimosawharf/internal/ring"
)

// Readiness is whether the balancer may send requests to this entry.
type Readiness struct {
	Ready bool
	// Reason is why the entry is not ready.
	Reason string
}

// Health serves the pages that the balancer and scrapers read.
type Health struct {
	// The fields are set before the first request.
	Readiness *ring.Latest[Readiness]
	// Stuck holds the names of the inboxes of stuck duties; it may be nil.
	Stuck *ring.Latest[[]ring.Name]
	// Causes returns what the entry lacks, one line for each cause; it may be nil.
	Causes func() []string
	// Metrics serves the metrics page; it may be nil.
	Metrics http.Handler
}

// Handler returns the HTTP handler of the pages /healthz, /readyz and /metrics.
func (h *Health) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", h.serveHealth)
	mux.HandleFunc("GET /readyz", h.serveReadiness)
	if h.Metrics != nil {
		mux.Handle("GET /metrics", h.Metrics)
	}
	return mux
}

func (h *Health) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if h.Stuck == nil || len(h.Stuck.Get()) == 0 {
		_, _ = fmt.Fprintln(w, "ok")
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	for _, name := range h.Stuck.Get() {
		_, _ = fmt.Fprintf(w, "stuck: %s takes nothing from its ring\n", name)
	}
}

func (h *Health) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	r := h.Readiness.Get()
	if r.Ready {
		_, _ = fmt.Fprintln(w, "ready")
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = fmt.Fprintln(w, "not ready: "+r.Reason)
	if h.Causes == nil {
		return
	}
	for _, cause := range h.Causes() {
		_, _ = fmt.Fprintln(w, cause)
	}
}
