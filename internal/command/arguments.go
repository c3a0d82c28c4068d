package command

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"
)

// extractFlags sets the flags, wherever they stand, and returns the commands and operands, because the
// flag set itself stops at the first operand. It returns *UsageError for an unknown command or flag.
func extractFlags(root *ff.Command, arguments []string) ([]string, error) {
	e := &extraction{command: root, path: root.Name}
	for len(arguments) > 0 {
		argument := arguments[0]
		arguments = arguments[1:]
		switch {
		case argument == "--":
			e.operands = append(e.operands, arguments...)
			arguments = nil
		case len(argument) > 1 && strings.HasPrefix(argument, "-"):
			e.flags = append(e.flags, pendingFlag{text: argument})
			if takesNext(root, argument) && len(arguments) > 0 {
				e.flags[len(e.flags)-1].value, e.flags[len(e.flags)-1].hasValue = arguments[0], true
				arguments = arguments[1:]
			}
		default:
			if err := e.addWord(argument); err != nil {
				return nil, trace.Wrap(err)
			}
		}
	}
	return e.result()
}

type pendingFlag struct {
	text     string
	value    string
	hasValue bool
}

type extraction struct {
	command  *ff.Command
	path     string
	names    []string
	flags    []pendingFlag
	operands []string
}

// addWord adds the name of a command or an operand.
func (e *extraction) addWord(word string) error {
	if len(e.command.Subcommands) == 0 {
		e.operands = append(e.operands, word)
		return nil
	}
	var known []string
	for _, c := range e.command.Subcommands {
		if c.Name == word {
			e.command, e.path, e.names = c, e.path+" "+word, append(e.names, word)
			return nil
		}
		known = append(known, c.Name)
	}
	return trace.Wrap(&UsageError{Problem: fmt.Sprintf("unknown command %q: use %s with one of %s", word, e.path, strings.Join(known, ", "))})
}

// result sets the flags and returns the names of the commands and the operands.
func (e *extraction) result() ([]string, error) {
	for _, f := range e.flags {
		if f.text == "-h" || f.text == "--help" {
			return append(e.names, "--help"), nil
		}
	}
	for _, f := range e.flags {
		if err := e.set(f); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return append(append(e.names, "--"), e.operands...), nil
}

// set sets a flag of the command. It does not use the flag set's parser, which takes "--name=" as a flag
// without a value.
func (e *extraction) set(f pendingFlag) error {
	name, value, assigned := strings.Cut(strings.TrimPrefix(f.text, "--"), "=")
	flag, ok := e.command.Flags.GetFlag(name)
	switch {
	case !ok || !strings.HasPrefix(f.text, "--"):
		return e.usageError("unknown flag " + f.text)
	case assigned:
	case f.hasValue:
		value = f.value
	case isBool(flag):
		value = "true"
	default:
		return e.usageError("flag --" + name + " needs a value")
	}
	if err := flag.SetValue(value); err != nil {
		return e.usageError(fmt.Sprintf("flag --%s: value %q is not valid (%s)", name, value, strings.TrimSuffix(flag.GetUsage(), ".")))
	}
	return nil
}

func (e *extraction) usageError(problem string) error {
	return trace.Wrap(&UsageError{Problem: fmt.Sprintf("%s: run %s --help", problem, e.path)})
}

// takesNext reports whether a flag takes the next argument as its value. A flag name that takes a value in
// one command does so in all.
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
