package control

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// VMLister reads the platform's list of VMs.
type VMLister interface {
	ListVMs(ctx context.Context) (fleet.VMList, error)
}

// VMListReader is the duty that reads the platform's list of VMs for the poller.
type VMListReader struct {
	// The fields are set before Run.
	Platform VMLister
	Poller   *ring.Ring[PollerEvent]
	Clock    clock.Clock
	Log      *zap.Logger
	Interval time.Duration

	failing bool
}

// Name implements duty.Duty.
func (*VMListReader) Name() fleet.DutyName { return "vm-list" }

// Run implements duty.Duty.
func (r *VMListReader) Run(ctx context.Context) error {
	for {
		r.read(ctx)
		if err := clock.Wait(ctx, r.Clock, r.Interval); err != nil {
			return trace.Wrap(err)
		}
	}
}

func (r *VMListReader) read(ctx context.Context) {
	list, err := r.Platform.ListVMs(ctx)
	if err != nil {
		if !r.failing {
			r.Log.Warn("vm-list: platform does not answer", zap.Error(err))
		}
		r.failing = true
		return
	}
	r.failing = false
	if err := r.Poller.Push(PollerEvent{List: &list}); err != nil {
		r.Log.Warn("vm-list: list was dropped", zap.Error(err))
	}
}
