package command

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"

	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// leaf describes a command without subcommands.
type leaf struct {
	// path names the command from the root, such as "vm drain".
	path string
	// operands describes the arguments that are not flags.
	operands string
	// minOperands and maxOperands bound the number of operands; a maxOperands of -1 means no bound.
	minOperands, maxOperands int
	help                     string
	// example is a whole command line without the program's name.
	example string
	flags   *ff.FlagSet
	run     func(ctx context.Context, operands []string) error
}

func (l leaf) command() *ff.Command {
	name := l.path[strings.LastIndex(l.path, " ")+1:]
	return &ff.Command{
		Name: name, Usage: strings.TrimSpace("mimosawharf " + l.path + " [flags] " + l.operands), ShortHelp: l.help,
		LongHelp: sentence(l.help) + "\n\nExample:\n  mimosawharf " + l.example, Flags: l.flags,
		Exec: func(ctx context.Context, operands []string) error {
			if len(operands) < l.minOperands || l.maxOperands >= 0 && len(operands) > l.maxOperands {
				want := l.operands
				if want == "" {
					want = "no arguments"
				}
				return trace.Wrap(&UsageError{Problem: fmt.Sprintf("%s: want %s, got %d: for example mimosawharf %s", l.path, want, len(operands), l.example)})
			}
			return l.run(ctx, operands)
		},
	}
}

func sentence(help string) string { return strings.ToUpper(help[:1]) + help[1:] + "." }

// group returns a command that consists of subcommands.
func group(parent *ff.FlagSet, name, help, example string, leaves ...leaf) *ff.Command {
	g := &ff.Command{
		Name: name, Usage: "mimosawharf " + name + " <command>", ShortHelp: help,
		LongHelp: sentence(help) + "\n\nExample:\n  mimosawharf " + example, Flags: ff.NewFlagSet(name).SetParent(parent),
	}
	for _, l := range leaves {
		g.Subcommands = append(g.Subcommands, l.command())
	}
	return g
}

// changeOptions holds the flags of commands that make a change.
type changeOptions struct {
	reason, id *string
}

func changeFlags(set *ff.FlagSet) changeOptions {
	return changeOptions{
		reason: set.StringLong("reason", "", "Reason for the audit trail."),
		id:     set.StringLong("operation-id", "", "Id under which the change takes effect once; chosen when empty."),
	}
}

// operation returns the operation of one change. A change without an id gets one here, so that an error
// can name it when the effect is not known.
func (c changeOptions) operation() *operatorv1.Operation {
	if *c.id == "" {
		*c.id = string(fleet.NewOperationID())
	}
	return &operatorv1.Operation{Id: *c.id, Reason: *c.reason}
}

// readInput reads a file; "-" is the standard input.
func readInput(path string) ([]byte, error) {
	if path == "-" {
		path = "/dev/stdin"
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(&UsageError{Problem: err.Error() + ": name a file that can be read, or - for the standard input"})
	}
	return data, nil
}

// parseInstant parses a time in RFC 3339, or a duration from now in the direction of sign. An empty text
// is the zero time.
func parseInstant(flag, text string, now time.Time, sign time.Duration) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(sign * d), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, trace.Wrap(&UsageError{Problem: fmt.Sprintf("--%s: value %q: want a duration such as 2h, or a time such as 2030-01-31T06:00:00Z", flag, text)})
	}
	return t, nil
}

// Signs for parseInstant.
const (
	past   time.Duration = -1
	future time.Duration = 1
)
