// Package logging creates the loggers of the programs.
package logging

import (
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Format is the format of log lines.
type Format string

// Formats of log lines.
const (
	FormatJSON    Format = "json"
	FormatConsole Format = "console"
)

// Level is the lowest level that is logged: debug, info, warn or error.
type Level string

// ConfigError reports a format or level that does not exist.
type ConfigError struct {
	Cause error
}

// Error implements error.
func (e *ConfigError) Error() string { return "logger: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Cause }

// New returns a logger that writes to standard error. Values are escaped, so that untrusted text cannot
// forge a line. It returns *ConfigError.
func New(format Format, level Level) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(string(level))
	if err != nil {
		return nil, trace.Wrap(&ConfigError{Cause: err})
	}
	config := zap.NewProductionConfig()
	config.Encoding = string(format)
	config.Level = zap.NewAtomicLevelAt(parsed)
	config.DisableStacktrace = true
	config.DisableCaller = true
	config.Sampling = nil
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	log, err := config.Build()
	if err != nil {
		return nil, trace.Wrap(&ConfigError{Cause: err})
	}
	return log, nil
}
