package command

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	configv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/config/v1"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1/operatorv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// configOptions holds the flags of commands that change the configuration.
type configOptions struct {
	changeOptions
	dryRun *bool
}

func (c *cli) configFlags(set *ff.FlagSet) configOptions {
	return configOptions{changeOptions: changeFlags(set), dryRun: set.BoolLong("dry-run", "Show the effect and change nothing.")}
}

// configuration returns the configuration in force at the entry.
func (c *cli) configuration(ctx context.Context) (*configv1.Configuration, error) {
	response, err := call(ctx, c, operatorv1connect.OperatorServiceClient.GetConfiguration, &operatorv1.GetConfigurationRequest{})
	return response.GetConfiguration(), trace.Wrap(err)
}

// apply commits a change of the configuration, or shows its effect, and prints the response.
func (c *cli) apply(ctx context.Context, options configOptions, m *operatorv1.ApplyConfigurationRequest) error {
	m.Operation, m.DryRun = options.operation(), *options.dryRun
	response, err := call(ctx, c, operatorv1connect.OperatorServiceClient.ApplyConfiguration, m)
	if err != nil {
		return trace.Wrap(withOperation(m.GetOperation(), err))
	}
	return c.print(response, func(w *tabwriter.Writer) { writeApplied(w, response, m.GetDryRun()) })
}

func (c *cli) applyOne(ctx context.Context, options configOptions, change *configv1.Change) error {
	return c.apply(ctx, options, &operatorv1.ApplyConfigurationRequest{Changes: []*configv1.Change{change}})
}

func writeApplied(w *tabwriter.Writer, m *operatorv1.ApplyConfigurationResponse, dryRun bool) {
	for _, d := range m.GetDifferences() {
		from, to := d.GetFrom(), d.GetTo()
		if from == "" {
			from = "-"
		}
		if to == "" {
			to = "-"
		}
		writeRow(w, d.GetItem(), d.GetField(), from+" -> "+to)
	}
	for _, warning := range m.GetWarnings() {
		_, _ = fmt.Fprintln(w, "warning:", warning)
	}
	if dryRun {
		_, _ = fmt.Fprintf(w, "dry run: nothing was changed; the change would become revision %d\n", m.GetRevision())
		return
	}
	_, _ = fmt.Fprintf(w, "configuration revision %d accepted\n", m.GetRevision())
}

// Retries of an edit whose base revision is outdated. The entry learns of a change that was made through
// another entry within about a second.
const (
	editAttempts   = 5
	editRetryDelay = 400 * time.Millisecond
)

// edit reads the configuration, makes a change of it and commits it against the revision that was read.
func (c *cli) edit(ctx context.Context, options configOptions, modify func(*configv1.Configuration) (*configv1.Change, error)) error {
	var err error
	for range editAttempts {
		current, readErr := c.configuration(ctx)
		if readErr != nil {
			return trace.Wrap(readErr)
		}
		change, editErr := modify(current)
		if editErr != nil {
			return trace.Wrap(editErr)
		}
		err = c.apply(ctx, options, &operatorv1.ApplyConfigurationRequest{
			Changes: []*configv1.Change{change}, BaseRevision: current.GetRevision(),
		})
		if connect.CodeOf(err) != connect.CodeFailedPrecondition {
			return trace.Wrap(err)
		}
		if waitErr := clock.Wait(ctx, c.clock, editRetryDelay); waitErr != nil {
			return trace.Wrap(waitErr)
		}
	}
	return trace.Wrap(err)
}

// withOperation adds the operation's id to the error of a failed call; other errors stay unchanged.
func withOperation(operation *operatorv1.Operation, err error) error {
	var failed *connect.Error
	if !errors.As(err, &failed) {
		return err
	}
	return &OperationError{ID: fleet.OperationID(operation.GetId()), Cause: failed}
}

func notFoundError(kind, id string) error {
	return &OutcomeError{Code: ExitRefused, Problem: fmt.Sprintf("%s %s does not exist: mimosawharf %s list shows what does", kind, id, kind)}
}

// find returns the item with an id.
func find[T any](items []T, id func(T) string, wanted string) (T, bool) {
	var zero T
	i := slices.IndexFunc(items, func(item T) bool { return id(item) == wanted })
	if i < 0 {
		return zero, false
	}
	return items[i], true
}

// itemKind describes one kind of configuration items for the commands list, show and delete.
type itemKind[T proto.Message] struct {
	name  string
	items func(*configv1.Configuration) []T
	id    func(T) string
	write func(*tabwriter.Writer, []T)
	// wrap returns a configuration that contains only the items.
	wrap func([]T) *configv1.Configuration
	// remove returns the change that deletes an item.
	remove func(id string) *configv1.Change
}

// itemCommands returns the commands list, show and delete.
func itemCommands[T proto.Message](c *cli, parent *ff.FlagSet, k itemKind[T]) []leaf {
	set := ff.NewFlagSet("delete").SetParent(parent)
	options := c.configFlags(set)
	return []leaf{
		{
			path: k.name + " list", help: "list all items of the kind " + k.name, example: k.name + " list --output json",
			flags: ff.NewFlagSet("list").SetParent(parent),
			run: func(ctx context.Context, _ []string) error {
				current, err := c.configuration(ctx)
				if err != nil {
					return trace.Wrap(err)
				}
				items := k.items(current)
				return c.print(k.wrap(items), func(w *tabwriter.Writer) { k.write(w, items) })
			},
		},
		{
			path: k.name + " show", operands: "<" + k.name + ">", minOperands: 1, maxOperands: 1, help: "show one " + k.name, example: k.name + " show storm-desk",
			flags: ff.NewFlagSet("show").SetParent(parent),
			run: func(ctx context.Context, operands []string) error {
				current, err := c.configuration(ctx)
				if err != nil {
					return trace.Wrap(err)
				}
				item, ok := find(k.items(current), k.id, operands[0])
				if !ok {
					return trace.Wrap(notFoundError(k.name, operands[0]))
				}
				return c.print(item, func(w *tabwriter.Writer) { k.write(w, []T{item}) })
			},
		},
		{
			path: k.name + " delete", operands: "<" + k.name + ">", minOperands: 1, maxOperands: 1, help: "delete one " + k.name, flags: set,
			example: k.name + " delete --dry-run storm-desk",
			run: func(ctx context.Context, operands []string) error {
				return c.applyOne(ctx, options, k.remove(operands[0]))
			},
		},
	}
}
