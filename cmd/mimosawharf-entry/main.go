// Command mimosawharf-entry is the daemon of an entry VM on the platform that package platform supports.
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
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/logging"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
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
	signal.Ignore(syscall.SIGHUP) // Until there is a logger; its default action ends the process.
	flags := ff.NewFlagSet("mimosawharf-entry")
	path := flags.String(0, "settings", os.Getenv(platform.SettingsVariable), "path of the platform's settings file")
	level := flags.StringEnum(0, "log-level", "lowest level of log lines", "info", "debug", "warn", "error")
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
		fmt.Println("settings are valid")
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

// memoryPercent is the share of the platform's memory limit that is set as the Go runtime's soft limit; socket buffers
// count towards the platform's limit too.
const memoryPercent = 60

// gcPercent is how much the heap may grow between two collections. They take a tenth of a holder's processor time at
// a peak otherwise; the soft limit bounds the memory.
const gcPercent = 200

func serve(s platform.Settings, level logging.Level, port int) int {
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(s.MemoryLimit) * memoryPercent / 100)
		debug.SetGCPercent(gcPercent)
	}
	logWriter := logging.NewWriter(os.Stdout, clock.Real())
	log, err := logging.NewRateLimited(logWriter, level)
	if err != nil {
		return usage(err)
	}
	group, dutyContext := duty.NewGroup(context.Background())
	group.Start(dutyContext, logWriter)
	group.Start(dutyContext, newReloadLogger(dutyContext, log))
	ctx, stop := signal.NotifyContext(dutyContext, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	code := exitOK
	if err := platform.NewEntry(s, clock.Real(), log, port).Run(ctx); err != nil {
		log.Error("entry: failed", zap.Error(trace.Unwrap(err)))
		code = exitFailure
	}
	group.Stop()
	if err := group.Wait(); err != nil {
		fmt.Fprintln(os.Stderr, "mimosawharf-entry:", trace.Unwrap(err))
		code = exitFailure
	}
	logWriter.Flush()
	return code
}

// reloadLogger is the duty that logs signals to reload the settings file. The settings that a running process uses
// do not change, so it does nothing else.
type reloadLogger struct {
	log *zap.Logger
	// next ends with the next signal. A handler is registered from the construction on: the default action of the
	// signal ends the process.
	next context.Context
	stop context.CancelFunc
}

func newReloadLogger(ctx context.Context, log *zap.Logger) *reloadLogger {
	r := &reloadLogger{log: log}
	r.next, r.stop = signal.NotifyContext(ctx, syscall.SIGHUP)
	return r
}

// Name implements duty.Duty.
func (*reloadLogger) Name() fleet.DutyName { return "reloads" }

// Run implements duty.Duty.
func (r *reloadLogger) Run(ctx context.Context) error {
	defer func() { r.stop() }()
	for {
		<-r.next.Done()
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
		stop := r.stop
		r.next, r.stop = signal.NotifyContext(ctx, syscall.SIGHUP)
		stop() // The next handler is registered already.
		r.log.Info("entry: settings file has changed, restart to apply it")
	}
}
