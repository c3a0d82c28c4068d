package command_test

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/account"
	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/command"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/jobentry"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/internal/standin/rows"
	"github.com/mimosawharf/mimosawharf/internal/standin/runner"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// startJobEntry runs an entry with one endpoint and returns its URL.
func startJobEntry(t *testing.T) string {
	t.Helper()
	c := clock.Real()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	address := fleet.Address(l.Addr().String())
	is.New(t).NoErr(l.Close())
	e := &jobentry.Entry{
		Name: "entry", Zone: "zone", PeerAddress: address, Clock: c, Log: zap.NewNop(), Grace: 3 * time.Second,
		Bounds: shard.Bounds{MaxLease: 10 * time.Second, StopTime: time.Second, StatusRetention: time.Minute},
		Platform: &runner.Platform{
			Rows: rows.New(c), Capacity: fleet.Capacity{Millicores: 8000, Memory: 8000}, Clock: c,
			Endpoints: []*runner.Endpoint{runner.New(fleet.EndpointProcess{Endpoint: "i-1", StartMillis: 1}, c, 20*time.Millisecond)},
			Config: &holder.Config{
				Version: 1, Queues: []holder.Queue{{Policy: job.Policy{Queue: "plans", Service: "planner", MaxAttempts: 2, Stretch: 2}}},
				Services: []holder.Service{{ID: "planner"}, {ID: "off", Spare: true}},
				Accounts: account.NewDirectory([]fleet.ClientAccount{{ID: "newsroom", Weight: 3, MaxRunning: fleet.Capacity{Millicores: 2000}}}),
			},
		},
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = e.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	return "http://" + string(address)
}

// Guards against commands whose arguments, output or exit codes do not match the entry's job service.
func TestJobCommands(t *testing.T) {
	is := is.New(t)
	server := startJobEntry(t)
	file := filepath.Join(t.TempDir(), "job.json")
	is.NoErr(os.WriteFile(file, []byte(`{"id":"0123456789abcdef","queue":"plans","account":"newsroom","steps":[{"tasks":2,"demand":{"millicores":"1000","memory-mb":"100"}}]}`), 0o600))
	run := func(arguments ...string) (command.ExitCode, string) {
		var out, problems bytes.Buffer
		code := command.Program{Output: &out, Errors: &problems, Clock: clock.Real()}.Run(context.Background(), append([]string{"--job-server", server}, arguments...))
		return code, out.String() + problems.String()
	}
	until := func(want string, arguments ...string) {
		t.Helper()
		var text string
		for range 200 {
			if _, text = run(arguments...); strings.Contains(text, want) {
				return
			}
			_ = clock.Wait(context.Background(), clock.Real(), 25*time.Millisecond)
		}
		t.Errorf("%v: want %q, got %q", arguments, want, text)
	}
	until("starts", "job", "place", file)
	until("1 with 8000m/8000MB", "pool", "explain", "planner")
	until("no task: nothing-waits", "pool", "explain", "planner")
	until("3 jobs/s", "account", "explain", "newsroom")
	until("2000m/0MB", "account", "explain", "newsroom")
	for _, c := range [][]string{{"pool", "explain", "off"}, {"pool", "explain", "none"}, {"account", "explain", "none"}} {
		code, _ := run(c...)
		is.True(code != command.ExitOK)
	}
	code, text := run("--output", "json", "job", "place", file)
	is.Equal(code, command.ExitOK)
	text = strings.ReplaceAll(text, " ", "")
	is.True(strings.Contains(text, `"endpoint":"i-1"`) && strings.Contains(text, `"verdict":"starts"`))
	_, text = run("job", "get", "0123456789abcdef")
	is.True(strings.Contains(text, "no such job")) // it was not submitted
	until("is stored", "job", "submit", file)
	until("completed", "job", "get", "0123456789abcdef")
	until("nothing-waits", "job", "place", file)
	until("0 waiting", "job", "count", "plans")
	until("0123456789abcdef  completed", "job", "list", "plans")
	until("is cancelled", "job", "cancel", "0123456789abcdef") // a completed job stays completed
	until("completed", "job", "get", "0123456789abcdef")
	code, _ = run("job", "get", "ffffffffffffffff")
	is.True(code != command.ExitOK)
	code, text = run("job", "submit")
	is.Equal(code, command.ExitUsage)
	is.True(strings.Contains(text, "job submit"))
}
