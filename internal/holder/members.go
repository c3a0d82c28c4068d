package holder

import (
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// MembersSink decodes leases and entries for the scheduler.
type MembersSink struct {
	// The fields are set before Run.
	Scheduler *ring.Ring[Event]
	Log       *zap.Logger

	// notified is set when a change since the last Synced has already notified the scheduler of the read.
	notified bool
}

// Replace implements follow.Sink.
func (s *MembersSink) Replace(rows []rowstore.Row) { s.Change(rows) }

// Change implements follow.Sink.
func (s *MembersSink) Change(rows []rowstore.Row) {
	c := &MembersChange{}
	for _, row := range rows {
		s.add(c, row)
	}
	s.push(c)
	s.notified = true
}

// Synced implements follow.Sink.
func (s *MembersSink) Synced(time.Time) {
	if !s.notified {
		s.push(&MembersChange{})
	}
	s.notified = false
}

func (s *MembersSink) push(c *MembersChange) {
	if err := s.Scheduler.PushReserved(Event{Members: c}); err != nil {
		s.Log.Error("follower: change of leases and entries dropped", zap.Error(trace.Unwrap(err)))
	}
}

// add decodes one row. A row that cannot be read, or that is not that of its key, is logged and skipped.
func (s *MembersSink) add(c *MembersChange, row rowstore.Row) {
	var err error
	valid := true
	switch {
	case row.Key == keyLease:
		m := &jobv1.Lease{}
		if row.Deleted {
			return
		}
		if err = proto.Unmarshal(row.Value, m); err == nil {
			if valid = row.Part == dutyPart(fleet.DutyName(m.GetDuty())); valid {
				c.Leases = append(c.Leases, lease(m))
			}
		}
	case row.Part == NodesPart && row.Deleted:
		c.RemovedNodes = append(c.RemovedNodes, fleet.EntryID(row.Key))
	case row.Part == NodesPart:
		m := &jobv1.Node{}
		if err = proto.Unmarshal(row.Value, m); err == nil {
			if valid = string(row.Key) == m.GetEntry(); valid {
				c.Nodes = append(c.Nodes, node(m))
			}
		}
	}
	if err != nil || !valid {
		s.Log.Error("follower: row cannot be decoded, skipped", zap.String("part", string(row.Part)), zap.String("key", string(row.Key)), zap.Error(err))
	}
}

func lease(m *jobv1.Lease) election.Lease {
	moved := map[fleet.QueueID]int{}
	for _, w := range m.GetMoved() {
		moved[fleet.QueueID(w.GetQueue())] = int(w.GetJobs())
	}
	return election.Lease{
		Moved: moved,
		Duty:  fleet.DutyName(m.GetDuty()), Entry: fleet.EntryID(m.GetEntry()), Incarnation: fleet.Incarnation(m.GetIncarnation()),
		Address: fleet.Address(m.GetAddress()), Epoch: fleet.FencingToken(m.GetEpoch()), Renewals: m.GetRenewals(), Released: m.GetReleased(), Settled: m.GetSettled(), Full: m.GetFull(),
	}
}

func node(m *jobv1.Node) election.Node {
	return election.Node{
		Entry: fleet.EntryID(m.GetEntry()), Incarnation: fleet.Incarnation(m.GetIncarnation()), Zone: fleet.ZoneID(m.GetZone()),
		Address: fleet.Address(m.GetAddress()), Heartbeats: m.GetBeats(), Stopping: m.GetStopping(),
		Millicores: fleet.Millicores(m.GetMillicores()),
	}
}

// serviceOf returns the service of a duty, and false for a duty that runs no jobs.
func serviceOf(d fleet.DutyName) (fleet.ServiceID, bool) {
	s, ok := strings.CutPrefix(string(d), string(ServiceDuty("")))
	return fleet.ServiceID(s), ok
}

func (s *Scheduler) applyMembers(now time.Time, c *MembersChange) {
	if !s.membersReadAt.IsZero() && now.Sub(s.membersReadAt) >= s.readGap() {
		// While the table could not be read, missing renewals say nothing about other entries.
		s.election.ExcludeOutage(now.Sub(s.membersReadAt))
	}
	s.membersReadAt = now
	for _, l := range c.Leases {
		s.forgetUnseen(l)
		s.election.SetLease(now, l)
		if service, ok := serviceOf(l.Duty); ok {
			s.record(service)
		}
	}
	for _, n := range c.Nodes {
		s.election.SetNode(now, n)
	}
	for _, id := range c.RemovedNodes {
		delete(s.election.Nodes, id)
	}
}

// readGap is the time between two reads of leases and entries from which on the store counts as unreadable.
func (s *Scheduler) readGap() time.Duration {
	return MembersInterval(s.Status.Get()) + maxReadDelay
}
