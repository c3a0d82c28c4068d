// Package command is the operators' command line.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"github.com/mimosawharf/mimosawharf/internal/demo"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1/operatorv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/client"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// ExitCode tells shells what came of a command.
type ExitCode int

// Exit codes.
const (
	ExitOK ExitCode = 0
	// ExitFailure means that the operation failed.
	ExitFailure ExitCode = 1
	// ExitUsage means that the arguments are wrong; nothing was asked of the daemon.
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

// Format is the format of output.
type Format string

// Formats of output.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
)

// cli holds what all commands share.
type cli struct {
	output io.Writer
	server string
	caller string
	name   string
	format string
}

// Run runs the command that the arguments name and returns its exit code.
func Run(ctx context.Context, arguments []string, output, problems io.Writer) ExitCode {
	c := &cli{output: output}
	root := c.root()
	err := root.ParseAndRun(ctx, arguments, ff.WithEnvVarPrefix("MIMOSAWHARF"))
	if errors.Is(err, ff.ErrHelp) || errors.Is(err, ff.ErrNoExec) {
		_, _ = fmt.Fprintln(output, ffhelp.Command(root.GetSelected()))
		return ExitOK
	}
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(problems, "mimosawharf:", trace.Unwrap(err))
	return exitCode(err)
}

func (c *cli) root() *ff.Command {
	set := ff.NewFlagSet("mimosawharf")
	set.StringVar(&c.server, 0, "server", "http://127.0.0.1:7401", "URL of an entry for operators.")
	set.StringVar(&c.caller, 0, "caller-server", "http://127.0.0.1:7400", "URL of an entry for callers.")
	set.StringVar(&c.name, 0, "operator", os.Getenv("USER"), "Name of the operator where the daemon runs without TLS.")
	set.StringEnumVar(&c.format, 0, "output", "Format of output: table or json.", string(FormatTable), string(FormatJSON))
	root := &ff.Command{Name: "mimosawharf", Usage: "mimosawharf [flags] <command>", Flags: set}
	root.Subcommands = []*ff.Command{
		c.poolCommand(set), c.serviceCommand(set), c.accountCommand(set), c.vmCommand(set), c.submitCommand(set), c.demoCommand(),
	}
	return root
}

func (c *cli) operator() operatorv1connect.OperatorServiceClient {
	return client.NewOperator(c.server, client.OperatorOptions{
		Name: fleet.OperatorName(c.name),
		HTTP: &http.Client{Timeout: operatorTimeout},
	})
}

// operatorTimeout bounds one operation.
const operatorTimeout = 30 * time.Second

func (c *cli) demoCommand() *ff.Command {
	return &ff.Command{
		Name: "demo", Usage: "demo", ShortHelp: "run the whole path on loopback and check each step",
		Exec: func(ctx context.Context, _ []string) error {
			return trace.Wrap(demo.Run(ctx, c.output))
		},
	}
}

func exitCode(err error) ExitCode {
	var usage *UsageError
	var failed *connect.Error
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &failed):
		return exitCodeOf(failed.Code())
	default:
		return ExitFailure
	}
}

func exitCodeOf(code connect.Code) ExitCode {
	switch code {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
		return ExitUnavailable
	case connect.CodeInternal, connect.CodeUnknown:
		return ExitFailure
	default:
		return ExitRefused
	}
}
