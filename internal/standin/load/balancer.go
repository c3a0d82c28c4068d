package load

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Interval and timeout of the readiness checks of the platform's load balancer.
const (
	readinessInterval = 500 * time.Millisecond
	readinessTimeout  = 300 * time.Millisecond
)

// balancer is the duty that simulates the platform's load balancer: it checks which entries are ready, and so
// knows it with a lag.
type balancer struct {
	entries []Entry
	clock   clock.Clock
	ready   ring.Latest[[]Entry]
}

// Name implements duty.Duty.
func (*balancer) Name() fleet.DutyName { return "load-balancer" }

// Run implements duty.Duty.
func (b *balancer) Run(ctx context.Context) error {
	for {
		if err := clock.Wait(ctx, b.clock, readinessInterval); err != nil {
			return trace.Wrap(err)
		}
		b.checkReadiness(ctx)
	}
}

// checkReadiness asks each entry whether it is ready. It is also called once before Run, so that the first
// requests find the ready entries.
func (b *balancer) checkReadiness(ctx context.Context) {
	client := &http.Client{Timeout: readinessTimeout}
	var ready []Entry
	for _, e := range b.entries {
		if isReady(ctx, client, e) {
			ready = append(ready, e)
		}
	}
	b.ready.Set(ready)
}

func isReady(ctx context.Context, client *http.Client, e Entry) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(e.Health)+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
