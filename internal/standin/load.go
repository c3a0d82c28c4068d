package standin

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/standin/load"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

func loadCommand(output io.Writer) *ff.Command {
	set := ff.NewFlagSet("load")
	entries := set.StringLong("entries", "", "Entries, as id@caller-ip:port@health-ip:port,...")
	endpoints := set.StringLong("endpoints", "", "Endpoint stand-ins that the requests run on, as ip:port,...")
	killed := set.StringLong("killed", "", "Ids of entries that are killed during the run, separated by commas.")
	account := set.StringLong("account", "newsroom", "Client account.")
	secret := set.StringLong("secret", "s3cret", "Secret of the account.")
	service := set.StringLong("service", "rota", "Service.")
	duration := set.DurationLong("duration", 10*time.Minute, "How long new requests are sent.")
	rate := set.Float64Long("rate", 150, "Mean number of new requests per second.")
	workers := set.IntLong("workers", 64, "Callers; each sends one request after the other.")
	seed := set.Uint64Long("seed", 1, "Seed of the mix and the contents; request ids carry it.")
	records := set.StringLong("records", "", "File for one line per request: id, type, outcome, reason and runs.")
	return &ff.Command{
		Name: "load", Usage: "load [flags]", ShortHelp: "send a mixed load and compare its outcomes with what ran", Flags: set,
		Exec: func(ctx context.Context, _ []string) error {
			o := load.Options{
				Killed: load.ParseKilled(*killed), Account: fleet.ClientAccountID(*account), Secret: *secret, Service: fleet.ServiceID(*service),
				Duration: *duration, Rate: fleet.RequestsPerSecond(*rate), Workers: *workers, Seed: *seed, Clock: clock.Real(),
			}
			var err error
			if o.Entries, err = load.ParseEntries(*entries); err != nil {
				return trace.Wrap(err)
			}
			if o.Endpoints, err = load.ParseEndpoints(*endpoints); err != nil {
				return trace.Wrap(err)
			}
			if *records == "" {
				return trace.Wrap(load.Run(ctx, o, output, io.Discard))
			}
			file, err := os.Create(*records)
			if err != nil {
				return trace.Wrap(&UsageError{Problem: "--records: " + err.Error()})
			}
			err = load.Run(ctx, o, output, file)
			if closed := file.Close(); err == nil {
				err = closed
			}
			return trace.Wrap(err)
		},
	}
}
