package daemon_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/daemon"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/settings"
	"github.com/mimosawharf/mimosawharf/internal/standin"
	"github.com/mimosawharf/mimosawharf/internal/standin/endpoint"
	"github.com/mimosawharf/mimosawharf/internal/standin/platform"
	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	configv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/config/v1"
	endpointv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/endpoint/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/endpoint/v1/endpointv1connect"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
	"github.com/mimosawharf/mimosawharf/pkg/client"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// overheadSetup is one entry and one endpoint stand-in in this process.
type overheadSetup struct {
	group    *duty.Group
	ctx      context.Context
	settings settings.Settings
	endpoint fleet.Address
}

func (s *overheadSetup) serve(is *is.I, name fleet.DutyName, handler http.Handler) fleet.Address {
	l, err := daemon.Listen("127.0.0.1:0")
	is.NoErr(err)
	s.group.Start(s.ctx, &daemon.Server{Duty: name, Listener: l, Handler: handler, HeaderTimeout: time.Second})
	return fleet.Address(l.Addr().String())
}

func newOverheadSetup(is *is.I, runTime time.Duration) *overheadSetup {
	s := &overheadSetup{}
	s.group, s.ctx = duty.NewGroup(context.Background())
	p := platform.New(clock.Real(), 10*time.Millisecond, time.Second)
	s.group.Start(s.ctx, p)
	platformAddress := s.serve(is, "http-platform", p.Handler())
	e := endpoint.New(clock.Real(), 64, runTime)
	s.group.Start(s.ctx, e)
	s.endpoint = s.serve(is, "http-endpoint", e.Handler())
	is.NoErr(p.PutVM(s.ctx, standin.NewVM("vm", "zone-a", "rack", s.endpoint)))
	addresses := freeAddresses(is, 3)
	var err error
	s.settings, err = settings.Defaults(func(o *settings.Settings) {
		o.EntryID, o.Zone, o.Insecure, o.PlatformAddress = "entry", "zone-a", true, "http://"+string(platformAddress)
		o.CallerAddress, o.OperatorAddress, o.HealthAddress, o.PeerAddress = addresses[0], addresses[1], addresses[2], "127.0.0.1:0"
		o.PollInterval, o.VMListInterval = 50*time.Millisecond, 50*time.Millisecond
	})
	is.NoErr(err)
	s.group.Start(s.ctx, &entryDuty{&daemon.Daemon{Settings: s.settings, Clock: clock.Real(), Log: zap.NewNop()}})
	return s
}

type entryDuty struct{ daemon *daemon.Daemon }

func (*entryDuty) Name() fleet.DutyName            { return "entry" }
func (d *entryDuty) Run(ctx context.Context) error { return d.daemon.Run(ctx) }

// until repeats a step until it succeeds.
func (s *overheadSetup) until(is *is.I, step func() error) {
	ctx, cancel := context.WithTimeout(s.ctx, 20*time.Second)
	defer cancel()
	for step() != nil {
		is.NoErr(clock.Wait(ctx, clock.Real(), 10*time.Millisecond))
	}
}

// configure creates a service with a pool and adopts the endpoint's VM into it.
func (s *overheadSetup) configure(is *is.I) {
	operators := client.NewOperator("http://"+string(s.settings.OperatorAddress), client.OperatorOptions{Name: "bench"})
	hash := sha256.Sum256([]byte("secret"))
	s.until(is, func() error {
		_, err := operators.ApplyConfiguration(s.ctx, connect.NewRequest(&operatorv1.ApplyConfigurationRequest{Changes: []*configv1.Change{
			{Item: &configv1.Change_PutPool{PutPool: &configv1.Pool{Id: "desk", Budget: &configv1.Budget{MaxUnavailableVms: 1}}}},
			{Item: &configv1.Change_PutService{PutService: &configv1.Service{Id: "shifts", Pool: "desk", RequestTypes: []*configv1.RequestType{
				{Name: "list", Class: "normal", Repeatable: true},
			}}}},
			{Item: &configv1.Change_PutAccount{PutAccount: &configv1.ClientAccount{Id: "newsroom", CredentialHash: hash[:]}}},
		}}))
		return err
	})
	s.until(is, func() error {
		_, err := operators.ChangeVM(s.ctx, connect.NewRequest(&operatorv1.ChangeVMRequest{
			Vm: "vm", Action: "adopt", Pool: "desk", Operation: &operatorv1.Operation{Reason: "bench"},
		}))
		return err
	})
}

