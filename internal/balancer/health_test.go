package balancer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/balancer"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/ring"
)

func page(h *balancer.Health, path string) (int, string) {
	w := httptest.NewRecorder()
	h.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w.Code, w.Body.String()
}

// Guards against an entry that is not ready without saying why.
func TestReadinessSaysWhy(t *testing.T) {
	is := is.New(t)
	h := &balancer.Health{Readiness: &ring.Latest[balancer.Readiness]{}, Causes: func() []string { return []string{"the table was not read yet"} }}
	h.Readiness.Set(balancer.Readiness{Reason: "no configuration yet"})
	code, body := page(h, "/readyz")
	is.Equal(code, http.StatusServiceUnavailable)
	is.Equal(body, "not ready: no configuration yet\nthe table was not read yet\n")
	h.Readiness.Set(balancer.Readiness{Ready: true})
	code, body = page(h, "/readyz")
	is.Equal(code, http.StatusOK)
	is.Equal(body, "ready\n")
}

// Guards against a stuck duty that counts as healthy, and an idle or a busy one that counts as stuck.
func TestHealthTellsStuckFromRunning(t *testing.T) {
	const timeout = 10 * time.Second
	for name, c := range map[string]struct {
		waiting int
		pops    bool
		want    int
	}{
		"stuck":       {1, false, http.StatusServiceUnavailable},
		"idle":        {0, false, http.StatusOK},
		"under load":  {30, true, http.StatusOK},
		"works again": {1, true, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fake, inbox := clockwork.NewFakeClock(), ring.New[int]("dispatcher", 32)
			for range c.waiting {
				is.NoErr(inbox.Push(1))
			}
			w := &balancer.Watchdog{Inboxes: []balancer.Inbox{inbox}, Stuck: &ring.Latest[[]ring.Name]{}, Clock: fake, Timeout: timeout}
			group, ctx := duty.NewGroup(context.Background())
			defer group.Stop()
			group.Start(ctx, w)
			for range 12 {
				is.NoErr(fake.BlockUntilContext(ctx, 1))
				if c.pops {
					inbox.TryPop()
				}
				fake.Advance(timeout / 10)
			}
			is.NoErr(fake.BlockUntilContext(ctx, 1))
			code, _ := page(&balancer.Health{Stuck: w.Stuck}, "/healthz")
			is.Equal(code, c.want)
		})
	}
}
