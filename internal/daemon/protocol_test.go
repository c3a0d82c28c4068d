package daemon_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/command"
	"github.com/mimosawharf/mimosawharf/internal/credential"
	"github.com/mimosawharf/mimosawharf/internal/daemon"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1/callerv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/client"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a protocol that works only without TLS, and against a caller.Guard that breaks one.
func TestEachProtocolSubmitsOverTLS(t *testing.T) {
	s := newSetup(t, time.Millisecond)
	s.configure()
	for name, c := range map[string]struct {
		http2  bool
		option connect.ClientOption
	}{
		"connect over http/1.1": {false, connect.WithProtoJSON()},
		"connect over http/2":   {true, connect.WithClientOptions()},
		"json over http/2":      {true, connect.WithProtoJSON()},
		"grpc over http/2":      {true, connect.WithGRPC()},
		"grpc-web over http/1":  {false, connect.WithGRPCWeb()},
		"compressed grpc":       {true, connect.WithClientOptions(connect.WithGRPC(), connect.WithSendGzip())},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			url := "https://" + string(s.settings.CallerAddress)
			interceptors := connect.WithInterceptors(headers{"Mimosawharf-Account": "newsroom", "Authorization": "Bearer " + newsroomSecret}.interceptor())
			api := callerv1connect.NewCallerServiceClient(httpClient(s.callerTLS(), c.http2), url, c.option, interceptors)
			is.Equal(s.submit(api, planRequest("")), "ok")
			large := planRequest("")
			large.Body = make([]byte, 4<<20)
			is.Equal(s.submit(api, large), "resource_exhausted not-run body-too-large")
			malformed := planRequest("not an identifier")
			is.Equal(s.submit(api, malformed), "invalid_argument not-run malformed")
		})
	}
	plaintext := client.NewCaller("http://"+string(s.settings.CallerAddress), client.CallerOptions{Account: "newsroom", Secret: newsroomSecret})
	is.New(t).True(s.submit(plaintext, planRequest("")) != "ok") // nothing is served without TLS
}

// writeCredentials issues a certificate, writes the credential files and returns their names.
func writeCredentials(is *is.I, directory string, a *credential.Authority, name fleet.OperatorName, role credential.Role) credential.Files {
	certificate, key, err := a.Issue(clock.Real().Now(), name, role)
	is.NoErr(err)
	f := credential.Files{
		Certificate: filepath.Join(directory, string(name)+".pem"), Key: filepath.Join(directory, string(name)+".key"), Authorities: filepath.Join(directory, "ca.pem"),
	}
	for path, data := range map[string][]byte{f.Certificate: certificate, f.Key: key, f.Authorities: a.PEM()} {
		is.NoErr(os.WriteFile(path, data, 0o600))
	}
	return f
}

// Guards against a renewed certificate that needs a restart, or whose renewal aborts a request in flight.
func TestRenewalAbortsNoRequest(t *testing.T) {
	is := is.New(t)
	now, fakeClock, directory := clock.Real().Now(), clockwork.NewFakeClock(), t.TempDir()
	old, err := credential.NewAuthority(now, time.Hour)
	is.NoErr(err)
	renewed, err := credential.NewAuthority(now, time.Hour)
	is.NoErr(err)
	files := writeCredentials(is, directory, old, "entry-a", credential.RoleEntry)
	source := &credential.Source{Clock: clock.Real()}
	material, err := files.Load()
	is.NoErr(err)
	source.Material.Set(material)
	group, ctx := duty.NewGroup(context.Background())
	defer group.Stop()
	group.Start(ctx, &credential.Renewal{Loader: files, Source: source, Clock: fakeClock, Log: zap.NewNop(), Interval: time.Second})
	entered, release := ring.New[bool]("entered", 2), ring.New[bool]("leave", 1)
	listener, err := daemon.Listen("127.0.0.1:0")
	is.NoErr(err)
	group.Start(ctx, &daemon.Server{Duty: "http", Listener: listener, HeaderTimeout: time.Second, TLS: source.CallerServer(), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = entered.Push(true)
		if r.URL.Path == "/slow" {
			_, _ = release.Pop(ctx)
		}
		_, _ = io.WriteString(w, "whole")
	})})
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(append(old.PEM(), renewed.PEM()...))
	slow, url := ring.New[string]("slow", 1), "https://"+listener.Addr().String()
	go func() {
		body, _, err := get(httpClient(&tls.Config{RootCAs: roots}, true), url+"/slow")
		_ = slow.Push(fmt.Sprint(body, err))
	}()
	_, err = entered.Pop(ctx)
	is.NoErr(err)
	writeCredentials(is, directory, renewed, "entry-a", credential.RoleEntry)
	is.NoErr(fakeClock.BlockUntilContext(ctx, 1))
	fakeClock.Advance(time.Second)
	is.NoErr(fakeClock.BlockUntilContext(ctx, 1))
	renewedRoots := x509.NewCertPool()
	renewedRoots.AppendCertsFromPEM(renewed.PEM())
	_, _, err = get(httpClient(&tls.Config{RootCAs: renewedRoots}, true), url)
	is.NoErr(err) // a new connection gets the renewed certificate
	is.NoErr(release.Push(true))
	body, err := slow.Pop(ctx)
	is.NoErr(err)
	is.Equal(body, "whole<nil>")
}

