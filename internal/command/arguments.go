package command

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"
)

// order sets the flags and returns the commands and operands, because the flag set itself ends flags at
// the first operand. It returns *UsageError for an unknown command or flag.
func order(root *ff.Command, arguments []string) ([]string, error) {
	o := &ordering{command: root, path: root.Name}
	for len(arguments) > 0 {
		argument := arguments[0]
		arguments = arguments[1:]
		switch {
		case argument == "--":
			o.operands = append(o.operands, arguments...)
			arguments = nil
		case len(argument) > 1 && strings.HasPrefix(argument, "-"):
			o.flags = append(o.flags, pendingFlag{text: argument})
			if takesNext(root, argument) && len(arguments) > 0 {
				o.flags[len(o.flags)-1].value, o.flags[len(o.flags)-1].hasValue = arguments[0], true
				arguments = arguments[1:]
			}
		default:
			if err := o.word(argument); err != nil {
				return nil, trace.Wrap(err)
			}
		}
	}
	return o.result()
}

type pendingFlag struct {
	text     string
	value    string
	hasValue bool
}

type ordering struct {
	command  *ff.Command
	path     string
	names    []string
	flags    []pendingFlag
	operands []string
}

// word takes the name of a command or an operand.
func (o *ordering) word(word string) error {
	if len(o.command.Subcommands) == 0 {
		o.operands = append(o.operands, word)
		return nil
	}
	var known []string
	for _, c := range o.command.Subcommands {
		if c.Name == word {
			o.command, o.path, o.names = c, o.path+" "+word, append(o.names, word)
			return nil
		}
		known = append(known, c.Name)
	}
	return trace.Wrap(&UsageError{Problem: fmt.Sprintf("unknown command %q: use %s with one of %s", word, o.path, strings.Join(known, ", "))})
}

// result sets the flags and returns the names of the commands and the operands.
func (o *ordering) result() ([]string, error) {
	for _, f := range o.flags {
		if f.text == "-h" || f.text == "--help" {
			return append(o.names, "--help"), nil
		}
	}
	for _, f := range o.flags {
		if err := o.set(f); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return append(append(o.names, "--"), o.operands...), nil
}

// set sets a flag of the command. The flag set's own parser takes "--name=" as a flag without a value.
func (o *ordering) set(f pendingFlag) error {
	name, value, assigned := strings.Cut(strings.TrimPrefix(f.text, "--"), "=")
	flag, ok := o.command.Flags.GetFlag(name)
	switch {
	case !ok || !strings.HasPrefix(f.text, "--"):
		return o.wrong("unknown flag " + f.text)
	case assigned:
	case f.hasValue:
		value = f.value
	case isBool(flag):
		value = "true"
	default:
		return o.wrong("flag --" + name + " needs a value")
	}
	if err := flag.SetValue(value); err != nil {
		return o.wrong(fmt.Sprintf("flag --%s: value %q is not valid (%s)", name, value, strings.TrimSuffix(flag.GetUsage(), ".")))
	}
	return nil
}

func (o *ordering) wrong(problem string) error {
	return trace.Wrap(&UsageError{Problem: fmt.Sprintf("%s: run %s --help", problem, o.path)})
}

// takesNext reports whether a flag takes the next argument as its value. Flags of the same name take
// values alike in all commands.
func takesNext(c *ff.Command, argument string) bool {
	if strings.Contains(argument, "=") {
		return false
	}
	if f, ok := c.Flags.GetFlag(strings.TrimPrefix(argument, "--")); ok {
		return !isBool(f)
	}
	for _, sub := range c.Subcommands {
		if takesNext(sub, argument) {
			return true
		}
	}
	return false
}

// isBool reports whether a flag needs no value; only such flags have no placeholder.
func isBool(f ff.Flag) bool { return f.GetPlaceholder() == "" }
