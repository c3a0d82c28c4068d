// Package command implements the operators' command line.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/pkg/client"
)

// Format is the format of output.
type Format string

// Formats of output.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
)

// cli holds the state that all commands share.
type cli struct {
	output io.Writer
	clock  clock.Clock
	server string
	caller string
	jobs   string
	name   string
	format string
	files  client.TLSFiles
	// callerAuthority is the file of the authorities trusted for the entries' address for callers.
	callerAuthority string
	// target is the flag and the value that name the entry of the last client, for errors.
	target string
}

// Program is the command line. Its fields are set before Run.
type Program struct {
	Output, Errors io.Writer
	Clock          clock.Clock
}

// Run runs the command that the arguments name with the system clock.
func Run(ctx context.Context, arguments []string, output, errorOutput io.Writer) ExitCode {
	return Program{Output: output, Errors: errorOutput, Clock: clock.Real()}.Run(ctx, arguments)
}

// Run runs the command that the arguments name and returns its exit code.
func (p Program) Run(ctx context.Context, arguments []string) ExitCode {
	c := &cli{output: p.Output, clock: p.Clock}
	set := c.rootFlags()
	root := c.root(set)
	err := useEnvironment(set)
	if err == nil {
		err = parseAndRun(ctx, root, arguments)
	}
	if errors.Is(err, ff.ErrHelp) || errors.Is(err, ff.ErrNoExec) {
		_, _ = fmt.Fprintln(p.Output, ffhelp.Command(root.GetSelected()))
		return ExitOK
	}
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(p.Errors, "mimosawharf:", c.errorText(err))
	return exitCode(err)
}

func parseAndRun(ctx context.Context, root *ff.Command, arguments []string) error {
	rest, err := extractFlags(root, arguments)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := root.Parse(rest); err != nil {
		if errors.Is(err, ff.ErrHelp) {
			return trace.Wrap(err)
		}
		return trace.Wrap(&UsageError{Problem: err.Error()})
	}
	return root.Run(ctx)
}

func (c *cli) rootFlags() *ff.FlagSet {
	set := ff.NewFlagSet("mimosawharf")
	set.StringVar(&c.server, 0, "server", "http://127.0.0.1:7401", "URL of an entry for operators.")
	set.StringVar(&c.caller, 0, "caller-server", "http://127.0.0.1:7400", "URL of an entry for callers.")
	set.StringVar(&c.jobs, 0, "job-server", "http://127.0.0.1:7404", "URL of an entry for jobs.")
	set.StringVar(&c.name, 0, "operator", os.Getenv("USER"), "Name of the operator where the daemon runs without TLS.")
	set.StringEnumVar(&c.format, 0, "output", "Format of output: table or json.", string(FormatTable), string(FormatJSON))
	set.StringVar(&c.files.Certificate, 0, "tls-cert-file", "", "Certificate of the operator, PEM.")
	set.StringVar(&c.files.Key, 0, "tls-key-file", "", "Private key of the operator, PEM.")
	set.StringVar(&c.files.Authority, 0, "tls-ca-file", "", "Authorities trusted for entries, PEM.")
	set.StringVar(&c.callerAuthority, 0, "caller-tls-ca-file", "", "Authorities trusted for entries by submit and cancel, PEM.")
	return set
}

// environmentPrefix is the prefix of the environment variables of the common flags.
const environmentPrefix = "MIMOSAWHARF_"

// useEnvironment sets the common flags from the environment. The flags of single commands are excluded,
// because the environment of a daemon, such as its zone, would silently narrow what commands show.
func useEnvironment(set *ff.FlagSet) error {
	return set.WalkFlags(func(f ff.Flag) error {
		name, _ := f.GetLongName()
		variable := environmentPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
		value, ok := os.LookupEnv(variable)
		if !ok {
			return nil
		}
		if err := f.SetValue(value); err != nil {
			return trace.Wrap(&UsageError{Problem: fmt.Sprintf("%s: value %q: %s", variable, value, f.GetUsage())})
		}
		return nil
	})
}

const rootHelp = `Operates pools, services, client accounts, VMs, budgets and maintenance waves
through any entry. Flags may stand before or after other arguments. The flags
below are also read from MIMOSAWHARF_SERVER, MIMOSAWHARF_OUTPUT and so on.

Exit codes:
  0  done
  1  failed, or the work itself failed
  2  wrong arguments; nothing was asked of the entry
  3  refused, or not run; nothing was changed
  4  no answer; the effect is not known: run again with the same --operation-id

Example:
  mimosawharf --server https://10.0.0.5:7401 status`

func (c *cli) root(set *ff.FlagSet) *ff.Command {
	root := &ff.Command{Name: "mimosawharf", Usage: "mimosawharf [flags] <command>", LongHelp: rootHelp, Flags: set}
	root.Subcommands = []*ff.Command{
		c.statusCommand(set), c.poolCommands(set), c.budgetCommands(set), c.serviceCommands(set), c.accountCommands(set),
		c.vmCommands(set), c.waveCommands(set), c.configCommands(set), c.auditCommands(set),
		c.submitCommand(set), c.cancelCommand(set), c.jobCommands(set), c.explainCommand(set), c.demoCommand(set), c.completionCommand(set, root), c.versionCommand(set),
	}
	return root
}
