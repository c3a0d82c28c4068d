package settings_test

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/settings"
	optionsv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/options/v1"
	settingsv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/settings/v1"
)

// validArguments returns arguments with which the daemon starts.
func validArguments() []string {
	return []string{"--entry-id", "entry-a", "--zone", "zone-a", "--insecure"}
}

// invalidValue is a value that a setting must refuse, with the bound and the unit that its error names.
type invalidValue struct{ flag, value, bound, unit string }

// invalidValues returns invalid values of every setting of the schema.
func invalidValues(t *testing.T) []invalidValue {
	var list []invalidValue
	fields := (&settingsv1.Settings{}).ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		s, ok := proto.GetExtension(fields.Get(i).Options(), optionsv1.E_Setting).(*optionsv1.Setting)
		is.New(t).True(ok && s != nil) // every field is a setting
		flag := strings.ReplaceAll(string(fields.Get(i).Name()), "_", "-")
		add := func(value, bound string) { list = append(list, invalidValue{flag, value, bound, s.GetUnit()}) }
		switch {
		case s.GetMin() != "":
			bounds := "from " + s.GetMin() + " to " + s.GetMax()
			for _, value := range []string{beyond(t, s.GetMin(), -1), beyond(t, s.GetMax(), 1), "many", "1e400", "99999999999999999999"} {
				add(value, bounds)
			}
		case len(s.GetValues()) > 0:
			add("loud", "one of "+strings.Join(s.GetValues(), ", "))
		case s.GetDefault() == "false":
			add("maybe", "true or false")
		case s.GetUnit() == "ip:port":
			add("localhost:1", "an IP address and a port")
			add("127.0.0.1", "an IP address and a port")
		case s.GetUnit() == "url":
			add("127.0.0.1:1", "http://")
		case strings.HasPrefix(s.GetUnit(), "id@"):
			add("entry-b@zone-b", "id@zone@ip:port")
			add("entry-a@zone-a@127.0.0.1:1", "not this entry")
		case s.GetUnit() == "":
			add("Upper Case", "lower-case letters")
		}
		if s.GetRequired() {
			add("", "a value")
		}
	}
	return list
}

// beyond returns the value one step outside a bound.
func beyond(t *testing.T, bound string, step int64) string {
	if n, err := strconv.ParseInt(bound, 10, 64); err == nil {
		return fmt.Sprint(n + step)
	}
	d, err := time.ParseDuration(bound)
	is.New(t).NoErr(err)
	return (d + time.Duration(step)).String()
}

// Guards against an invalid setting that is accepted, or whose error lacks the flag, value, bound or unit.
func TestInvalidValueIsReportedInOneLine(t *testing.T) {
	cases := invalidValues(t)
	is.New(t).True(len(cases) > 150) // no field was skipped
	for _, c := range cases {
		variable := settings.EnvironmentPrefix + "_" + strings.ToUpper(strings.ReplaceAll(c.flag, "-", "_"))
		t.Run(c.flag+" "+c.value, func(t *testing.T) {
			_, err := settings.Parse("test", append(validArguments(), "--"+c.flag+"="+c.value))
			checkLine(t, c, err)
			t.Setenv(variable, c.value)
			others := validArguments()
			if i := slices.Index(others, "--"+c.flag); i >= 0 {
				others = slices.Delete(others, i, min(i+2, len(others)))
			}
			_, err = settings.Parse("test", others)
			checkLine(t, c, err)
		})
	}
}

func checkLine(t *testing.T, c invalidValue, err error) {
	is := is.New(t)
	is.Helper()
	var invalid *settings.InvalidError
	is.True(errors.As(err, &invalid))
	line := invalid.Error()
	is.Equal(len(invalid.Values), 1)
	is.True(!strings.Contains(line, "\n"))
	is.True(strings.Contains(line, "--"+c.flag+":"))
	is.True(strings.Contains(line, strconv.Quote(c.value)))
	is.True(strings.Contains(line, c.bound))
	is.True(strings.Contains(line, c.unit))
}

// Guards against contradictory settings that are accepted, and against errors that list only one of
// several invalid settings.
func TestSettingsAreCheckedTogether(t *testing.T) {
	cases := []struct {
		name      string
		arguments string
		want      []string
	}{
		{"no TLS", "--insecure=false", []string{"--tls-cert-file"}},
		{"shared port", "--operator-address 127.0.0.1:7400", []string{"--operator-address"}},
		{"list age below interval", "--vm-list-max-age 2s --vm-list-interval 3s", []string{"--vm-list-max-age"}},
		{"peer twice", "--peers b@z@127.0.0.1:1,b@z@127.0.0.1:2", []string{"--peers"}},
		{"three at once", "--zone= --call-workers 0 --log-level loud", []string{"--zone", "--log-level", "--call-workers"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := settings.Parse("test", append(validArguments(), strings.Fields(c.arguments)...))
			var invalid *settings.InvalidError
			is.True(errors.As(err, &invalid))
			is.Equal(len(strings.Split(invalid.Error(), "\n")), len(c.want))
			for i, flag := range c.want {
				is.True(strings.HasPrefix(strings.Split(invalid.Error(), "\n")[i], flag+":"))
			}
		})
	}
}

// Guards against unknown flags, stray arguments and flags without a value that are ignored.
func TestArgumentsThatAreNotSettings(t *testing.T) {
	for _, arguments := range []string{"--frob 1", "stray", "--zone", "-x"} {
		t.Run(arguments, func(t *testing.T) {
			is := is.New(t)
			_, err := settings.Parse("test", append(validArguments(), strings.Fields(arguments)...))
			var usage *settings.UsageError
			is.True(errors.As(err, &usage))
			is.True(!strings.Contains(usage.Error(), "\n"))
		})
	}
	_, err := settings.Parse("test", validArguments())
	is.New(t).NoErr(err)
}
