package daemon

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/balancer"
	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/machine"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// checkInterval is how often the supervisor looks at what it waits for.
const checkInterval = 20 * time.Millisecond

// Supervisor is the duty that takes the daemon from start to stop.
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
	// StopAsked ends when the daemon is asked to stop.
	StopAsked context.Context
	// Stopped is called when nothing is in flight any more.
	Stopped func()

	states *machine.Machine[State, Event]
	state  State
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
	s.fire(EventHandedOver)
	return s.stop(ctx)
}

func (s *Supervisor) hasConfiguration() bool {
	view := s.View.Get()
	return view != nil && view.Revision > 0
}

// waitFor waits until the condition holds. It returns false when the daemon is asked to stop first.
func (s *Supervisor) waitFor(ctx context.Context, condition func() bool) bool {
	for !condition() {
		if s.StopAsked.Err() != nil || ctx.Err() != nil {
			return false
		}
		if clock.Wait(s.StopAsked, s.Clock, checkInterval) != nil {
			return false
		}
	}
	return true
}

// drain refuses new work and waits until nothing is in flight, at most for the drain timeout.
func (s *Supervisor) drain(ctx context.Context) error {
	started := s.Clock.Now()
	for s.Dispatcher.Push(dispatch.StopRequested{}) != nil {
		if err := clock.Wait(ctx, s.Clock, checkInterval); err != nil {
			return trace.Wrap(err)
		}
	}
	for {
		status := s.Status.Get()
		if status.Stopping && status.InFlight == 0 {
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
