package holder

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/internal/poolsize"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// VMCondition is the state of a VM according to the platform.
type VMCondition string

// Conditions of VMs.
const (
	VMConditionUp          VMCondition = "up"
	VMConditionMoving      VMCondition = "moving"
	VMConditionMaintenance VMCondition = "maintenance"
	VMConditionDown        VMCondition = "down"
)

// PoolVM is a VM as the platform lists it.
type PoolVM struct {
	VM        fleet.VMID
	Service   fleet.ServiceID
	Condition VMCondition
	Endpoint  fleet.EndpointID
	// Capacity is the processor capacity; 0 when it is not listed.
	Capacity fleet.Millicores
}

// WaveOrder is the operator's request to maintain VMs.
type WaveOrder struct {
	Wave     fleet.WaveID
	VMs      []fleet.VMID
	Duration time.Duration
	// MaxDown bounds the VMs that are down for the wave at once.
	MaxDown int
}

// MaintenanceAnswer classifies the response to an order to maintain a VM.
type MaintenanceAnswer string

// Answers to maintenance orders.
const (
	// MaintenanceDone means that maintenance has begun or is over.
	MaintenanceDone MaintenanceAnswer = "done"
	// MaintenanceBusy means that the VM is not up.
	MaintenanceBusy MaintenanceAnswer = "busy"
	// MaintenanceFenced means that a newer holder has given orders.
	MaintenanceFenced MaintenanceAnswer = "fenced"
	// MaintenanceRefused means that the order can never succeed.
	MaintenanceRefused MaintenanceAnswer = "refused"
	// MaintenanceNotRun means that nothing was done.
	MaintenanceNotRun MaintenanceAnswer = "not-run"
	// MaintenanceUnknown means that the order may have been, or may yet be, executed.
	MaintenanceUnknown MaintenanceAnswer = "unknown"
)

// VMPlatform lists and maintains the platform's VMs. It is safe for concurrent use.
type VMPlatform interface {
	VMs(ctx context.Context) ([]PoolVM, error)
	Maintain(ctx context.Context, vm fleet.VMID, wave fleet.WaveID, token fleet.FencingToken) MaintenanceAnswer
	// Move moves a VM to another service's pool. Its answers are those of maintenance orders.
	Move(ctx context.Context, vm fleet.VMID, to fleet.ServiceID, token fleet.FencingToken) MaintenanceAnswer
	// Report publishes the state of a wave to the operator.
	Report(ctx context.Context, wave fleet.WaveID, completed bool) error
}

// Maintainer is the duty that executes maintenance waves under the lease of DutyMaintenance.
type Maintainer struct {
	// The fields are set before Run.
	Chain     *Chain
	Taken     *Taken
	Platform  VMPlatform
	Peers     Peers
	Scheduler *ring.Ring[Event]
	// Waves are the operator's current orders.
	Waves *ring.Latest[[]WaveOrder]
	// Config is the current configuration.
	Config *ring.Latest[*Config]
	// Wake receives a token when Waves changes.
	Wake *ring.Ring[struct{}]
	// Duties starts the duties that send orders.
	Duties Starter
	// Release receives a token when the lease is to be released.
	Release *ring.Ring[struct{}]
	Clock   clock.Clock
	Log     *zap.Logger
	// TakeoverDelay is how long after the takeover an earlier holder may still give orders. Orders that it may
	// have given are not repeated before then.
	TakeoverDelay time.Duration

	waves   map[fleet.WaveID]*waveState
	planner poolsize.Planner
	// loggedShares are the shares of pools as last logged.
	loggedShares map[fleet.ServiceID]loggedShare
	// orders are sent by the senders, answers come back from them.
	orders, answers *ring.Ring[vmOrder]
	moving          map[fleet.VMID]moveState
	// vacating holds the moves whose VMs are being vacated.
	vacating      map[fleet.VMID]poolsize.Move
	vacatingSince map[fleet.VMID]time.Time
	confirmedAt   time.Time
	renewedAt     time.Time
	listFailed    bool
	// backlogged is set while more VMs are to move than one decision starts.
	backlogged bool
}

