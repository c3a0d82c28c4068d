// Package settings holds the settings of mimosawharfd, which are generated from the schema, and
// reads them from flags and environment variables.
package settings

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

// EnvironmentPrefix is the prefix of each environment variable.
const EnvironmentPrefix = "MIMOSAWHARF"

// ValueError reports a setting that is out of bounds.
type ValueError struct {
	Flag  string
	Value string
	// Bound describes the allowed values.
	Bound string
	Unit  string
}

// Error implements error. It is one line.
func (e *ValueError) Error() string {
	if e.Unit == "" {
		return fmt.Sprintf("--%s: value %q: want %s", e.Flag, e.Value, e.Bound)
	}
	return fmt.Sprintf("--%s: value %q: want %s (%s)", e.Flag, e.Value, e.Bound, e.Unit)
}

// InvalidError lists all settings that are out of bounds.
type InvalidError struct {
	Values []*ValueError
}

// Error implements error. It has one line for each setting.
func (e *InvalidError) Error() string {
	var lines []string
	for _, v := range e.Values {
		lines = append(lines, v.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the settings that are out of bounds.
func (e *InvalidError) Unwrap() []error {
	var list []error
	for _, v := range e.Values {
		list = append(list, v)
	}
	return list
}

// UsageError reports arguments that are not settings.
type UsageError struct {
	Problem string
}

// Error implements error. It is one line.
func (e *UsageError) Error() string { return e.Problem }

// HelpError reports that help was requested. The caller prints Text and exits with code 0.
type HelpError struct {
	Text string
}

// Error implements error.
func (e *HelpError) Error() string { return e.Text }

// field describes one setting. Its values are generated.
type field struct {
	flag     string
	initial  string
	unit     string
	help     string
	lowest   string
	highest  string
	required bool
	// boolean settings need no value on the command line.
	boolean bool
	values  []string
	set     func(s *Settings, f field, text string) error
}

// Parse reads the settings of the named program from arguments and environment; an argument takes
// precedence. It returns *InvalidError, *UsageError or *HelpError.
func Parse(program string, arguments []string) (Settings, error) {
	set := ff.NewFlagSet(program)
	values := make([]rawValue, len(fields))
	for i, f := range fields {
		values[i] = rawValue{value: f.initial, boolean: f.boolean}
		if _, err := set.AddFlag(ff.FlagConfig{LongName: f.flag, Usage: f.usage(), Value: &values[i]}); err != nil {
			return Settings{}, trace.Wrap(&UsageError{Problem: err.Error()})
		}
	}
	arguments, err := splitAssignments(arguments)
	if err != nil {
		return Settings{}, trace.Wrap(err)
	}
	err = ff.Parse(set, arguments, ff.WithEnvVarPrefix(EnvironmentPrefix))
	if errors.Is(err, ff.ErrHelp) {
		return Settings{}, trace.Wrap(&HelpError{Text: ffhelp.Flags(set).String()})
	}
	if err != nil {
		return Settings{}, trace.Wrap(&UsageError{Problem: err.Error()})
	}
	if unexpected := set.GetArgs(); len(unexpected) > 0 {
		return Settings{}, trace.Wrap(&UsageError{Problem: fmt.Sprintf("unexpected argument %q", unexpected[0])})
	}
	return build(values)
}

// Defaults returns the default settings as modified by change, which sets the required ones. It is for
// tests and the demo.
func Defaults(change func(*Settings)) (Settings, error) {
	var s Settings
	for _, f := range fields {
		if err := f.set(&s, f, f.initial); err != nil && !f.required {
			return Settings{}, trace.Wrap(err)
		}
	}
	change(&s)
	return s, invalidError(s.problems(nil))
}

// rawValue is the value of a flag before it is checked.
type rawValue struct {
	value   string
	boolean bool
}

// Set implements flag.Value.
func (v *rawValue) Set(value string) error {
	v.value = value
	return nil
}

// String implements flag.Value.
func (v *rawValue) String() string { return v.value }

// IsBoolFlag tells the flag set that the flag needs no value.
func (v *rawValue) IsBoolFlag() bool { return v.boolean }

// splitAssignments turns "--name=value" into two arguments, because the flag set takes "--name=" as a
// flag whose value follows. It returns *UsageError for a last flag without a value.
func splitAssignments(arguments []string) ([]string, error) {
	var list []string
	for i, argument := range arguments {
		name, value, assigned := strings.Cut(strings.TrimPrefix(argument, "--"), "=")
		index := slices.IndexFunc(fields, func(f field) bool { return f.flag == name })
		switch {
		case index < 0 || !strings.HasPrefix(argument, "--") || fields[index].boolean:
			list = append(list, argument)
		case assigned:
			list = append(list, "--"+name, value)
		case i == len(arguments)-1:
			return nil, trace.Wrap(&UsageError{Problem: "--" + name + ": needs a value"})
		default:
			list = append(list, argument)
		}
	}
	return list, nil
}

func build(values []rawValue) (Settings, error) {
	var s Settings
	var wrong []*ValueError
	for i, f := range fields {
		var v *ValueError
		if err := f.set(&s, f, values[i].value); errors.As(err, &v) {
			wrong = append(wrong, v)
		}
	}
	return s, invalidError(append(wrong, s.problems(wrong)...))
}

func invalidError(wrong []*ValueError) error {
	if len(wrong) == 0 {
		return nil
	}
	return trace.Wrap(&InvalidError{Values: wrong})
}

func (f field) usage() string {
	text := f.help
	if f.unit != "" {
		text += " Unit: " + f.unit + "."
	}
	if f.lowest != "" {
		text += " From " + f.lowest + " to " + f.highest + "."
	}
	if len(f.values) > 0 {
		text += " One of " + strings.Join(f.values, ", ") + "."
	}
	return text
}

func (f field) valueError(text, bound string) error {
	return trace.Wrap(&ValueError{Flag: f.flag, Value: text, Bound: bound, Unit: f.unit})
}

func (f field) bounds() string {
	return "from " + f.lowest + " to " + f.highest
}

func parseText[T ~string](f field, text string) (T, error) {
	if f.required && text == "" {
		return "", f.valueError(text, "a value")
	}
	if len(f.values) == 0 {
		return T(text), nil
	}
	for _, v := range f.values {
		if text == v {
			return T(text), nil
		}
	}
	return "", f.valueError(text, "one of "+strings.Join(f.values, ", "))
}

func parseBool(f field, text string) (bool, error) {
	v, err := strconv.ParseBool(text)
	if err != nil {
		return false, f.valueError(text, "true or false")
	}
	return v, nil
}

func parseNumber[T ~int | ~int64 | ~float64](f field, text string) (T, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, f.valueError(text, "a whole number "+f.bounds())
	}
	lowest, _ := strconv.ParseInt(f.lowest, 10, 64)
	highest, _ := strconv.ParseInt(f.highest, 10, 64)
	return T(n), f.within(text, cmp.Compare(n, lowest), cmp.Compare(n, highest))
}

func parseDuration(f field, text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, f.valueError(text, "a duration "+f.bounds())
	}
	lowest, _ := time.ParseDuration(f.lowest)
	highest, _ := time.ParseDuration(f.highest)
	return d, f.within(text, cmp.Compare(d, lowest), cmp.Compare(d, highest))
}

func (f field) within(text string, low, high int) error {
	if low < 0 || high > 0 {
		return f.valueError(text, f.bounds())
	}
	return nil
}
