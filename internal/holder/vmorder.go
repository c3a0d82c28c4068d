package holder

import (
	"context"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	// vmSenders is the number of duties that send orders for VMs. The platform takes tens of milliseconds for each
	// order, and a shift of demand has hundreds of VMs to move within a second or two.
	vmSenders = 8
	// vmOrderCapacity bounds the orders of one round; the others follow in the next.
	vmOrderCapacity = 256
	// vmAnswerWait is the longest wait for an answer before it is checked whether the lease is to be renewed.
	vmAnswerWait = 100 * time.Millisecond
)

// vmOrder is an order for one VM: to maintain it for a wave, or else to move it to a pool.
type vmOrder struct {
	vm    fleet.VMID
	wave  fleet.WaveID
	to    fleet.ServiceID
	token fleet.FencingToken
	// validUntil is when the permission to send the order ends: the lease may have passed on then, or the VM may
	// have got work.
	validUntil time.Time
	// answer is set by the sender.
	answer MaintenanceAnswer
}

// vmSender is one of the duties that send orders for VMs.
type vmSender struct {
	number   int
	platform VMPlatform
	clock    clock.Clock
	orders   *ring.Ring[vmOrder]
	answers  *ring.Ring[vmOrder]
}

// Name implements duty.Duty.
func (s *vmSender) Name() fleet.DutyName {
	return fleet.DutyName("vm-sender-" + strconv.Itoa(s.number))
}

// Run implements duty.Duty.
func (s *vmSender) Run(ctx context.Context) error {
	for {
		o, err := s.orders.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		o.answer = s.send(ctx, o)
		_ = s.answers.Push(o) // The ring has room for the answers to all orders of a round.
	}
}

func (s *vmSender) send(ctx context.Context, o vmOrder) MaintenanceAnswer {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if !s.clock.Now().Before(o.validUntil) {
		return MaintenanceNotRun
	}
	if o.wave != "" {
		return s.platform.Maintain(ctx, o.vm, o.wave, o.token)
	}
	return s.platform.Move(ctx, o.vm, o.to, o.token)
}

// startSenders starts the duties that send orders.
func (m *Maintainer) startSenders(ctx context.Context) {
	m.orders, m.answers = ring.New[vmOrder]("vm-orders", vmOrderCapacity), ring.New[vmOrder]("vm-answers", vmOrderCapacity)
	for n := range vmSenders {
		m.Duties.Start(ctx, &vmSender{number: n, platform: m.Platform, clock: m.Clock, orders: m.orders, answers: m.answers})
	}
}

// permittedUntil returns when the permission to send orders under the lease ends.
func (m *Maintainer) permittedUntil() time.Time { return m.confirmedAt.Add(election.LeaseTimeout) }

// send sends orders, at most vmOrderCapacity of them, and passes each answer on. It renews the lease meanwhile. It
// returns the first error of handle, once all answers are known, or that of a renewal.
func (m *Maintainer) send(ctx context.Context, orders []vmOrder, handle func(vmOrder) error) error {
	outstanding := 0
	for _, o := range orders {
		o.token = m.Chain.Epoch
		if m.orders.Push(o) != nil {
			break
		}
		outstanding++
	}
	var failed error
	for outstanding > 0 {
		timer := m.Clock.NewTimer(vmAnswerWait)
		o, ok, err := m.answers.PopUntil(ctx, timer.Chan())
		timer.Stop()
		if err != nil {
			return trace.Wrap(err)
		}
		if ok {
			outstanding--
			if err := handle(o); err != nil && failed == nil {
				failed = err
			}
		}
		if failed == nil {
			failed = m.renewIfDue(ctx)
		}
	}
	return trace.Wrap(failed)
}
