package holder

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Heartbeat is the duty that writes this entry's own row: when it starts and when it stops, and again and again
// while the entry is a candidate for leases.
type Heartbeat struct {
	// The fields are set before Run.
	Self  Identity
	Store Store
	// Status says whether the entry is a candidate.
	Status *ring.Latest[Status]
	Clock  clock.Clock
	Log    *zap.Logger
	// Stopping, once it has ended, marks the entry as one that claims no leases.
	Stopping context.Context

	heartbeats uint64
	// written is set once the row is stored.
	written bool
	failed  bool
}

// heartbeatInterval is the time between renewals of the row. The rows serve only to spread the duties over
// the entries; whether a holder is alive shows from the renewals of its leases.
const heartbeatInterval = 900 * time.Millisecond

// Name implements duty.Duty.
func (*Heartbeat) Name() fleet.DutyName { return "beat" }

// Run implements duty.Duty.
func (h *Heartbeat) Run(ctx context.Context) error {
	for h.Stopping.Err() == nil {
		if !h.written || h.Status.Get().Candidate {
			h.write(ctx, false)
		}
		// An interruption by a stop is not an error.
		_ = clock.Wait(h.Stopping, h.Clock, heartbeatInterval)
	}
	for {
		h.write(ctx, true)
		if err := clock.Wait(ctx, h.Clock, heartbeatInterval); err != nil {
			return trace.Wrap(err)
		}
	}
}

func (h *Heartbeat) write(ctx context.Context, stopping bool) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	h.heartbeats++
	row := mustRow(MembersTable, NodesPart, rowstore.Key(h.Self.Entry), &jobv1.Node{
		Entry: string(h.Self.Entry), Incarnation: string(h.Self.Incarnation), Zone: string(h.Self.Zone),
		Address: string(h.Self.Address), Beats: h.heartbeats, Stopping: stopping, Millicores: uint64(h.Self.Millicores),
	})
	_, err := h.Store.Transact(ctx, rowstore.Transaction{Puts: []rowstore.Row{row}})
	switch {
	case err != nil && !h.failed:
		h.Log.Warn("beat: own row cannot be written", zap.Error(trace.Unwrap(err)))
	case err == nil && h.failed:
		h.Log.Info("beat: own row is written again")
	}
	h.written = h.written || err == nil
	h.failed = err != nil
}
