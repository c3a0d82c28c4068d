package command

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/pkg/client"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// ExitCode is the exit status of a command.
type ExitCode int

// Exit codes.
const (
	ExitOK ExitCode = 0
	// ExitFailure means that the operation failed, or that the work itself failed.
	ExitFailure ExitCode = 1
	// ExitUsage means that the arguments are wrong; no request was sent to the daemon.
	ExitUsage ExitCode = 2
	// ExitRefused means that the daemon refused the operation; nothing was changed.
	ExitRefused ExitCode = 3
	// ExitUnavailable means that the daemon or its store does not answer; the effect is not known.
	ExitUnavailable ExitCode = 4
)

// UsageError reports wrong arguments.
type UsageError struct {
	Problem string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Problem }

// OutcomeError reports a command that was executed without the wanted outcome.
type OutcomeError struct {
	Code    ExitCode
	Problem string
}

// Error implements error.
func (e *OutcomeError) Error() string { return e.Problem }

// OperationError reports a change that failed or whose effect is not known.
type OperationError struct {
	ID    fleet.OperationID
	Cause error
}

// Error implements error.
func (e *OperationError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *OperationError) Unwrap() error { return e.Cause }

func exitCode(err error) ExitCode {
	var usage *UsageError
	var files *client.TLSError
	var outcome *OutcomeError
	var failed *connect.Error
	switch {
	case errors.As(err, &usage), errors.As(err, &files):
		return ExitUsage
	case errors.As(err, &outcome):
		return outcome.Code
	case errors.As(err, &failed):
		return exitCodeOf(failed.Code())
	case errors.Is(err, context.Canceled):
		return ExitUnavailable
	default:
		return ExitFailure
	}
}

func exitCodeOf(code connect.Code) ExitCode {
	switch code {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled:
		return ExitUnavailable
	case connect.CodeInternal, connect.CodeUnknown:
		return ExitFailure
	default:
		return ExitRefused
	}
}

// errorText describes an error and the next step in one line.
func (c *cli) errorText(err error) string {
	text := trace.Unwrap(err).Error()
	var files *client.TLSError
	if errors.As(err, &files) {
		text += ": check --tls-cert-file, --tls-key-file, --tls-ca-file and --caller-tls-ca-file"
	}
	var failed *connect.Error
	if errors.As(err, &failed) {
		text = failed.Message()
		if hint := c.hint(err, failed.Code()); hint != "" {
			text += ": " + hint
		}
	}
	return strings.Join(strings.Fields(text), " ")
}

// hint returns the next step after a failed call, or nothing when the entry's message names it.
func (c *cli) hint(err error, code connect.Code) string {
	switch code {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled:
		text := fmt.Sprintf("check %s or name another entry", c.target)
		var operation *OperationError
		if errors.As(err, &operation) {
			text += fmt.Sprintf(", then run the command again with --operation-id %s: it takes effect once", operation.ID)
		}
		return text
	case connect.CodeResourceExhausted:
		return "wait a moment and run the command again"
	case connect.CodeAborted:
		if strings.Contains(err.Error(), "through entry") {
			return ""
		}
		return "another operation changed the same rows; look at mimosawharf status and run the command again"
	case connect.CodeNotFound:
		return "check the name; list commands show what exists"
	case connect.CodeFailedPrecondition:
		if strings.Contains(err.Error(), "budget of pool") {
			return "wait until disrupted VMs are back (mimosawharf vm list), or change the budget"
		}
		if strings.Contains(err.Error(), "config diff") {
			return ""
		}
		return "look at mimosawharf vm list and mimosawharf wave list for the state"
	case connect.CodeUnauthenticated, connect.CodePermissionDenied:
		return "check --tls-cert-file and --tls-key-file, and that the certificate has the role that the command needs"
	case connect.CodeUnimplemented:
		return "the entry does not serve this yet; update the entry or check --server"
	default:
		return ""
	}
}
