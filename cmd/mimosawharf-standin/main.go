// Command mimosawharf-standin runs the stand-ins for the platform, for an endpoint and for callers as
// processes.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/standin"
	"github.com/mimosawharf/mimosawharf/internal/standin/load"
)

// Exit codes of the program.
const (
	exitOK       = 0
	exitFindings = 1
	exitUsage    = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := standin.Run(ctx, os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "mimosawharf-standin:", trace.Unwrap(err))
		var findings *load.FindingsError
		if errors.As(err, &findings) {
			os.Exit(exitFindings)
		}
		os.Exit(exitUsage)
	}
	os.Exit(exitOK)
}
