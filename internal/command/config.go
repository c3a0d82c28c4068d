package command

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"
	"google.golang.org/protobuf/encoding/protojson"

	configv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/config/v1"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1/operatorv1connect"
)

func (c *cli) configCommands(parent *ff.FlagSet) *ff.Command {
	return group(parent, "config", "manage the configuration as a whole", "config show --output json",
		c.configShow(parent), c.configDiff(parent), c.configApply(parent), c.configStatus(parent))
}

func (c *cli) configShow(parent *ff.FlagSet) leaf {
	return leaf{
		path: "config show", help: "show the configuration in force; with --output json as a file for config apply", example: "config show --output json > config.json",
		flags: ff.NewFlagSet("show").SetParent(parent),
		run: func(ctx context.Context, _ []string) error {
			m, err := c.configuration(ctx)
			if err != nil {
				return trace.Wrap(err)
			}
			return c.print(m, func(w *tabwriter.Writer) {
				_, _ = fmt.Fprintf(w, "revision %d\n\n", m.GetRevision())
				writePools(w, m.GetPools())
				_, _ = fmt.Fprintln(w)
				writeServices(w, m.GetServices())
				_, _ = fmt.Fprintln(w)
				writeAccounts(w, m.GetAccounts())
			})
		},
	}
}

// readConfiguration reads a whole configuration from a file.
func readConfiguration(path string) (*configv1.Configuration, error) {
	data, err := readInput(path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	m := &configv1.Configuration{}
	if err := protojson.Unmarshal(data, m); err != nil {
		return nil, trace.Wrap(&UsageError{Problem: fmt.Sprintf("%s: %s: compare it with mimosawharf config show --output json", path, err)})
	}
	return m, nil
}

func (c *cli) configDiff(parent *ff.FlagSet) leaf {
	set := ff.NewFlagSet("diff").SetParent(parent)
	dryRun := true
	options := configOptions{changeOptions: changeOptions{reason: new(string), id: new(string)}, dryRun: &dryRun}
	return leaf{
		path: "config diff", operands: "<file>", minOperands: 1, maxOperands: 1, help: "compare a file with the configuration in force, and warn of effects", flags: set,
		example: "config diff config.json",
		run: func(ctx context.Context, operands []string) error {
			m, err := readConfiguration(operands[0])
			if err != nil {
				return trace.Wrap(err)
			}
			return c.apply(ctx, options, &operatorv1.ApplyConfigurationRequest{Replace: m})
		},
	}
}

func (c *cli) configApply(parent *ff.FlagSet) leaf {
	set := ff.NewFlagSet("apply").SetParent(parent)
	options := c.configFlags(set)
	base := set.Uint64Long("base-revision", 0, "Revision that the file was made from; 0 takes the revision in the file.")
	force := set.BoolLong("any-base", "Replace the configuration whatever its revision is.")
	return leaf{
		path: "config apply", operands: "<file>", minOperands: 1, maxOperands: 1, help: "replace the whole configuration by a file", flags: set,
		example: "config apply --dry-run config.json",
		run: func(ctx context.Context, operands []string) error {
			m, err := readConfiguration(operands[0])
			if err != nil {
				return trace.Wrap(err)
			}
			request := &operatorv1.ApplyConfigurationRequest{Replace: m, BaseRevision: *base}
			if *base == 0 {
				request.BaseRevision = m.GetRevision()
			}
			if *force {
				request.BaseRevision = 0
			}
			return c.apply(ctx, options, request)
		},
	}
}

func (c *cli) configStatus(parent *ff.FlagSet) leaf {
	return leaf{
		path: "config status", help: "show the revision in force in each entry and since when", example: "config status",
		flags: ff.NewFlagSet("status").SetParent(parent),
		run: func(ctx context.Context, _ []string) error {
			m, err := c.status(ctx)
			if err != nil {
				return trace.Wrap(err)
			}
			return c.print(&operatorv1.GetStatusResponse{Entries: m.GetEntries()}, func(w *tabwriter.Writer) { writeEntries(w, m.GetEntries()) })
		},
	}
}

func (c *cli) status(ctx context.Context) (*operatorv1.GetStatusResponse, error) {
	return call(ctx, c, operatorv1connect.OperatorServiceClient.GetStatus, &operatorv1.GetStatusRequest{})
}
