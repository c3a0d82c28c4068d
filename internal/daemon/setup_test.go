package daemon_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/credential"
	"github.com/mimosawharf/mimosawharf/internal/daemon"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/settings"
	"github.com/mimosawharf/mimosawharf/internal/standin"
	"github.com/mimosawharf/mimosawharf/internal/standin/endpoint"
	"github.com/mimosawharf/mimosawharf/internal/standin/platform"
	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1/callerv1connect"
	configv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/config/v1"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1/operatorv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/client"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const newsroomSecret = "correct-horse-battery"

// setup is one entry with its platform and one endpoint on loopback, all with TLS.
type setup struct {
	is        *is.I
	ctx       context.Context
	authority *credential.Authority
	settings  settings.Settings
	endpoint  *endpoint.Endpoint
	// callers is shared by all callers, because connections count against the limit of an account.
	callers *http.Client
	// missing is the pattern that the metrics page last lacked.
	missing string
	// lastErr is the last error of a configuration step.
	lastErr error
	logs    bytes.Buffer
	// stop ends all duties; the logs may be read afterwards.
	stop func()
}

func newSetup(t *testing.T, runTime time.Duration) *setup {
	s := &setup{is: is.New(t)}
	now := clock.Real().Now()
	var err error
	s.authority, err = credential.NewAuthority(now.Add(-time.Hour), 2*time.Hour)
	s.is.NoErr(err)
	s.callers = httpClient(s.callerTLS(), true)
	group, ctx := duty.NewGroup(context.Background())
	stopRequested, requestStop := context.WithCancel(ctx)
	s.ctx, s.stop = ctx, func() { requestStop(); group.Stop(); _ = group.Wait() }
	t.Cleanup(func() {
		s.stop()
		if t.Failed() {
			t.Log(s.logs.String(), s.lastErr, s.missing)
		}
	})
	p := platform.New(clock.Real(), 0, time.Millisecond)
	group.Start(ctx, p)
	platformAddress := s.serve(group, "http-platform", p.Handler(), credential.RolePlatform)
	s.endpoint = endpoint.New(clock.Real(), 8, runTime)
	group.Start(ctx, s.endpoint)
	s.is.NoErr(p.PutVM(ctx, standin.NewVM("vm-1", "a", "rack-1", s.serve(group, "http-endpoint", s.endpoint.Handler(), credential.RoleEndpoint))))
	s.settings, err = settings.Defaults(func(v *settings.Settings) {
		v.EntryID, v.Zone, v.PeerAddress, v.PlatformAddress = "entry-a", "a", "127.0.0.1:0", "https://"+string(platformAddress)
		free := freeAddresses(s.is, 3)
		v.CallerAddress, v.OperatorAddress, v.HealthAddress = free[0], free[1], free[2]
		v.TLSCertFile, v.TLSKeyFile, v.TLSCAFile = "cert", "key", "ca" // checked; the credentials come from the authority
		v.PollInterval, v.VMListInterval, v.MaxConnectionsPerAccount = 50*time.Millisecond, 50*time.Millisecond, 16
		v.SettleTime = 0
	})
	s.is.NoErr(err)
	s.settings.TLSCertFile = ""
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	log := zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(&s.logs)), zapcore.DebugLevel))
	group.Start(ctx, &stoppableDaemon{stopRequested, &daemon.Daemon{Settings: s.settings, Clock: clock.Real(), Log: log, Credentials: s.source("entry-a", credential.RoleEntry)}})
	return s
}

// stoppableDaemon is the duty that runs a daemon until a stop is requested.
type stoppableDaemon struct {
	stopRequested context.Context
	daemon        *daemon.Daemon
}

func (*stoppableDaemon) Name() fleet.DutyName          { return "daemon" }
func (d *stoppableDaemon) Run(_ context.Context) error { return d.daemon.Run(d.stopRequested) }

// freeAddresses returns unused loopback addresses. All are taken before one is released: the system may assign a port
// again that was just released.
func freeAddresses(is *is.I, count int) []fleet.Address {
	is.Helper()
	var list []fleet.Address
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = l.Close() }()
		list = append(list, fleet.Address(l.Addr().String()))
	}
	return list
}

// source returns credentials that the authority of the setup issued.
func (s *setup) source(name fleet.OperatorName, role credential.Role) *credential.Source {
	m, err := s.authority.Material(clock.Real().Now(), name, role)
	s.is.NoErr(err)
	source := &credential.Source{Clock: clock.Real()}
	source.Material.Set(m)
	return source
}

func (s *setup) serve(group *duty.Group, name fleet.DutyName, handler http.Handler, role credential.Role) fleet.Address {
	l, err := daemon.Listen("127.0.0.1:0")
	s.is.NoErr(err)
	config := s.source(fleet.OperatorName(name), role).Server(credential.RoleEntry)
	group.Start(s.ctx, &daemon.Server{Duty: name, Listener: l, Handler: handler, HeaderTimeout: time.Second, TLS: config})
	return fleet.Address(l.Addr().String())
}

