// Package demo runs entries, endpoints and a stand-in platform in one process on loopback and checks each
// step of a scenario.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/clock"
)

// timeLimit bounds the whole demo, so that it ends when a step hangs.
const timeLimit = 20 * time.Second

// StepError reports a step that failed.
type StepError struct {
	Step  string
	Cause error
}

// Error implements error.
func (e *StepError) Error() string { return "demo: " + e.Step + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Cause }

// MismatchError reports a result that is not the expected one.
type MismatchError struct {
	Want, Got string
}

// Error implements error.
func (e *MismatchError) Error() string { return fmt.Sprintf("want %s, got %s", e.Want, e.Got) }

// step is one part of the scenario.
type step struct {
	title string
	run   func(ctx context.Context, d *deployment) (string, error)
}

// Printer writes the audit trail and the status of the entry at a URL, as operators see them.
type Printer interface {
	Audit(ctx context.Context, server string) error
	Status(ctx context.Context, server string) error
}

// Run runs the scenario and writes the result of each step, the audit trail and the status. It returns
// *StepError for the first step that fails.
func Run(ctx context.Context, output io.Writer, printer Printer) error {
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	started := clock.Real().Now()
	d, err := start(ctx)
	if err != nil {
		return trace.Wrap(&StepError{Step: "start", Cause: err})
	}
	defer d.stop()
	for i, s := range scenario() {
		report, err := s.run(ctx, d)
		if err != nil {
			_, _ = fmt.Fprintf(output, "%2d. %-58s FAILED\n", i+1, s.title)
			return trace.Wrap(&StepError{Step: s.title, Cause: err})
		}
		_, _ = fmt.Fprintf(output, "%2d. %-58s %s\n", i+1, s.title, report)
	}
	_, _ = fmt.Fprintf(output, "\naudit trail of %s, newest first\n", d.entries[0].id)
	if err := printer.Audit(ctx, d.entries[0].server); err != nil {
		return trace.Wrap(&StepError{Step: "audit trail", Cause: err})
	}
	_, _ = fmt.Fprintf(output, "\nstatus of %s\n", d.entries[0].id)
	if err := printer.Status(ctx, d.entries[0].server); err != nil {
		return trace.Wrap(&StepError{Step: "status", Cause: err})
	}
	_, _ = fmt.Fprintf(output, "\nall steps hold, %.1f s\n", clock.Real().Now().Sub(started).Seconds())
	return nil
}

// checkInterval is how often eventually checks its condition.
const checkInterval = 20 * time.Millisecond

// eventually waits until the condition holds or the context ends.
func eventually(ctx context.Context, condition func() (bool, error)) error {
	for {
		ok, err := condition()
		if ok || err != nil {
			return trace.Wrap(err)
		}
		if err := clock.Wait(ctx, clock.Real(), checkInterval); err != nil {
			return trace.Wrap(err)
		}
	}
}
