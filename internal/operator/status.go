package operator

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/mimosawharf/mimosawharf/internal/operation"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
	"github.com/mimosawharf/mimosawharf/pkg/check"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Loads provides the loads of the services that the dispatcher of this entry publishes.
type Loads interface {
	ServiceLoads() map[fleet.ServiceID]operation.ServiceLoad
}

// Clock provides the current time.
type Clock interface {
	Now() time.Time
}

// GetStatus implements the operator service.
func (h *Handler) GetStatus(context.Context, *connect.Request[operatorv1.GetStatusRequest]) (*connect.Response[operatorv1.GetStatusResponse], error) {
	var loads map[fleet.ServiceID]operation.ServiceLoad
	if h.Loads != nil {
		loads = h.Loads.ServiceLoads()
	}
	return connect.NewResponse(statusMessage(operation.StatusOf(h.view(), loads, h.Clock.Now(), h.Bounds))), nil
}

func statusMessage(s operation.Status) *operatorv1.GetStatusResponse {
	m := &operatorv1.GetStatusResponse{
		Healthy: s.Healthy, Problems: s.Problems, StoreReachable: s.StoreReachable,
		StoreAge: wire.Duration(s.StoreAge), VmListAge: wire.Duration(s.ListAge),
	}
	for _, p := range s.Pools {
		c := p.Capacity
		m.Pools = append(m.Pools, &operatorv1.PoolStatus{
			Pool: string(p.Pool), Vms: uint32(c.VMs), AvailableVms: uint32(c.Available), RequiredVms: uint32(p.Required),
			Disruptions: uint32(p.Disruptions), BudgetHolds: len(p.Shortfalls) == 0, Draining: uint32(c.Draining),
			Failed: uint32(c.Failed), Borrowed: uint32(c.Borrowed), Lent: uint32(c.Lent),
		})
	}
	for _, e := range s.Entries {
		m.Entries = append(m.Entries, entryStatus(e))
	}
	for _, w := range s.Waves {
		m.Waves = append(m.Waves, waveStatus(w))
	}
	for _, service := range s.Services {
		m.Services = append(m.Services, &operatorv1.ServiceStatus{
			Service: string(service.Service), Endpoints: uint32(service.Endpoints), Running: uint32(service.Load.Running), Ejected: uint32(service.Load.Ejected),
			QueuedUrgent: uint32(service.Load.Queued[fleet.ClassUrgent]), QueuedNormal: uint32(service.Load.Queued[fleet.ClassNormal]),
			QueuedLong: uint32(service.Load.Queued[fleet.ClassLong]), ShortWaitP99: wire.Duration(service.Load.ShortWaitP99),
		})
	}
	for _, l := range s.Leases {
		m.Leases = append(m.Leases, &operatorv1.LeaseStatus{
			Duty: string(l.Lease.Duty), Holder: string(l.Lease.Holder), Epoch: uint64(l.Lease.Epoch), Age: wire.Duration(l.Age),
		})
	}
	return m
}

// States of an entry on the status page.
const (
	entryStateServing = "serving"
	entryStateSilent  = "silent"
)

func entryStatus(e operation.EntryStatus) *operatorv1.EntryStatus {
	state := entryStateSilent
	if e.Reachable {
		state = entryStateServing
	}
	return &operatorv1.EntryStatus{
		Entry: string(e.Entry.ID), Zone: string(e.Entry.Zone), ConfigRevision: uint64(e.Entry.ConfigRevision),
		ConfigSince: wire.Time(e.Entry.ConfigSince), Reachable: e.Reachable, State: state,
	}
}

func waveStatus(w fleet.Wave) *operatorv1.WaveStatus {
	m := &operatorv1.WaveStatus{Wave: string(w.ID), State: string(w.State), Reason: w.Reason, Total: uint32(len(w.VMs))}
	for _, vm := range w.VMs {
		if vm.State == fleet.WaveVMStateDone {
			m.Done++
		}
	}
	return m
}

// defaultAuditRows is the page size of a request that sets no limit.
const defaultAuditRows = 100

// ListAudit implements the operator service.
func (h *Handler) ListAudit(ctx context.Context, r *connect.Request[operatorv1.ListAuditRequest]) (*connect.Response[operatorv1.ListAuditResponse], error) {
	m := r.Msg
	if err := m.Check(); err != nil {
		return nil, toConnect(err)
	}
	o := operation.ListAudit{
		Filter: operation.AuditFilter{
			Pool: fleet.PoolID(m.GetPool()), VM: fleet.VMID(m.GetVm()), Actor: m.GetActor(),
			Since: wire.FromTime(m.GetSince()), Until: wire.FromTime(m.GetUntil()),
		},
		Limit:  int(m.GetLimit()),
		Before: fleet.TableRevision(m.GetPage()),
		Reply:  ring.New[operation.Result[operation.AuditPage]]("operator-audit", 1),
	}
	if o.Limit == 0 {
		o.Limit = defaultAuditRows
	}
	if f := o.Filter; !f.Until.IsZero() && !f.Since.Before(f.Until) {
		return nil, toConnect(&check.FieldError{Field: "until", Bound: "a time after since"})
	}
	page, err := run(ctx, h.Inbox, o, o.Reply)
	if err != nil {
		return nil, toConnect(err)
	}
	response := &operatorv1.ListAuditResponse{NextPage: uint64(page.Next)}
	for _, a := range page.Rows {
		response.Rows = append(response.Rows, wire.Audit(a))
	}
	return connect.NewResponse(response), nil
}
