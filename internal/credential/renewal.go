package credential

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Loader loads the material.
type Loader interface {
	Load() (*Material, error)
}

// Renewal is the duty that reloads the material and publishes it. If the material cannot be loaded, it
// logs the first failure and keeps the last good material.
type Renewal struct {
	// The fields are set before Run.
	Loader   Loader
	Source   *Source
	Clock    clock.Clock
	Log      *zap.Logger
	Interval time.Duration

	failing bool
}

// Name implements duty.Duty.
func (*Renewal) Name() fleet.DutyName { return "credential-renewal" }

// Run implements duty.Duty.
func (r *Renewal) Run(ctx context.Context) error {
	for {
		if err := clock.Wait(ctx, r.Clock, r.Interval); err != nil {
			return trace.Wrap(err)
		}
		r.renew()
	}
}

func (r *Renewal) renew() {
	m, err := r.Loader.Load()
	if err != nil {
		if !r.failing {
			r.Log.Error("credential: files cannot be loaded, keeping the last good ones", zap.Error(err))
		}
		r.failing = true
		return
	}
	r.failing = false
	r.Source.Material.Set(m)
}
