// Command mimosawharf-standin runs the stand-ins for the platform and for an endpoint as processes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/standin"
)

// Exit codes of the program.
const (
	exitOK    = 0
	exitUsage = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := standin.Run(ctx, os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "mimosawharf-standin:", trace.Unwrap(err))
		os.Exit(exitUsage)
	}
	os.Exit(exitOK)
}
