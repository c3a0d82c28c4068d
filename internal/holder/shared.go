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

	// notified is set when the last change already told the scheduler that the table was read.
	notified bool
}

// Replace implements RowSink.
func (s *SharedSink) Replace(rows []rowstore.Row) { s.send(rows, true) }

// Change implements RowSink.
func (s *SharedSink) Change(rows []rowstore.Row) { s.send(rows, false) }

// Current implements RowSink.
func (s *SharedSink) Current() {
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
			c.Forgotten = append(c.Forgotten, fleet.JobID(key[len(keyJob):]))
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
	case row.Part == SharedFirstPart && row.Deleted:
		c.GoneNodes = append(c.GoneNodes, fleet.EntryID(key))
	case row.Part == SharedFirstPart:
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
		Address: fleet.Address(m.GetAddress()), Beats: m.GetBeats(), Stopping: m.GetStopping(),
		Millicores: fleet.Millicores(m.GetMillicores()),
	}
}

// Beat is the duty that renews this entry's own row.
type Beat struct {
	// The fields are set before Run.
	Self  Identity
	Store Store
	Clock clock.Clock
	Log   *zap.Logger
	// Stopping, once it has ended, marks the entry as one that takes no leases.
	Stopping context.Context

	beats  uint64
	failed bool
}

// heartbeatInterval is the time between renewals of the row. The rows serve only to spread the duties over
// the entries; whether a holder is alive shows from the renewals of its leases.
const heartbeatInterval = 900 * time.Millisecond

// Name implements duty.Duty.
func (*Beat) Name() fleet.DutyName { return "beat" }

// Run implements duty.Duty.
func (b *Beat) Run(ctx context.Context) error {
	for b.Stopping.Err() == nil {
		b.write(ctx, false)
		// An interruption by a stop is not an error.
		_ = clock.Wait(b.Stopping, b.Clock, heartbeatInterval)
	}
	for {
		b.write(ctx, true)
		if err := clock.Wait(ctx, b.Clock, heartbeatInterval); err != nil {
			return trace.Wrap(err)
		}
	}
}

func (b *Beat) write(ctx context.Context, stopping bool) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	b.beats++
	row := mustRow(SharedTable, SharedFirstPart, rowstore.Key(b.Self.Entry), &jobv1.Node{
		Entry: string(b.Self.Entry), Incarnation: string(b.Self.Incarnation), Zone: string(b.Self.Zone),
		Address: string(b.Self.Address), Beats: b.beats, Stopping: stopping, Millicores: uint64(b.Self.Millicores),
	})
	_, err := b.Store.Transact(ctx, rowstore.Transaction{Puts: []rowstore.Row{row}})
	switch {
	case err != nil && !b.failed:
		b.Log.Warn("beat: own row cannot be written", zap.Error(trace.Unwrap(err)))
	case err == nil && b.failed:
		b.Log.Info("beat: own row is written again")
	}
	b.failed = err != nil
}