func get(c *http.Client, url string) (body string, status int, err error) {
	response, err := c.Get(url)
	if err != nil {
		return "", 0, err
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return string(data), response.StatusCode, err
}

// Guards against TLS flags of the command line that do not match the certificates that the daemon requires.
func TestCommandLineWithCertificates(t *testing.T) {
	s := newSetup(t, time.Millisecond)
	s.configure()
	directory := t.TempDir()
	viewer := writeCredentials(s.is, directory, s.authority, "victor", credential.RoleViewer)
	operator := writeCredentials(s.is, directory, s.authority, "oscar", credential.RoleOperator)
	run := func(f credential.Files, arguments ...string) command.ExitCode {
		var output, problems bytes.Buffer
		all := append([]string{
			"--server", "https://" + string(s.settings.OperatorAddress), "--caller-server", "https://" + string(s.settings.CallerAddress),
			"--tls-cert-file", f.Certificate, "--tls-key-file", f.Key, "--tls-ca-file", f.Authorities, "--caller-tls-ca-file", f.Authorities,
		}, arguments...)
		code := command.Program{Output: &output, Errors: &problems, Clock: clock.Real()}.Run(s.ctx, all)
		t.Log(arguments, code, problems.String())
		return code
	}
	s.is.Equal(run(viewer, "vm", "list"), command.ExitOK)
	s.is.Equal(run(viewer, "vm", "drain", "vm-1"), command.ExitRefused)
	s.is.Equal(run(operator, "vm", "drain", "vm-1"), command.ExitOK)
	s.is.Equal(run(viewer, "submit", "--account", "newsroom", "--secret", "wrong", "--service", "shifts", "--type", "plan"), command.ExitRefused)
	s.is.True(run(credential.Files{Authorities: viewer.Authorities}, "vm", "list") != command.ExitOK) // no certificate
}

// Guards against a server that waits for slow headers without a timeout, exceeds its limit of connections,
// or speaks HTTP/2 without TLS although the setting insecure is off.
func TestServerLimits(t *testing.T) {
	is := is.New(t)
	group, ctx := duty.NewGroup(context.Background())
	defer group.Stop()
	serve := func(plainHTTP2 bool) string {
		listener, err := daemon.Listen("127.0.0.1:0")
		is.NoErr(err)
		group.Start(ctx, &daemon.Server{
			Duty: "http", Listener: listener, HeaderTimeout: 50 * time.Millisecond, PlainHTTP2: plainHTTP2, MaxConnections: 1, Handler: http.NotFoundHandler(),
		})
		return listener.Addr().String()
	}
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	plain := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	_, status, err := get(plain, "http://"+serve(true))
	is.NoErr(err)
	is.Equal(status, http.StatusNotFound)
	_, _, err = get(plain, "http://"+serve(false))
	is.True(err != nil)
	address := serve(false)
	slow, err := net.Dial("tcp", address)
	is.NoErr(err)
	_, err = io.WriteString(slow, "GET / HTTP/1.1\r\nHost: ")
	is.NoErr(err)
	waiting, err := net.Dial("tcp", address)
	is.NoErr(err)
	_, err = io.WriteString(waiting, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	is.NoErr(err)
	// The second connection is served only after the slow one was closed.
	answer, err := io.ReadAll(waiting)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answer), "HTTP/1.1 404"))
	rest, _ := io.ReadAll(slow)
	is.True(!strings.Contains(string(rest), "404"))
}
