// Command mimosawharfd is the daemon that runs on each entry VM.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/daemon"
	"github.com/mimosawharf/mimosawharf/internal/logging"
	"github.com/mimosawharf/mimosawharf/internal/settings"
)

// Exit codes of the daemon.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	os.Exit(run())
}

func run() int {
	s, err := settings.Parse("mimosawharfd", os.Args[1:])
	var help *settings.HelpError
	if errors.As(err, &help) {
		fmt.Println(help.Text)
		return exitOK
	}
	if err != nil {
		// An InvalidError has one line for each setting.
		for _, line := range strings.Split(trace.Unwrap(err).Error(), "\n") {
			fmt.Fprintln(os.Stderr, "mimosawharfd:", line)
		}
		return exitUsage
	}
	log, err := logging.New(logging.Format(s.LogFormat), logging.Level(s.LogLevel))
	if err != nil {
		fmt.Fprintln(os.Stderr, "mimosawharfd:", trace.Unwrap(err))
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d := &daemon.Daemon{Settings: s, Clock: clock.Real(), Log: log}
	if err := d.Run(ctx); err != nil {
		log.Error("daemon: failed", zap.Error(trace.Unwrap(err)))
		return exitFailure
	}
	return exitOK
}
