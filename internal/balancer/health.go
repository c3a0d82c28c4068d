// Package balancer speaks to the platform's balancer: health and readiness of the entry.
package balancer

import (
	"io"
	"net/http"

	"github.com/mimosawharf/mimosawharf/internal/ring"
)

// Readiness is whether the balancer may send requests to this entry.
type Readiness struct {
	Ready bool
	// Reason says why the entry is not ready.
	Reason string
}

// Health serves the pages that the balancer reads.
type Health struct {
	// Readiness is set before the first request.
	Readiness *ring.Latest[Readiness]
}

// Handler returns the HTTP handler of the pages /healthz and /readyz.
func (h *Health) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		r := h.Readiness.Get()
		if !r.Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, "not ready: "+r.Reason+"\n")
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	return mux
}
