package command

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/demo"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
)

func (c *cli) demoCommand(parent *ff.FlagSet) *ff.Command {
	return leaf{
		path: "demo", help: "run the whole path on loopback and check each step", example: "demo", flags: ff.NewFlagSet("demo").SetParent(parent),
		run: func(ctx context.Context, _ []string) error {
			if Format(c.format) == FormatTable {
				return trace.Wrap(demo.Run(ctx, c.output, demoPrinter{output: c.output}))
			}
			if err := demo.Run(ctx, io.Discard, demoPrinter{output: io.Discard}); err != nil {
				return trace.Wrap(err)
			}
			return c.printValues(map[string]string{"outcome": "all steps hold"}, nil)
		},
	}.command()
}

// demoPrinter prints the audit trail and the status of an entry of the demo.
type demoPrinter struct {
	output io.Writer
}

func (p demoPrinter) cli(server string) *cli {
	return &cli{output: p.output, clock: clock.Real(), server: server, name: "demo", format: string(FormatTable)}
}

// Audit implements demo.Printer.
func (p demoPrinter) Audit(ctx context.Context, server string) error {
	return p.cli(server).listAudit(ctx, &operatorv1.ListAuditRequest{Limit: maxAuditRows})
}

// Status implements demo.Printer.
func (p demoPrinter) Status(ctx context.Context, server string) error {
	c := p.cli(server)
	m, err := c.status(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	return c.print(m, func(w *tabwriter.Writer) { writeStatus(w, m) })
}

func (c *cli) versionCommand(parent *ff.FlagSet) *ff.Command {
	return leaf{
		path: "version", help: "show the version of this program", example: "version --output json", flags: ff.NewFlagSet("version").SetParent(parent),
		run: func(context.Context, []string) error {
			values := map[string]string{"version": "unknown"}
			if info, ok := debug.ReadBuildInfo(); ok {
				values["version"], values["go"] = info.Main.Version, info.GoVersion
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						values["commit"] = s.Value
					}
				}
			}
			return c.printValues(values, func(w *tabwriter.Writer) {
				_, _ = fmt.Fprintln(w, "mimosawharf", values["version"], values["commit"], values["go"])
			})
		},
	}.command()
}

func (c *cli) completionCommand(parent *ff.FlagSet, root *ff.Command) *ff.Command {
	return leaf{
		path: "completion", operands: "bash|zsh", minOperands: 1, maxOperands: 1, help: "print the completion script of a shell",
		example: "completion bash > ~/.local/share/bash-completion/completions/mimosawharf", flags: ff.NewFlagSet("completion").SetParent(parent),
		run: func(_ context.Context, operands []string) error {
			script := completionScript(root)
			switch operands[0] {
			case "bash":
			case "zsh":
				script = "#compdef mimosawharf\nautoload -U +X bashcompinit && bashcompinit\n" + script
			default:
				return trace.Wrap(&UsageError{Problem: fmt.Sprintf("completion: unknown shell %q: want bash or zsh", operands[0])})
			}
			return c.printValues(map[string]string{"shell": operands[0], "script": script}, func(w *tabwriter.Writer) {
				_, _ = io.WriteString(w, script)
			})
		},
	}.command()
}

const completionFormat = `_mimosawharf() {
  local path="" words="" word
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case "$path/$word" in
      %s) path="$path/$word" ;;
    esac
  done
  case "$path" in
%s  esac
  COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _mimosawharf mimosawharf
`

// completionScript returns a bash script that completes commands and flags.
func completionScript(root *ff.Command) string {
	var paths []string
	var cases strings.Builder
	var walk func(path string, c *ff.Command)
	walk = func(path string, c *ff.Command) {
		var words []string
		for _, sub := range c.Subcommands {
			words = append(words, sub.Name)
		}
		// The function never fails, so neither does the walk.
		_ = c.Flags.WalkFlags(func(f ff.Flag) error {
			name, _ := f.GetLongName()
			words = append(words, "--"+name)
			return nil
		})
		_, _ = fmt.Fprintf(&cases, "    %q) words=%q ;;\n", path, strings.Join(words, " "))
		for _, sub := range c.Subcommands {
			paths = append(paths, path+"/"+sub.Name)
			walk(path+"/"+sub.Name, sub)
		}
	}
	walk("", root)
	slices.Sort(paths)
	return fmt.Sprintf(completionFormat, strings.Join(paths, "|"), cases.String())
}
