package daemon

import (
	"crypto/tls"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"github.com/justinas/alice"

	"github.com/mimosawharf/mimosawharf/internal/caller"
	"github.com/mimosawharf/mimosawharf/internal/credential"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/operator"
	"github.com/mimosawharf/mimosawharf/internal/peer"
)

// renewalInterval is how often the credential files are read again.
const renewalInterval = 10 * time.Second

// schemeHTTPS is the scheme of addresses that are reached with TLS.
const schemeHTTPS = "https"

// PlainAddressError reports a platform address without TLS although the setting insecure is off.
type PlainAddressError struct {
	Address string
}

// Error implements error.
func (e *PlainAddressError) Error() string {
	return "--platform-address " + e.Address + ": want https://, or --insecure for a trial on loopback"
}

// loadCredentials reads the credential files before the first port is opened. It returns
// *credential.MaterialError or *PlainAddressError.
func (d *Daemon) loadCredentials() error {
	s := d.Settings
	if s.Insecure {
		d.Credentials = nil
		return nil
	}
	if !strings.HasPrefix(s.PlatformAddress, schemeHTTPS+"://") {
		return trace.Wrap(&PlainAddressError{Address: s.PlatformAddress})
	}
	if d.Credentials != nil {
		return nil
	}
	material, err := d.credentialFiles().Load()
	if err != nil {
		return trace.Wrap(err)
	}
	d.Credentials = &credential.Source{Clock: d.Clock}
	d.Credentials.Material.Set(material)
	return nil
}

func (d *Daemon) credentialFiles() credential.Files {
	s := d.Settings
	return credential.Files{Certificate: string(s.TLSCertFile), Key: string(s.TLSKeyFile), Authorities: string(s.TLSCAFile)}
}

// credentialRenewal returns the duty that reloads the credential files, or nothing when the credentials
// do not come from files.
func (d *Daemon) credentialRenewal() []duty.Duty {
	if d.Credentials == nil || d.Settings.TLSCertFile == "" {
		return nil
	}
	return []duty.Duty{&credential.Renewal{
		Loader: d.credentialFiles(), Source: d.Credentials, Clock: d.Clock, Log: d.Log, Interval: renewalInterval,
	}}
}

// peerSource returns the credentials for links to peers. With the setting insecure, it makes a temporary
// certificate and verifies no peer.
func (d *Daemon) peerSource() (peer.CredentialSource, error) {
	if d.Credentials == nil {
		source, err := peer.NewSelfSigned(d.Clock.Now(), d.Settings.EntryID)
		return source, trace.Wrap(err)
	}
	return d.Credentials, nil
}

// callerTLS returns the TLS configuration of the server for callers, or nil without TLS.
func (d *Daemon) callerTLS() *tls.Config {
	if d.Credentials == nil {
		return nil
	}
	return d.Credentials.CallerServer()
}

// operatorTLS returns the TLS configuration of the server for operators, or nil without TLS. It accepts
// every operator role; each RPC checks the role that it needs.
func (d *Daemon) operatorTLS() *tls.Config {
	if d.Credentials == nil {
		return nil
	}
	return d.Credentials.Server(credential.RoleViewer)
}

// access returns the check of operator roles.
func (d *Daemon) access() *credential.Access {
	return &credential.Access{Required: operator.Roles(), DryRuns: operator.DryRuns(), Insecure: d.Credentials == nil, Clock: d.Clock, Log: d.Log}
}

// platformClient returns the HTTP client for the platform.
func (d *Daemon) platformClient() *http.Client {
	if d.Credentials == nil {
		return &http.Client{}
	}
	return &http.Client{Transport: &http.Transport{
		TLSClientConfig: d.Credentials.Client(credential.RolePlatform), ForceAttemptHTTP2: true,
		// Without pings, a connection that broke silently would hang every call.
		HTTP2: &http.HTTP2Config{SendPingTimeout: d.Settings.PlatformTimeout, PingTimeout: d.Settings.PlatformTimeout},
	}}
}

// endpointTLS returns the scheme and the TLS configuration for endpoints.
func (d *Daemon) endpointTLS() (string, *tls.Config) {
	if d.Credentials == nil {
		return "http", nil
	}
	return schemeHTTPS, d.Credentials.Client(credential.RoleEndpoint)
}

// maxCallerConnections bounds the connections of all callers together.
const maxCallerConnections = 4096

// readTimeout bounds the time to read one message, so that slow senders do not occupy connections and
// buffers for long.
const readTimeout = 10 * time.Second

// maxOperatorReading bounds the operator messages that are read at the same time, in bytes: four of the
// largest size.
const maxOperatorReading = 4 * operator.MaxMessageBytes

// callerHandler returns the handler of the caller service behind its guard.
func (d *Daemon) callerHandler(h *caller.Handler) http.Handler {
	guard := &caller.Guard{
		Admission: h, Observer: h.Observer, Clock: d.Clock, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		MaxMessage: h.MaxMessage(), MaxReading: d.Settings.QueueBytes,
	}
	mux := http.NewServeMux()
	mux.Handle(h.New(connect.WithInterceptors(guard.Interceptor())))
	return alice.New(noSniff, guard.Middleware).Then(mux)
}

// operatorHandler returns the handler of the operator service behind its guard and the check of roles.
func (d *Daemon) operatorHandler(h *operator.Handler) http.Handler {
	access := d.access()
	guard := &caller.Guard{
		Clock: d.Clock, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		MaxMessage: operator.MaxMessageBytes, MaxReading: maxOperatorReading,
	}
	mux := http.NewServeMux()
	mux.Handle(h.Route(connect.WithInterceptors(guard.Interceptor(), access.Interceptor())))
	return alice.New(noSniff, access.Middleware, guard.Middleware).Then(mux)
}

// noSniff forbids browsers to guess another content type, because bodies come from callers.
func noSniff(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Content-Type-Options", "nosniff")
		next.ServeHTTP(w, r)
	})
}
