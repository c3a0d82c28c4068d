package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/command"
	configv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/config/v1"
	fleetv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/fleet/v1"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1/operatorv1connect"
)

// entry is a stand-in for an entry; it records requests.
type entry struct {
	operatorv1connect.UnimplementedOperatorServiceHandler
	applied *operatorv1.ApplyConfigurationRequest
	changed []*operatorv1.ChangeVMRequest
	fail    error
	waves   []string
}

func (e *entry) ApplyConfiguration(_ context.Context, r *connect.Request[operatorv1.ApplyConfigurationRequest]) (*connect.Response[operatorv1.ApplyConfigurationResponse], error) {
	e.applied = r.Msg
	return connect.NewResponse(&operatorv1.ApplyConfigurationResponse{Revision: 8, Warnings: []string{"look out"}}), e.fail
}

func (e *entry) GetConfiguration(context.Context, *connect.Request[operatorv1.GetConfigurationRequest]) (*connect.Response[operatorv1.GetConfigurationResponse], error) {
	pool := &configv1.Pool{Id: "rota", Budget: &configv1.Budget{MaxUnavailableVms: 1}, TargetVms: 9}
	return connect.NewResponse(&operatorv1.GetConfigurationResponse{Configuration: &configv1.Configuration{Revision: 7, Pools: []*configv1.Pool{pool}}}), nil
}

func (e *entry) ChangeVM(_ context.Context, r *connect.Request[operatorv1.ChangeVMRequest]) (*connect.Response[operatorv1.ChangeVMResponse], error) {
	e.changed = append(e.changed, r.Msg)
	return connect.NewResponse(&operatorv1.ChangeVMResponse{Vm: &fleetv1.VMRow{Id: r.Msg.GetVm(), Pool: "rota", State: "draining"}}), e.fail
}

func (e *entry) ListVMs(_ context.Context, r *connect.Request[operatorv1.ListVMsRequest]) (*connect.Response[operatorv1.ListVMsResponse], error) {
	return connect.NewResponse(&operatorv1.ListVMsResponse{Vms: []*fleetv1.VMRow{{Id: "vm-1", Zone: r.Msg.GetZone()}}}), nil
}

func (e *entry) GetStatus(context.Context, *connect.Request[operatorv1.GetStatusRequest]) (*connect.Response[operatorv1.GetStatusResponse], error) {
	return connect.NewResponse(&operatorv1.GetStatusResponse{Problems: []string{"pool rota: budget does not hold"}}), nil
}

func (e *entry) ListWaves(context.Context, *connect.Request[operatorv1.ListWavesRequest]) (*connect.Response[operatorv1.ListWavesResponse], error) {
	state := e.waves[0]
	if len(e.waves) > 1 {
		e.waves = e.waves[1:]
	}
	return connect.NewResponse(&operatorv1.ListWavesResponse{Waves: []*fleetv1.WaveRow{{Id: "w", State: state}}}), nil
}

// result is the exit code and the output of a command.
type result struct {
	code           command.ExitCode
	output, errors string
}

func run(t *testing.T, e *entry, clock clockwork.Clock, arguments ...string) result {
	_, handler := operatorv1connect.NewOperatorServiceHandler(e)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	var output, errors bytes.Buffer
	p := command.Program{Output: &output, Errors: &errors, Clock: clock}
	code := p.Run(context.Background(), append([]string{"--server", server.URL}, arguments...))
	return result{code: code, output: output.String(), errors: errors.String()}
}

// Guards against wrong exit codes, errors that span several lines and errors without a next step.
func TestCommandsEndWithDocumentedCodes(t *testing.T) {
	cases := []struct {
		name      string
		arguments string
		fail      error
		code      command.ExitCode
		errors    string
	}{
		{"done", "vm drain vm-1 --reason trial", nil, command.ExitOK, ""},
		{"unhealthy", "status", nil, command.ExitFailure, "not every guarantee holds"},
		{"unknown command", "vm frob", nil, command.ExitUsage, "with one of list, show"},
		{"unknown flag", "vm list --frob x", nil, command.ExitUsage, "run mimosawharf vm list --help"},
		{"flag without value", "vm list --zone", nil, command.ExitUsage, "needs a value"},
		{"wrong value", "budget set rota --min-available-vms x", nil, command.ExitUsage, `value "x" is not valid`},
		{"wrong format", "--output xml status", nil, command.ExitUsage, "table or json"},
		{"too few operands", "pool put", nil, command.ExitUsage, "for example mimosawharf pool put"},
		{"unreadable file", "config apply /nonexistent", nil, command.ExitUsage, "name a file"},
		{"unreadable certificate", "--tls-ca-file /nonexistent status", nil, command.ExitUsage, "check --tls-cert-file"},
		{"no pool", "vm move vm-1", nil, command.ExitUsage, "want --pool"},
		{"one id for two VMs", "vm drain --operation-id x vm-1 vm-2", nil, command.ExitUsage, "give one VM"},
		{"wrong time", "audit list --since yesterday", nil, command.ExitUsage, "want a duration such as 2h"},
		{"absent item", "pool show nope", nil, command.ExitRefused, "pool list shows what does"},
		{"refused", "vm drain vm-1", connect.NewError(connect.CodeFailedPrecondition, context.Canceled), command.ExitRefused, "vm list"},
		{"not served", "wave create w --pool rota", nil, command.ExitRefused, "update the entry"},
		{"no answer", "vm drain vm-1 --operation-id op-1", connect.NewError(connect.CodeUnavailable, context.Canceled), command.ExitUnavailable, "with --operation-id op-1"},
		{"internal", "vm drain vm-1", connect.NewError(connect.CodeInternal, context.Canceled), command.ExitFailure, "context canceled"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := run(t, &entry{fail: c.fail}, clockwork.NewFakeClock(), strings.Fields(c.arguments)...)
			is.Equal(r.code, c.code)
			is.True(strings.Contains(r.errors, c.errors))                  // the error names the next step
			is.True(strings.Count(strings.TrimSpace(r.errors), "\n") == 0) // one line
		})
	}
}

