package daemon

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/balancer"
	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/machine"
	"github.com/mimosawharf/mimosawharf/internal/peer"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// checkInterval is how often the supervisor checks the condition that it waits for.
const checkInterval = 20 * time.Millisecond

// Supervisor is the duty that controls the life cycle of the daemon.
type Supervisor struct {
	// The fields are set before Run.
	View         *ring.Latest[*fleet.View]
	Readiness    *ring.Latest[balancer.Readiness]
	Status       *ring.Latest[dispatch.Status]
	Dispatcher   *ring.Ring[dispatch.Event]
	Clock        clock.Clock
	Log          *zap.Logger
	SettleTime   time.Duration
	DrainTimeout time.Duration
	// StopRequested ends when a stop of the daemon is requested.
	StopRequested context.Context
	// Peers takes over the tickets; it may be nil.
	Peers Successors
	// CloseCallers makes the callers' server finish its responses, after which Closed receives one item.
	CloseCallers func()
	Closed       *ring.Ring[ServerClosed]
	// LeaseHolder is the inbox of the lease holder; it may be nil.
	LeaseHolder *ring.Ring[control.Deregister]
	// Stopped is called when nothing is in flight any more.
	Stopped func()

	states *machine.Machine[State, Event]
	state  State
}

// Successors are the entries that may take over the tickets of this entry.
type Successors interface {
	// Waiting returns how many requests of this entry's callers wait for an outcome from other entries.
	Waiting() int
	// HandOver starts a hand-over of the tickets to one peer. It returns *ring.FullError when it cannot
	// start.
	HandOver([]ticket.IncarnationState, peer.HandOverReceiver) error
}

// Name implements duty.Duty.
func (*Supervisor) Name() fleet.DutyName { return "supervisor" }

// Run implements duty.Duty.
func (s *Supervisor) Run(ctx context.Context) error {
	s.states, s.state = NewMachine(), StateStarting
	s.Readiness.Set(balancer.Readiness{Reason: "no configuration yet"})
	if !s.waitFor(ctx, s.hasConfiguration) {
		return s.stop(ctx)
	}
	s.fire(EventLoad)
	s.Readiness.Set(balancer.Readiness{Ready: true})
	s.waitFor(ctx, func() bool { return false })
	s.fire(EventStop)
	s.Readiness.Set(balancer.Readiness{Reason: "stopping"})
	if err := clock.Wait(ctx, s.Clock, s.SettleTime); err != nil {
		return trace.Wrap(err)
	}
	s.fire(EventSettled)
	if err := s.drain(ctx); err != nil {
		return trace.Wrap(err)
	}
	s.fire(EventDrained)
	if err := s.handOver(ctx); err != nil {
		return trace.Wrap(err)
	}
	if err := s.releaseLeases(ctx); err != nil {
		return trace.Wrap(err)
	}
	s.fire(EventHandedOver)
	return s.stop(ctx)
}

// releaseTimeout bounds the wait for the table. Leases that are not released in time expire.
const releaseTimeout = 5 * time.Second

// releaseLeases releases the leases of this entry and removes its row.
func (s *Supervisor) releaseLeases(ctx context.Context) error {
	if s.LeaseHolder == nil {
		return nil
	}
	done := ring.New[bool]("supervisor-leases", 1)
	if err := s.LeaseHolder.Push(control.Deregister{Done: done}); err != nil {
		return nil //nolint:nilerr // the release was requested already
	}
	timer := s.Clock.NewTimer(releaseTimeout)
	defer timer.Stop()
	removed, _, err := done.PopUntil(ctx, timer.Chan())
	if err == nil && !removed {
		s.Log.Warn("supervisor: entry row was not removed, it stays until it expires")
	}
	return trace.Wrap(err)
}

func (s *Supervisor) hasConfiguration() bool {
	view := s.View.Get()
	return view != nil && (view.Revision > 0 || view.Configuration.Revision > 0)
}

// waitFor waits until the condition holds. It returns false when a stop is requested first.
func (s *Supervisor) waitFor(ctx context.Context, condition func() bool) bool {
	for !condition() {
		if s.StopRequested.Err() != nil || ctx.Err() != nil {
			return false
		}
		if clock.Wait(s.StopRequested, s.Clock, checkInterval) != nil {
			return false
		}
	}
	return true
}

// drain refuses new work and waits until nothing is in flight, at most for the drain timeout.
func (s *Supervisor) drain(ctx context.Context) error {
	started := s.Clock.Now()
	if err := s.notify(ctx, dispatch.StopRequested{}); err != nil {
		return trace.Wrap(err)
	}
	for {
		status := s.Status.Get()
		if status.Stopping && status.InFlight == 0 && (s.Peers == nil || s.Peers.Waiting() == 0) {
			return nil
		}
		if s.Clock.Now().Sub(started) > s.DrainTimeout {
			s.Log.Error("supervisor: drain timeout passed", zap.Int("in-flight", status.InFlight))
			return nil
		}
		if err := clock.Wait(ctx, s.Clock, checkInterval); err != nil {
			return trace.Wrap(err)
		}
	}
}

// notify pushes an event to the dispatcher, and retries while its ring is full.
func (s *Supervisor) notify(ctx context.Context, ev dispatch.Event) error {
	for s.Dispatcher.Push(ev) != nil {
		if err := clock.Wait(ctx, s.Clock, checkInterval); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// handOverTimeout bounds the wait for a peer to confirm the hand-over of the tickets. A peer whose
// confirmation is lost may still redeem them, so this entry never redeems them again.
const handOverTimeout = 30 * time.Second

// handOver stops redeeming tickets, hands them over to a peer and lets the callers' server finish its
// responses.
func (s *Supervisor) handOver(ctx context.Context) error {
	if s.Peers != nil {
		incarnations := ring.New[[]ticket.IncarnationState]("supervisor-tickets", 1)
		if err := s.notify(ctx, dispatch.HandOverRequested{Reply: incarnations}); err != nil {
			return trace.Wrap(err)
		}
		list, err := incarnations.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		if err := s.transferTickets(ctx, list); err != nil {
			return trace.Wrap(err)
		}
	}
	if s.CloseCallers == nil {
		return nil
	}
	s.CloseCallers()
	_, err := s.Closed.Pop(ctx)
	return trace.Wrap(err)
}

func (s *Supervisor) transferTickets(ctx context.Context, list []ticket.IncarnationState) error {
	reply := ring.New[peer.HandOverResult]("supervisor-hand-over", 1)
	if err := s.Peers.HandOver(list, reply); err != nil {
		s.Log.Error("supervisor: tickets were not handed over", zap.Error(err))
		return nil
	}
	timer := s.Clock.NewTimer(handOverTimeout)
	defer timer.Stop()
	result, ok, err := reply.PopUntil(ctx, timer.Chan())
	switch {
	case err != nil:
		return trace.Wrap(err)
	case !ok || result.To == "":
		s.Log.Warn("supervisor: no peer confirmed the tickets, their outcomes are unknown")
	default:
		s.Log.Info("supervisor: tickets were handed over", zap.String("peer", string(result.To)))
	}
	return nil
}

func (s *Supervisor) stop(ctx context.Context) error {
	s.Stopped()
	<-ctx.Done()
	return trace.Wrap(ctx.Err())
}

func (s *Supervisor) fire(e Event) {
	state, err := s.states.Next(s.state, e)
	if err != nil {
		panic(err.Error())
	}
	s.Log.Info("supervisor: state changes", zap.String("from", string(s.state)), zap.String("to", string(state)))
	s.state = state
}
