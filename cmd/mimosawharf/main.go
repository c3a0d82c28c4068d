// Command mimosawharf is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/mimosawharf/mimosawharf/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}
