package holder

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// orderDue has the due VMs vacated and orders maintenance of those that run nothing, at most remaining of
// them for the first time. The intent is committed for all of them in one write: with a write for each VM, a
// wave of hundreds would exceed its duration while the store is slow.
func (m *Maintainer) orderDue(ctx context.Context, w *waveState, due []PoolVM, remaining int) error {
	vacated, err := m.vacate(ctx, due, false)
	if err != nil {
		return trace.Wrap(err)
	}
	repeated := map[fleet.VMID]bool{}
	var ready []fleet.VMID
	for _, vm := range due {
		_, repeated[vm.VM] = w.ordered[vm.VM]
		if vacated[vm.VM].IsZero() || !repeated[vm.VM] && remaining <= 0 {
			continue
		}
		if !repeated[vm.VM] {
			remaining--
			w.ordered[vm.VM], w.changed = m.Clock.Now(), true
		}
		ready = append(ready, vm.VM)
	}
	if w.changed {
		if err := m.write(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	var orders []vmOrder
	for _, vm := range ready {
		until := vacated[vm]
		if permitted := m.permittedUntil(); permitted.Before(until) {
			until = permitted
		}
		orders = append(orders, vmOrder{vm: vm, wave: w.order.Wave, validUntil: until})
	}
	return trace.Wrap(m.send(ctx, orders, func(o vmOrder) error { return trace.Wrap(m.maintained(w, o, repeated[o.vm])) }))
}

// vacatedValidity bounds the time between the query that shows a VM as vacated and the order for it. The endpoint
// gets no work for three seconds, of which one call to the platform takes up to one and a half.
const vacatedValidity = 1400 * time.Millisecond

// renewIfDue renews the lease when that is due. A round with many VMs takes longer than the lease lasts.
func (m *Maintainer) renewIfDue(ctx context.Context) error {
	if m.Clock.Now().Sub(m.renewedAt) < election.RenewInterval {
		return nil
	}
	return trace.Wrap(m.write(ctx))
}

// maintained applies the answer to the order of a VM's maintenance. A VM whose order was not sent is vacated and
// ordered again.
func (m *Maintainer) maintained(w *waveState, o vmOrder, repeated bool) error {
	m.Log.Info("maintainer: maintenance ordered", zap.String("wave", string(w.order.Wave)), zap.String("vm", string(o.vm)),
		zap.Uint64("epoch", uint64(m.Chain.Epoch)), zap.String("answer", string(o.answer)), zap.Bool("again", repeated))
	switch o.answer {
	case MaintenanceDone:
		w.ordered[o.vm], w.begun[o.vm], w.changed = m.Clock.Now(), true, true
	case MaintenanceRefused:
		w.done[o.vm], w.changed = true, true
	case MaintenanceFenced:
		return trace.Wrap(&LostLeaseError{Duty: DutyMaintenance})
	case MaintenanceNotRun, MaintenanceBusy:
		if !repeated {
			delete(w.ordered, o.vm)
			w.changed = true
		}
	}
	return nil
}

// vacate asks the holders of the VMs' services to move work away, and returns the VMs that run nothing, each
// with the time until which it may be ordered. The wait for a holder that does not answer uses up a large
// part of that time.
func (m *Maintainer) vacate(ctx context.Context, vms []PoolVM, patient bool) (map[fleet.VMID]time.Time, error) {
	vacated := map[fleet.VMID]time.Time{}
	services := map[fleet.ServiceID][]fleet.EndpointID{}
	for _, vm := range vms {
		if vm.Endpoint == "" {
			if vm.Condition == VMConditionUp {
				vacated[vm.VM] = m.Clock.Now().Add(vacatedValidity)
			}
			continue
		}
		services[vm.Service] = append(services[vm.Service], vm.Endpoint)
	}
	for service, endpoints := range services {
		if err := m.renewIfDue(ctx); err != nil {
			return nil, trace.Wrap(err)
		}
		until := m.Clock.Now().Add(vacatedValidity)
		a, ok := m.ask(ctx, Query{Kind: QueryVacate, Service: service, Endpoints: endpoints, Patient: patient})
		for _, vm := range vms {
			if vm.Service == service && vm.Endpoint != "" && ok && (a.Idle || a.Held && slices.Contains(a.Vacated, vm.Endpoint)) {
				vacated[vm.VM] = until
			}
		}
	}
	return vacated, nil
}

// ask sends a query to the holder of a service, through this entry's own scheduler.
func (m *Maintainer) ask(ctx context.Context, q Query) (Answer, bool) {
	reply := ring.New[Answer]("answer", 1)
	q.Reply = func(a Answer) { _ = reply.Push(a) } // The ring has room for the only answer.
	if err := m.Scheduler.Push(Event{Query: &q}); err != nil {
		return Answer{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	a, err := reply.Pop(ctx)
	if err != nil {
		return Answer{}, false
	}
	if !a.Held && a.Holder != "" {
		if a, err = m.Peers.Query(ctx, a.Holder, q); err != nil {
			m.Log.Warn("maintainer: holder does not answer", zap.String("service", string(q.Service)), zap.Error(trace.Unwrap(err)))
			return Answer{}, false
		}
	}
	return a, true
}