// callCost is the median latency and the requests per second of processor time of one way to call.
type callCost struct {
	p50          time.Duration
	perCPUSecond float64
}

// measureCalls measures the latency with sequential calls and then the requests per second of processor
// time with concurrent ones.
func measureCalls(is *is.I, sequential int, call func(n int) error) callCost {
	const callers = 8
	perCaller := sequential / 2
	for n := range sequential / 4 {
		is.NoErr(call(n)) // opens the connections
	}
	var latencies []time.Duration
	for n := range sequential {
		started := clock.Real().Now()
		is.NoErr(call(sequential + n))
		latencies = append(latencies, clock.Real().Now().Sub(started))
	}
	slices.Sort(latencies)
	failures := ring.New[error]("failures", callers)
	before := processorTime()
	for i := range callers {
		go func() {
			var err error
			for n := 0; n < perCaller && err == nil; n++ {
				err = call(1_000_000*(i+1) + n)
			}
			_ = failures.Push(err)
		}()
	}
	for range callers {
		err, popped := failures.Pop(context.Background())
		is.NoErr(popped)
		is.NoErr(err)
	}
	used := processorTime() - before
	return callCost{latencies[len(latencies)/2], float64(callers*perCaller) / used.Seconds()}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkOverhead compares a request through one entry with the same request sent directly to the
// endpoint. A run time of 0 shows the whole overhead of the entry; 20 ms is the run time of the shortest
// requests of the policy benchmarks.
func BenchmarkOverhead(b *testing.B) {
	for _, runTime := range []time.Duration{0, 20 * time.Millisecond} {
		b.Run(runTime.String(), func(b *testing.B) { benchmarkOverhead(b, runTime) })
	}
}

func benchmarkOverhead(b *testing.B, runTime time.Duration) {
	is := is.New(b)
	calls := 2000
	if runTime > 0 {
		calls = 200
	}
	s := newOverheadSetup(is, runTime)
	defer func() { s.group.Stop(); _ = s.group.Wait() }()
	s.configure(is)
	body := make([]byte, 1024)
	transport := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	direct := endpointv1connect.NewEndpointServiceClient(transport, "http://"+string(s.endpoint), connect.WithAcceptCompression("gzip", nil, nil))
	caller := client.NewCaller("http://"+string(s.settings.CallerAddress), client.CallerOptions{Account: "newsroom", Secret: "secret", HTTP: transport})
	submit := func(int) error {
		r, err := caller.Submit(s.ctx, connect.NewRequest(&callerv1.SubmitRequest{Service: "shifts", RequestType: "list", Body: body}))
		if err == nil && r.Msg.GetAnswer() == nil {
			return fmt.Errorf("no answer: %s", r.Msg)
		}
		return err
	}
	s.until(is, func() error { return submit(0) })
	for range b.N {
		directCost := measureCalls(is, calls, func(n int) error {
			r, err := direct.Run(s.ctx, connect.NewRequest(&endpointv1.RunRequest{
				RequestId: fmt.Sprint("direct-", n), Service: "shifts", RequestType: "list", Body: body, BodyDigest: uint64(request.DigestOf(body)),
				Pool: "desk", AssignmentEpoch: 1,
			}))
			if err == nil && r.Msg.GetAnswer() == nil {
				return fmt.Errorf("no answer: %s", r.Msg)
			}
			return err
		})
		entryCost := measureCalls(is, calls, submit)
		b.ReportMetric(float64(directCost.p50.Microseconds()), "direct-p50-us")
		b.ReportMetric(float64(entryCost.p50.Microseconds()), "entry-p50-us")
		b.ReportMetric(float64(entryCost.p50-directCost.p50)/float64(directCost.p50), "added-of-direct")
		b.ReportMetric(directCost.perCPUSecond, "direct-req/s-per-core")
		b.ReportMetric(entryCost.perCPUSecond, "entry-req/s-per-core")
	}
}