// Times of the maintainer.
const (
	// roundInterval is the time between rounds. Demand changes within seconds, and each round costs a call
	// to the platform.
	roundInterval = 250 * time.Millisecond
	// backlogInterval is the time between rounds while more VMs are to move than one decision starts.
	backlogInterval = 50 * time.Millisecond
	// settleAfterOrder is how long a VM that is listed as up counts as down after its order, because the
	// list may be older than the order.
	settleAfterOrder = 1500 * time.Millisecond
	// platformTimeout bounds one call to the platform.
	platformTimeout = 1500 * time.Millisecond
	// vacateAhead is how many VMs are vacated in addition to those that may go down.
	vacateAhead = 2
)

// Name implements duty.Duty.
func (*Maintainer) Name() fleet.DutyName { return DutyMaintenance }

// Run implements duty.Duty. After the lease is lost it waits for its context to end.
func (m *Maintainer) Run(ctx context.Context) error {
	m.waves, m.moving = map[fleet.WaveID]*waveState{}, map[fleet.VMID]moveState{}
	m.vacating, m.vacatingSince = map[fleet.VMID]poolsize.Move{}, map[fleet.VMID]time.Time{}
	m.confirmedAt, m.renewedAt = m.Taken.SentAt, m.Taken.SentAt
	m.startSenders(ctx)
	for {
		if err := m.round(ctx); err != nil {
			if ctx.Err() == nil {
				m.reportLoss(err)
				<-ctx.Done()
			}
			return trace.Wrap(ctx.Err())
		}
		pause := roundInterval
		if m.backlogged {
			pause = backlogInterval
		}
		timer := m.Clock.NewTimer(pause)
		_, _, err := m.Wake.PopUntil(ctx, timer.Chan())
		timer.Stop()
		if err != nil {
			return trace.Wrap(err)
		}
	}
}

func (m *Maintainer) reportLoss(err error) {
	event := Event{Written: &Written{Duty: DutyMaintenance, Epoch: m.Chain.Epoch, Err: err}}
	if err := m.Scheduler.PushReserved(event); err != nil {
		m.Log.Error("maintainer: loss of the lease cannot be reported", zap.Error(trace.Unwrap(err)))
	}
}

// round renews the lease and advances the waves by one step. It returns *LostLeaseError.
func (m *Maintainer) round(ctx context.Context) error {
	now := m.Clock.Now()
	if _, requested := m.Release.TryPop(); requested {
		rows, more := m.changedRows()
		for ; more; rows, more = m.changedRows() {
			if err := m.Chain.Write(ctx, Write{Puts: rows, Renew: true, Settled: m.settled(now)}); err != nil {
				return trace.Wrap(err)
			}
		}
		if err := m.Chain.Write(ctx, Write{Puts: rows, Release: true, Settled: m.settled(now)}); err != nil {
			return trace.Wrap(err)
		}
		return trace.Wrap(&LostLeaseError{Duty: DutyMaintenance})
	}
	if now.Sub(m.renewedAt) >= election.RenewInterval {
		if err := m.write(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	m.updateWaves(now)
	config := m.Config.Get()
	if !m.active() && (config == nil || !config.hasSpare()) {
		return nil
	}
	vms, err := m.list(ctx)
	if err != nil {
		return nil
	}
	for _, w := range m.sorted() {
		if !w.completed {
			if err := m.advance(ctx, w, vms); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return trace.Wrap(m.resize(ctx, config, vms))
}

func (m *Maintainer) list(ctx context.Context) (map[fleet.VMID]PoolVM, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	list, err := m.Platform.VMs(ctx)
	if err != nil {
		if !m.listFailed {
			m.Log.Warn("maintainer: VMs cannot be listed", zap.Error(trace.Unwrap(err)))
		}
		m.listFailed = true
		return nil, trace.Wrap(err)
	}
	m.listFailed = false
	vms := make(map[fleet.VMID]PoolVM, len(list))
	for _, vm := range list {
		vms[vm.VM] = vm
	}
	return vms, nil
}

// settled reports whether no earlier holder can be giving orders any more.
func (m *Maintainer) settled(now time.Time) bool {
	return m.Taken.Released || now.Sub(m.Taken.SentAt) >= m.TakeoverDelay
}

// write renews the lease and stores the progress of the waves that have changed.
func (m *Maintainer) write(ctx context.Context) error {
	for more := true; more; {
		var rows []rowstore.Row
		rows, more = m.changedRows()
		sent := m.Clock.Now()
		if err := m.Chain.Write(ctx, Write{Puts: rows, Renew: true, Settled: m.settled(sent)}); err != nil {
			return trace.Wrap(err)
		}
		m.renewedAt, m.confirmedAt = sent, sent
	}
	return nil
}
