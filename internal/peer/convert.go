package peer

import (
	"cmp"
	"math"
	"slices"

	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	peerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/peer/v1"
	platformv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/platform/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

func fromHello(m *peerv1.Hello) helloReceived {
	return helloReceived{
		entry: fleet.EntryID(m.GetEntry()), incarnation: fleet.Incarnation(m.GetIncarnation()), zone: fleet.ZoneID(m.GetZone()),
		adopted: m.GetTookOver(),
	}
}

func toReport(view *fleet.View, s dispatch.Status, services []dispatch.ServiceLoad, sequence dispatch.ReportSequence) *peerv1.Frame {
	m := &peerv1.Report{
		Sequence: uint64(sequence), AcknowledgedRevision: uint64(s.Acknowledged), Stopping: s.Stopping,
	}
	if view != nil {
		m.TableRevision, m.ConfigRevision = uint64(view.Revision), uint64(view.Configuration.Revision)
		m.ConfigSince = wire.Time(view.ConfigSince)
	}
	for _, v := range services {
		m.Services = append(m.Services, &peerv1.ServiceLoad{
			Service: string(v.Service), QueuedUrgent: uint32(v.QueuedUrgent), QueuedNormal: uint32(v.QueuedNormal),
			QueuedLong: uint32(v.QueuedLong), Running: uint32(v.Running), WantedSlots: uint32(v.Wanted),
		})
	}
	for _, id := range s.Leaving {
		m.LeavingVms = append(m.LeavingVms, string(id))
	}
	return &peerv1.Frame{Message: &peerv1.Frame_Report{Report: m}}
}

func fromReport(hello *peerv1.Hello, m *peerv1.Report) dispatch.PeerReported {
	out := dispatch.PeerReported{
		Peer: fleet.EntryID(hello.GetEntry()), Incarnation: fleet.Incarnation(hello.GetIncarnation()), Zone: fleet.ZoneID(hello.GetZone()),
		Sequence: dispatch.ReportSequence(m.GetSequence()), Acknowledged: fleet.TableRevision(m.GetAcknowledgedRevision()),
		Stopping: m.GetStopping(),
	}
	for _, v := range m.GetServices() {
		out.Services = append(out.Services, dispatch.ServiceLoad{
			Service: fleet.ServiceID(v.GetService()), QueuedUrgent: int(v.GetQueuedUrgent()), QueuedNormal: int(v.GetQueuedNormal()),
			QueuedLong: int(v.GetQueuedLong()), Running: fleet.Slots(v.GetRunning()), Wanted: fleet.Slots(v.GetWantedSlots()),
		})
	}
	for _, id := range m.GetLeavingVms() {
		out.Leaving = append(out.Leaving, fleet.VMID(id))
	}
	return out
}

// rowsPerFrame bounds the rows of one frame; a row has far less than a kilobyte.
const rowsPerFrame = 1000

// incompleteAfter is above every revision, so that no receiver regards the rows as complete.
const incompleteAfter = fleet.TableRevision(math.MaxUint64)

// toRows returns the frames that carry rows. Only the last one marks the rows as complete; it also
// carries the head of the configuration.
func toRows(r control.PeerRows) []*peerv1.Frame {
	slices.SortStableFunc(r.Rows, func(a, b platform.Row) int {
		return cmp.Compare(headLast(a.Key), headLast(b.Key))
	})
	var frames []*peerv1.Frame
	for chunk := range slices.Chunk(r.Rows, rowsPerFrame) {
		m := &peerv1.Rows{After: uint64(incompleteAfter), History: string(r.History)}
		for _, row := range chunk {
			m.Rows = append(m.Rows, &platformv1.Row{Key: string(row.Key), Value: row.Value, Version: uint64(row.Version), Deleted: row.Deleted})
		}
		frames = append(frames, &peerv1.Frame{Message: &peerv1.Frame_Rows{Rows: m}})
	}
	if len(frames) > 0 {
		last := frames[len(frames)-1].GetRows()
		last.After, last.Revision = uint64(r.After), uint64(r.Revision)
	}
	return frames
}

func headLast(key fleet.TableKey) int {
	if key == wire.KeyHead {
		return 1
	}
	return 0
}

func fromRows(m *peerv1.Rows) *control.PeerRows {
	out := &control.PeerRows{
		Revision: fleet.TableRevision(m.GetRevision()), After: fleet.TableRevision(m.GetAfter()), History: platform.History(m.GetHistory()),
	}
	for _, row := range m.GetRows() {
		out.Rows = append(out.Rows, platform.Row{
			Key: fleet.TableKey(row.GetKey()), Value: row.GetValue(), Version: fleet.RowVersion(row.GetVersion()), Deleted: row.GetDeleted(),
		})
	}
	return out
}

func toCancel(c dispatch.CancellationRequested) *peerv1.Frame {
	m := &callerv1.CancelRequest{Group: string(c.Group)}
	for _, id := range c.IDs {
		m.RequestIds = append(m.RequestIds, string(id))
	}
	return &peerv1.Frame{Message: &peerv1.Frame_Cancel{Cancel: &peerv1.Cancel{Account: string(c.Account), Request: m}}}
}

func fromCancel(m *peerv1.Cancel) dispatch.CancellationRequested {
	return wire.FromCancelRequest(fleet.ClientAccountID(m.GetAccount()), m.GetRequest())
}

func toSlotLoan(l dispatch.SlotLoan) *peerv1.Frame {
	return &peerv1.Frame{Message: &peerv1.Frame_SlotLoan{SlotLoan: &peerv1.SlotLoan{
		Loan: uint64(l.ID), ReportSequence: uint64(l.Report), Duration: wire.Duration(l.Duration), Endpoints: toSlots(l.Endpoints),
	}}}
}

func fromSlotLoan(m *peerv1.SlotLoan) dispatch.SlotLoan {
	return dispatch.SlotLoan{
		ID: dispatch.LoanID(m.GetLoan()), Report: dispatch.ReportSequence(m.GetReportSequence()),
		Duration: wire.FromDuration(m.GetDuration()), Endpoints: fromSlots(m.GetEndpoints()),
	}
}

func toSlotReturn(loan dispatch.LoanID, slots map[fleet.EndpointID]fleet.Slots) *peerv1.Frame {
	return &peerv1.Frame{Message: &peerv1.Frame_SlotReturn{SlotReturn: &peerv1.SlotReturn{Loan: uint64(loan), Endpoints: toSlots(slots)}}}
}

func fromSlotReturn(peer fleet.EntryID, m *peerv1.SlotReturn) dispatch.SlotsReturned {
	return dispatch.SlotsReturned{Borrower: peer, Loan: dispatch.LoanID(m.GetLoan()), Endpoints: fromSlots(m.GetEndpoints())}
}

func toSlots(slots map[fleet.EndpointID]fleet.Slots) []*peerv1.EndpointSlots {
	var list []*peerv1.EndpointSlots
	for id, n := range slots {
		list = append(list, &peerv1.EndpointSlots{Endpoint: string(id), Slots: uint32(n)})
	}
	return list
}

func fromSlots(list []*peerv1.EndpointSlots) map[fleet.EndpointID]fleet.Slots {
	out := map[fleet.EndpointID]fleet.Slots{}
	for _, s := range list {
		out[fleet.EndpointID(s.GetEndpoint())] += fleet.Slots(s.GetSlots())
	}
	return out
}

// handOverFrameBytes is the size of outcomes from which a hand-over continues in another frame.
const handOverFrameBytes = 256 << 10

// toHandOver returns the frames that hand tickets over. Only the last one completes the hand-over.
func toHandOver(incarnations []ticket.IncarnationState) []*peerv1.Frame {
	var frames []*peerv1.Frame
	for _, s := range incarnations {
		m := &peerv1.HandOver{}
		size := handOverFrameBytes
		for i, r := range s.Records {
			if size >= handOverFrameBytes || i == 0 {
				m, size = appendHandOver(&frames, s), 0
			}
			m.Tickets = append(m.Tickets, toTicketRecord(r))
			size += len(r.Outcome.Body)
		}
		if len(s.Records) == 0 {
			appendHandOver(&frames, s)
		}
	}
	if len(frames) > 0 {
		frames[len(frames)-1].GetHandOver().More = false
	}
	return frames
}

func appendHandOver(frames *[]*peerv1.Frame, s ticket.IncarnationState) *peerv1.HandOver {
	m := &peerv1.HandOver{Incarnation: string(s.Incarnation), Key: s.Key, Watermark: wire.Time(s.Watermark), More: true}
	*frames = append(*frames, &peerv1.Frame{Message: &peerv1.Frame_HandOver{HandOver: m}})
	return m
}

func toTicketRecord(r ticket.Record) *peerv1.TicketRecord {
	states := map[string]string{"answer": "answered", "not-run": "refused", "unknown": "unknown"}
	return &peerv1.TicketRecord{
		Sequence: uint64(r.Sequence), State: states[string(r.Outcome.Kind)], Response: wire.SubmitResponse("", r.Outcome),
		Account: string(r.Account), ExpiresAt: wire.Time(r.Expires),
	}
}

func fromHandOver(m *peerv1.HandOver) ticket.IncarnationState {
	s := ticket.IncarnationState{Incarnation: fleet.Incarnation(m.GetIncarnation()), Key: m.GetKey(), Watermark: wire.FromTime(m.GetWatermark())}
	for _, t := range m.GetTickets() {
		s.Records = append(s.Records, ticket.Record{
			Sequence: fleet.TicketSequence(t.GetSequence()), Account: fleet.ClientAccountID(t.GetAccount()),
			Expires: wire.FromTime(t.GetExpiresAt()), Outcome: wire.FromSubmitResponse(t.GetResponse()),
		})
	}
	return s
}
