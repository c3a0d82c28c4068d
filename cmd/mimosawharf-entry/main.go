// Command mimosawharf-entry is the daemon of an entry VM on the users' platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/logging"
	"github.com/mimosawharf/mimosawharf/platform"
)

// Exit codes of the daemon.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// defaultMetricsPort is the port that deploy/system.toml names.
const defaultMetricsPort = 9464

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(arguments []string) int {
	flags := ff.NewFlagSet("mimosawharf-entry")
	path := flags.String(0, "settings", os.Getenv(platform.SettingsVariable), "path of the platform's settings file")
	level := flags.StringEnum(0, "log-level", "lowest level that is logged", "info", "debug", "warn", "error")
	port := flags.Int(0, "metrics-port", defaultMetricsPort, "port of the metrics page")
	check := flags.Bool(0, "check", "check the settings and exit")
	if err := ff.Parse(flags, arguments, ff.WithEnvVarPrefix("MIMOSAWHARF")); err != nil {
		return usage(err)
	}
	s, err := platform.ReadSettings(*path)
	if err != nil {
		return usage(err)
	}
	if *check {
		fmt.Println("settings are usable")
		return exitOK
	}
	return serve(s, logging.Level(*level), *port)
}

func usage(err error) int {
	for _, line := range strings.Split(trace.Unwrap(err).Error(), "; ") {
		fmt.Fprintln(os.Stderr, "mimosawharf-entry:", line)
	}
	return exitUsage
}

// memoryPercent is the share of the platform's memory limit at which the collector works harder; buffers
// of sockets count towards the limit too.
const memoryPercent = 60

func serve(s platform.Settings, level logging.Level, port int) int {
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(s.MemoryLimit) * memoryPercent / 100)
	}
	lines := logging.NewWriter(os.Stdout, clock.Real())
	log, err := logging.NewBounded(lines, level)
	if err != nil {
		return usage(err)
	}
	writing, stopWriting := context.WithCancel(context.Background())
	go func() { _ = lines.Run(writing) }() // Ends with its context only.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// The settings of a running process do not change in a way that matters; the signal only says so.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go func() {
		for range reload {
			log.Info("entry: settings file has changed, a restart applies it")
		}
	}()
	code := exitOK
	if err := platform.NewEntry(s, clock.Real(), log, port).Run(ctx); err != nil {
		log.Error("entry: failed", zap.Error(trace.Unwrap(err)))
		code = exitFailure
	}
	stopWriting()
	lines.Flush()
	return code
}