// Guards against flags that work only before operands, only as "--name value", or only after the command.
func TestFlagsStandBeforeAndAfterOperands(t *testing.T) {
	for _, arguments := range []string{
		"vm move vm-1 vm-2 --pool spare --reason trial",
		"vm --reason=trial move --pool=spare vm-1 vm-2",
		"--reason trial vm move vm-1 --pool spare -- vm-2",
	} {
		t.Run(arguments, func(t *testing.T) {
			is := is.New(t)
			e := &entry{}
			is.Equal(run(t, e, clockwork.NewFakeClock(), strings.Fields(arguments)...).code, command.ExitOK)
			is.Equal(len(e.changed), 2)
			for i, vm := range []string{"vm-1", "vm-2"} {
				is.Equal(e.changed[i].GetVm(), vm)
				is.Equal(e.changed[i].GetPool(), "spare")
				is.Equal(e.changed[i].GetOperation().GetReason(), "trial")
			}
			is.True(e.changed[0].GetOperation().GetId() != e.changed[1].GetOperation().GetId()) // each change has its own id
		})
	}
}

// Guards against an edit that drops settings it was not asked to change, or that overwrites a concurrent
// change.
func TestBudgetSetKeepsOtherSettings(t *testing.T) {
	is := is.New(t)
	e := &entry{}
	r := run(t, e, clockwork.NewFakeClock(), "budget", "set", "rota", "--min-available-vms", "4", "--dry-run", "--output", "json")
	is.Equal(r.code, command.ExitOK)
	want := &configv1.Pool{Id: "rota", TargetVms: 9, Budget: &configv1.Budget{MinAvailableVms: 4, MaxUnavailableVms: 1}}
	is.True(proto.Equal(e.applied.GetChanges()[0].GetPutPool(), want))
	is.Equal(e.applied.GetBaseRevision(), uint64(7))
	is.True(e.applied.GetDryRun())
	is.True(json.Valid([]byte(r.output)))
}

// Guards against a shown configuration that cannot be applied again.
func TestShownConfigurationCanBeApplied(t *testing.T) {
	is := is.New(t)
	e := &entry{}
	shown := run(t, e, clockwork.NewFakeClock(), "config", "show", "--output", "json")
	is.True(strings.Contains(shown.output, `"max-unavailable-vms": 1`)) // names are in kebab case
	path := filepath.Join(t.TempDir(), "config.json")
	is.NoErr(os.WriteFile(path, []byte(shown.output), 0o600))
	is.Equal(run(t, e, clockwork.NewFakeClock(), "config", "apply", path).code, command.ExitOK)
	is.Equal(e.applied.GetReplace().GetPools()[0].GetTargetVms(), uint32(9))
	is.Equal(e.applied.GetBaseRevision(), uint64(7)) // the revision of the file
}

// Guards against environment variables of the daemon that narrow what commands show.
func TestEnvironmentSetsCommonFlagsOnly(t *testing.T) {
	is := is.New(t)
	t.Setenv("MIMOSAWHARF_ZONE", "zone-z")
	t.Setenv("MIMOSAWHARF_OUTPUT", "json")
	r := run(t, &entry{}, clockwork.NewFakeClock(), "vm", "list")
	is.True(json.Valid([]byte(r.output)))
	is.True(!strings.Contains(r.output, "zone-z"))
}

// Guards against a watch that does not end with its wave, or that reports a cancelled wave as success.
func TestWatchEndsWithTheWave(t *testing.T) {
	for last, code := range map[string]command.ExitCode{"finished": command.ExitOK, "cancelled": command.ExitFailure} {
		is := is.New(t)
		clock := clockwork.NewFakeClock()
		ended := make(chan result, 1)
		go func() {
			ended <- run(t, &entry{waves: []string{"running", "halted", last}}, clock, "wave", "watch", "w")
		}()
		for range 2 {
			is.NoErr(clock.BlockUntilContext(context.Background(), 1))
			clock.Advance(time.Second)
		}
		r := <-ended
		is.Equal(r.code, code)
		is.Equal(strings.Count(r.output, "\n"), 1) // one progress line
	}
}

// Guards against a command whose help has no example, or that completion lacks.
func TestEveryCommandHasAnExampleAndCompletion(t *testing.T) {
	is := is.New(t)
	script := run(t, &entry{}, clockwork.NewFakeClock(), "completion", "bash").output
	commands := 0
	for _, path := range strings.Fields(`pool pool/list pool/show pool/put pool/delete service/list service/put service/delete account/put
		vm/list vm/show vm/adopt vm/drain vm/move vm/reboot vm/replace vm/cancel vm/return vm/remove budget/show budget/set wave/create wave/list
		wave/show wave/start wave/halt wave/resume wave/roll-back wave/cancel wave/watch config/show config/diff config/apply config/status
		audit/list status submit cancel demo completion version`) {
		r := run(t, &entry{}, clockwork.NewFakeClock(), append(strings.Split(path, "/"), "--help")...)
		is.Equal(r.code, command.ExitOK)
		is.True(strings.Contains(r.output, "Example:\n  mimosawharf ")) // the help has an example
		is.True(strings.Contains(script, "/"+path))                     // completion knows the command
		commands++
	}
	is.Equal(commands, 41)
}
