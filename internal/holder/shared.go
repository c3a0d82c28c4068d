package holder

import (
	"context"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// SharedSink decodes the rows of the shared table for the scheduler.
type SharedSink struct {
	// The fields are set before Run.
	Scheduler *ring.Ring[Event]
	Log       *zap.Logger

	// notified is set when a change since the last Synced has already notified the scheduler of the read.
	notified bool
}

// Replace implements RowSink.
func (s *SharedSink) Replace(rows []rowstore.Row) { s.send(rows, true) }

// Change implements RowSink.
func (s *SharedSink) Change(rows []rowstore.Row) { s.send(rows, false) }

// Synced implements RowSink.
func (s *SharedSink) Synced() {
	if !s.notified {
		s.push(&SharedChange{})
	}
	s.notified = false
}

func (s *SharedSink) send(rows []rowstore.Row, all bool) {
	c := &SharedChange{All: all}
	for _, row := range rows {
		s.add(c, row)
	}
	s.push(c)
	s.notified = true
}

func (s *SharedSink) push(c *SharedChange) {
	if err := s.Scheduler.PushReserved(Event{Shared: c}); err != nil {
		s.Log.Error("follower: change of the shared table dropped", zap.Error(trace.Unwrap(err)))
	}
}

// add decodes one row. A row that cannot be read is logged and skipped.
func (s *SharedSink) add(c *SharedChange, row rowstore.Row) {
	key := string(row.Key)
	var err error
	switch {
	case strings.HasPrefix(key, keyJob):
		if row.Deleted {
			c.RemovedJobs = append(c.RemovedJobs, fleet.JobID(key[len(keyJob):]))
			return
		}
		m := &jobv1.Job{}
		if err = proto.Unmarshal(row.Value, m); err == nil {
			c.Jobs = append(c.Jobs, wire.FromJob(m))
		}
	case strings.HasPrefix(key, keyCancel):
		if !row.Deleted {
			c.Cancelled = append(c.Cancelled, fleet.JobID(key[len(keyCancel):]))
		}
	case row.Key == keyLease:
		m := &jobv1.Lease{}
		if err = proto.Unmarshal(row.Value, m); err == nil && !row.Deleted {
			c.Leases = append(c.Leases, lease(m))
		}
	case row.Part == NodesPart && row.Deleted:
		c.RemovedNodes = append(c.RemovedNodes, fleet.EntryID(key))
	case row.Part == NodesPart:
		m := &jobv1.Node{}
		if err = proto.Unmarshal(row.Value, m); err == nil {
			c.Nodes = append(c.Nodes, node(m))
		}
	}
	if err != nil {
		s.Log.Error("follower: row cannot be decoded, skipped", zap.String("key", key), zap.Error(err))
	}
}

func lease(m *jobv1.Lease) election.Lease {
	return election.Lease{
		Duty: fleet.DutyName(m.GetDuty()), Entry: fleet.EntryID(m.GetEntry()), Incarnation: fleet.Incarnation(m.GetIncarnation()),
		Address: fleet.Address(m.GetAddress()), Epoch: fleet.FencingToken(m.GetEpoch()), Renewals: m.GetRenewals(), Released: m.GetReleased(), Settled: m.GetSettled(),
	}
}

func node(m *jobv1.Node) election.Node {
	return election.Node{
		Entry: fleet.EntryID(m.GetEntry()), Incarnation: fleet.Incarnation(m.GetIncarnation()), Zone: fleet.ZoneID(m.GetZone()),
		Address: fleet.Address(m.GetAddress()), Heartbeats: m.GetBeats(), Stopping: m.GetStopping(),
		Millicores: fleet.Millicores(m.GetMillicores()),
	}
}

// Heartbeat is the duty that renews this entry's own row.
type Heartbeat struct {
	// The fields are set before Run.
	Self  Identity
	Store Store
	Clock clock.Clock
	Log   *zap.Logger
	// Stopping, once it has ended, marks the entry as one that claims no leases.
	Stopping context.Context

	heartbeats uint64
	failed     bool
}

// heartbeatInterval is the time between renewals of the row. The rows serve only to spread the duties over
// the entries; whether a holder is alive shows from the renewals of its leases.
const heartbeatInterval = 900 * time.Millisecond

// Name implements duty.Duty.
func (*Heartbeat) Name() fleet.DutyName { return "beat" }

// Run implements duty.Duty.
func (h *Heartbeat) Run(ctx context.Context) error {
	for h.Stopping.Err() == nil {
		h.write(ctx, false)
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
	row := mustRow(SharedTable, NodesPart, rowstore.Key(h.Self.Entry), &jobv1.Node{
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
	h.failed = err != nil
}