// httpClient returns a client that speaks HTTP/2 or HTTP/1.1 only.
func httpClient(config *tls.Config, http2 bool) *http.Client {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(!http2)
	protocols.SetHTTP2(http2)
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config, Protocols: protocols}}
}

// operator returns a client with a certificate of a role.
func (s *setup) operator(source *credential.Source) operatorv1connect.OperatorServiceClient {
	return s.operatorWith(source, headers{})
}

// operatorWith returns a client that also sets headers.
func (s *setup) operatorWith(source *credential.Source, h headers) operatorv1connect.OperatorServiceClient {
	c := httpClient(source.Client(credential.RoleEntry), true)
	return operatorv1connect.NewOperatorServiceClient(c, "https://"+string(s.settings.OperatorAddress), connect.WithInterceptors(h.interceptor()))
}

func (s *setup) callerTLS() *tls.Config {
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(s.authority.PEM())
	return &tls.Config{RootCAs: roots}
}

func (s *setup) caller(account fleet.ClientAccountID, secret string) callerv1connect.CallerServiceClient {
	return client.NewCaller("https://"+string(s.settings.CallerAddress), client.CallerOptions{Account: account, Secret: secret, HTTP: s.callers})
}

// until repeats a step until it succeeds.
func (s *setup) until(step func() bool) {
	ctx, cancel := context.WithTimeout(s.ctx, time.Minute)
	defer cancel()
	for !step() {
		s.is.NoErr(clock.Wait(ctx, clock.Real(), 5*time.Millisecond))
	}
}

// configure creates a pool, a service and two accounts, adopts the VM and waits until requests succeed.
func (s *setup) configure() {
	admin := s.operator(s.source("alice", credential.RoleAdmin))
	newsroomHash, weatherHash := sha256.Sum256([]byte(newsroomSecret)), sha256.Sum256([]byte("other"))
	s.until(func() bool {
		_, err := admin.ApplyConfiguration(s.ctx, connect.NewRequest(&operatorv1.ApplyConfigurationRequest{Changes: []*configv1.Change{
			{Item: &configv1.Change_PutPool{PutPool: &configv1.Pool{Id: "desk", Budget: &configv1.Budget{MaxUnavailableVms: 1}}}},
			{Item: &configv1.Change_PutService{PutService: &configv1.Service{Id: "shifts", Pool: "desk", RequestTypes: []*configv1.RequestType{
				{Name: "plan", Class: "normal", Repeatable: true},
				{Name: "swap", Class: "normal"},
				{Name: "storm", Class: "normal", Repeatable: true},
			}}}},
			{Item: &configv1.Change_PutAccount{PutAccount: &configv1.ClientAccount{Id: "newsroom", CredentialHash: newsroomHash[:]}}},
			{Item: &configv1.Change_PutAccount{PutAccount: &configv1.ClientAccount{Id: "weather", CredentialHash: weatherHash[:], PriorityGrants: []*configv1.PriorityGrant{
				{Service: "shifts", RequestType: "storm", Class: "urgent"},
			}}}},
		}}))
		s.lastErr = err
		return err == nil
	})
	s.until(func() bool {
		_, err := admin.ChangeVM(s.ctx, connect.NewRequest(&operatorv1.ChangeVMRequest{Vm: "vm-1", Action: "adopt", Pool: "desk"}))
		s.lastErr = err
		return err == nil
	})
	s.until(func() bool { return s.submit(s.caller("newsroom", newsroomSecret), planRequest("")) == "ok" })
}

func planRequest(id string) *callerv1.SubmitRequest {
	return &callerv1.SubmitRequest{Service: "shifts", RequestType: "plan", RequestId: id, Body: []byte("week 49")}
}

// submit returns the status of the answer, the outcome and its reason, or what refusalOf returns.
func (s *setup) submit(c callerv1connect.CallerServiceClient, m *callerv1.SubmitRequest) string {
	response, err := c.Submit(s.ctx, connect.NewRequest(m))
	if err != nil {
		return refusalOf(err)
	}
	switch o := response.Msg.GetOutcome().(type) {
	case *callerv1.SubmitResponse_NotRun:
		return "not-run " + o.NotRun.GetReason()
	case *callerv1.SubmitResponse_Unknown:
		return "unknown " + o.Unknown.GetReason()
	}
	return response.Msg.GetAnswer().GetStatus()
}

// refusalOf returns the code of an error, and the outcome and the reason of its detail.
func refusalOf(err error) string {
	text := connect.CodeOf(err).String()
	if connectErr, ok := err.(*connect.Error); ok {
		for _, d := range connectErr.Details() {
			if v, err := d.Value(); err == nil {
				text += " " + v.(*callerv1.Refusal).GetOutcome() + " " + v.(*callerv1.Refusal).GetReason()
			}
		}
	}
	return text
}

// headers are set on each call of a client.
type headers map[string]string

func (h headers) interceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			for name, value := range h {
				r.Header().Set(name, value)
			}
			return next(ctx, r)
		}
	}
}
