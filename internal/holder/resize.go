package holder

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/poolsize"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// moveState is a move that has been ordered and is not known to be complete.
type moveState struct {
	to fleet.ServiceID
	at time.Time
}

// moveSettleTime is how long a move counts as in progress although the list does not show it: the list may
// be older than the order, and a new endpoint needs time to register.
const moveSettleTime = 3 * time.Second

func (c *Config) hasSpare() bool {
	for _, s := range c.Services {
		if s.Spare {
			return true
		}
	}
	return false
}

// resize moves VMs between pools as demand changes.
func (m *Maintainer) resize(ctx context.Context, config *Config, vms map[fleet.VMID]PoolVM) error {
	if config == nil || !config.hasSpare() {
		return nil
	}
	if err := m.renewIfDue(ctx); err != nil {
		return trace.Wrap(err)
	}
	now := m.Clock.Now()
	pools := m.pools(ctx, config, now, vms)
	moves := m.planner.Decide(now, pools)
	m.logShares(now)
	m.backlogged = len(moves) >= poolsize.MoveLimit(pools)
	for _, move := range moves {
		m.vacating[move.VM] = move
		m.vacatingSince[move.VM] = now
	}
	var working, ready []PoolVM
	for vm, move := range m.vacating {
		listed, known := vms[vm]
		switch {
		case !known || listed.Service != move.From || listed.Condition != VMConditionUp || now.Sub(m.vacatingSince[vm]) > moveVacateTimeout:
			m.clearVacating(vm)
		case m.isSpare(move.From):
			ready = append(ready, listed)
		default:
			working = append(working, listed)
		}
	}
	vacated, err := m.vacate(ctx, working, true)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, vm := range working {
		if !vacated[vm.VM].IsZero() {
			ready = append(ready, vm)
		}
	}
	if !m.settled(now) {
		return nil
	}
	var orders []vmOrder
	for _, vm := range ready {
		o := vmOrder{vm: vm.VM, to: m.vacating[vm.VM].To, validUntil: m.permittedUntil()}
		if until, ok := vacated[vm.VM]; ok && until.Before(o.validUntil) {
			o.validUntil = until
		}
		orders = append(orders, o)
	}
	return trace.Wrap(m.send(ctx, orders, m.moved))
}

// shareLogInterval is the time between log lines about the share of one pool.
const shareLogInterval = time.Second

// logShares logs the shares of pools that have changed by more than a tenth.
func (m *Maintainer) logShares(now time.Time) {
	if m.loggedShares == nil {
		m.loggedShares = map[fleet.ServiceID]loggedShare{}
	}
	for _, s := range m.planner.Shares() {
		last := m.loggedShares[s.Service]
		if now.Sub(last.at) < shareLogInterval || max(s.Share, last.share)*9 <= min(s.Share, last.share)*10 {
			continue
		}
		m.loggedShares[s.Service] = loggedShare{at: now, share: s.Share}
		m.Log.Info("maintainer: share of a pool", zap.String("service", string(s.Service)), zap.Int("vms", s.VMs), zap.Int("arriving", s.Arriving),
			zap.Int64("has-millicores", int64(s.Has)), zap.Int64("share-millicores", int64(s.Share)), zap.Int64("demand-millicores", int64(s.Demand)),
			zap.Int64("late-millicores", int64(s.Late)), zap.Int64("keep-millicores", int64(s.Keep)), zap.Int64("used-millicores", int64(s.Used)),
			zap.Int64("waiting-millicores", int64(s.Waiting)), zap.Int64("offered-millicores", int64(s.Offered)), zap.Int("stranded", s.Stranded))
	}
}

// loggedShare is the share of a pool as last logged.
type loggedShare struct {
	at    time.Time
	share fleet.Millicores
}

// moveVacateTimeout bounds the wait for the tasks on a VM that is to move. Most tasks take about a second; a
// VM that takes longer is left where it is.
const moveVacateTimeout = 2500 * time.Millisecond

func (m *Maintainer) clearVacating(vm fleet.VMID) {
	delete(m.vacating, vm)
	delete(m.vacatingSince, vm)
}

