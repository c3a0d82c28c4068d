package settings_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/settings"
)

// Guards against arguments that make the parser panic or fail without a typed error, and against errors
// that do not name a flag on each line.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, text string) {
		is := is.New(t)
		_, err := settings.Parse("mimosawharfd", strings.Split(text, "\n"))
		var (
			invalid *settings.InvalidError
			usage   *settings.UsageError
			help    *settings.HelpError
		)
		is.True(err == nil || errors.As(err, &invalid) || errors.As(err, &usage) || errors.As(err, &help))
		if invalid != nil {
			for _, line := range strings.Split(invalid.Error(), "\n") {
				is.True(strings.HasPrefix(line, "--"))
			}
		}
	})
}
