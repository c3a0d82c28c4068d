// Package duty runs the duties of the daemon, one goroutine each.
package duty

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Duty is a goroutine that owns its state; no other goroutine accesses it.
type Duty interface {
	// Name returns the name of the duty in logs and metrics.
	Name() fleet.DutyName
	// Run does the work until the context ends. An earlier return, or an error other than the context's,
	// stops the group.
	Run(ctx context.Context) error
}

// StoppedError reports a duty that ended before its group was stopped.
type StoppedError struct {
	Duty fleet.DutyName
	// Cause is nil when the duty returned without an error.
	Cause error
}

// Error implements error.
func (e *StoppedError) Error() string {
	return fmt.Sprintf("duty %s stopped: %v", e.Duty, e.Cause)
}

// Unwrap returns the cause.
func (e *StoppedError) Unwrap() error { return e.Cause }

// PanicError reports a panic inside a duty.
type PanicError struct {
	Value string
}

// Error implements error.
func (e *PanicError) Error() string { return "panic: " + e.Value }

// Group runs duties and stops all of them when one fails.
type Group struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
	first   sync.Once
	err     error
}

// NewGroup returns a group whose duties run until the returned context ends.
func NewGroup(ctx context.Context) (*Group, context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{cancel: cancel}, ctx
}

// Start runs a duty in its own goroutine.
func (g *Group) Start(ctx context.Context, d Duty) {
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		err := run(ctx, d)
		if ctx.Err() != nil && (err == nil || errors.Is(err, ctx.Err())) {
			return
		}
		g.first.Do(func() { g.err = trace.Wrap(&StoppedError{Duty: d.Name(), Cause: err}) })
		g.cancel()
	}()
}

// Stop ends the context of all duties.
func (g *Group) Stop() { g.cancel() }

// Wait waits for all duties. It returns *StoppedError of the first duty that failed.
func (g *Group) Wait() error {
	g.running.Wait()
	g.cancel()
	return g.err
}

// run converts a panic into an error, so that the group stops its other duties.
func run(ctx context.Context, d Duty) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = trace.Wrap(&PanicError{Value: fmt.Sprint(v)})
		}
	}()
	return d.Run(ctx)
}