// pools gathers the state of all pools.
func (m *Maintainer) pools(ctx context.Context, config *Config, now time.Time, vms map[fleet.VMID]PoolVM) []poolsize.Pool {
	for vm, move := range m.moving {
		listed, known := vms[vm]
		arrived := known && listed.Service == move.to && listed.Condition == VMConditionUp && now.Sub(move.at) > settleAfterOrder
		if !known || arrived || now.Sub(move.at) > moveSettleTime {
			delete(m.moving, vm)
		}
	}
	reserved := m.reserved()
	var pools []poolsize.Pool
	for _, service := range config.Services {
		pool := poolsize.Pool{Service: service.ID, Spare: service.Spare, Known: service.Spare}
		loads := map[fleet.EndpointID]shard.EndpointLoad{}
		if !service.Spare {
			a, ok := m.ask(ctx, Query{Kind: QueryLoad, Service: service.ID})
			pool.Known = ok && a.Held
			pool.Used, pool.Waiting, pool.Late, pool.VMCapacity = a.Load.Used, a.Load.Waiting, a.Load.Late, a.Load.PerEndpoint
			pool.Lasting, pool.UsedLate, pool.Stranded = a.Load.Lasting, a.Load.UsedLate, a.Load.Stranded
			pool.Backlog, pool.Arrived, pool.ArrivedJobs = a.Load.Backlog, a.Load.Arrived, a.Load.ArrivedJobs
			for _, load := range a.Load.Endpoints {
				loads[load.Endpoint] = load
			}
		}
		for id, vm := range vms {
			if move, ok := m.moving[id]; ok {
				if move.to == service.ID {
					pool.Arriving++
					pool.ArrivingCapacity += vm.Capacity
				}
				continue
			}
			if move, ok := m.vacating[id]; ok && vm.Service == move.From {
				if move.To == service.ID {
					pool.Arriving++
					pool.ArrivingCapacity += vm.Capacity
				}
				continue
			}
			if vm.Service != service.ID {
				continue
			}
			if vm.Condition != VMConditionUp {
				pool.Arriving++
				pool.ArrivingCapacity += vm.Capacity
				continue
			}
			load, known := loads[vm.Endpoint]
			pool.VMs = append(pool.VMs, poolsize.VM{
				ID: id, Endpoint: vm.Endpoint, Capacity: vm.Capacity, Used: load.Used, Pinned: !service.Spare && (!known || load.Lasting), Reserved: reserved[id],
			})
		}
		pools = append(pools, pool)
	}
	return pools
}

// reserved returns the VMs that a wave has begun to vacate or has ordered.
func (m *Maintainer) reserved() map[fleet.VMID]bool {
	reserved := map[fleet.VMID]bool{}
	for _, w := range m.waves {
		if w.completed {
			continue
		}
		for vm := range w.vacating {
			reserved[vm] = !w.done[vm]
		}
		for vm := range w.ordered {
			reserved[vm] = !w.done[vm]
		}
	}
	return reserved
}

// moved applies the answer to the order of a move. A VM whose order was not sent is vacated again.
func (m *Maintainer) moved(o vmOrder) error {
	move := m.vacating[o.vm]
	m.Log.Info("maintainer: VM moved", zap.String("vm", string(o.vm)), zap.String("from", string(move.From)), zap.String("to", string(move.To)),
		zap.String("reason", string(move.Reason)), zap.Uint64("epoch", uint64(m.Chain.Epoch)), zap.String("answer", string(o.answer)))
	switch o.answer {
	case MaintenanceDone, MaintenanceUnknown:
		m.moving[o.vm] = moveState{to: move.To, at: m.Clock.Now()}
	case MaintenanceFenced:
		return trace.Wrap(&LostLeaseError{Duty: DutyMaintenance})
	case MaintenanceNotRun:
		return nil
	}
	m.clearVacating(o.vm)
	return nil
}

func (m *Maintainer) isSpare(id fleet.ServiceID) bool {
	for _, s := range m.Config.Get().Services {
		if s.ID == id {
			return s.Spare
		}
	}
	return false
}
