package holder

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// RelayRequest is a connection of a holder that this entry may relay for.
type RelayRequest struct {
	Session RelaySession
	Conn    RelayedConn
}

// RelayHost is the duty that starts the sessions of this entry as a relay.
type RelayHost struct {
	// The fields are set before Run.
	Inbox     *ring.Ring[RelayRequest]
	NewCaller func() EndpointCaller
	Duties    Starter
	Clock     clock.Clock
	Log       *zap.Logger
	// Stopping ends when the entry stops as planned: sessions then finish what they have taken.
	Stopping context.Context

	// open are the sessions that have not ended.
	open []context.Context
}

// Name implements duty.Duty.
func (*RelayHost) Name() fleet.DutyName { return "relays" }

// Run implements duty.Duty.
func (h *RelayHost) Run(ctx context.Context) error {
	for {
		r, err := h.Inbox.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		h.begin(ctx, r)
	}
}

func (h *RelayHost) begin(ctx context.Context, r RelayRequest) {
	var open []context.Context
	for _, session := range h.open {
		if session.Err() == nil {
			open = append(open, session)
		}
	}
	h.open = open
	if len(open) >= maxRelaySessions || h.Stopping.Err() != nil {
		h.Log.Warn("relay: session refused", zap.String("service", string(r.Session.Service)), zap.String("holder", string(r.Session.Holder)), zap.Int("sessions", len(open)))
		r.Conn.Close()
		return
	}
	session, cancel := context.WithCancel(ctx)
	h.open = append(h.open, session)
	h.Duties.Start(session, &relaySession{
		session: r.Session, conn: r.Conn, duties: h.Duties, newCaller: h.NewCaller, clock: h.Clock, log: h.Log, stopping: h.Stopping, cancel: cancel,
	})
}

// RelayRequests is the capacity of RelayHost.Inbox.
const RelayRequests = maxRelaySessions

// RelayDialTimeout bounds the opening of a connection to a relay. Orders wait for it.
const RelayDialTimeout = 300 * time.Millisecond
