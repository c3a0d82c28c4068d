package credential_test

import (
	"crypto/tls"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/credential"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

var start = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

const lifetime = time.Hour

func newSource(t *testing.T, a *credential.Authority, name fleet.OperatorName, role credential.Role) *credential.Source {
	t.Helper()
	m, err := a.Material(start, name, role)
	is.New(t).NoErr(err)
	s := &credential.Source{Clock: clockwork.NewFakeClockAt(start)}
	s.Material.Set(m)
	return s
}

// handshake returns the errors of both ends of a connection over loopback.
func handshake(t *testing.T, client, server *tls.Config) (clientErr, serverErr error) {
	t.Helper()
	is := is.New(t)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, err = conn.Write([]byte("x"))
			_ = conn.Close()
		}
		done <- err
	}()
	conn, clientErr := tls.Dial("tcp", listener.Addr().String(), client)
	if clientErr == nil {
		_, clientErr = io.ReadFull(conn, make([]byte, 1))
		_ = conn.Close()
	}
	return clientErr, <-done
}

// Guards against a connection with a certificate of the wrong role, an untrusted authority or one that
// has expired.
func TestHandshakeAcceptsOnlyTheRole(t *testing.T) {
	own, err := credential.NewAuthority(start, lifetime)
	is.New(t).NoErr(err)
	foreign, err := credential.NewAuthority(start, lifetime)
	is.New(t).NoErr(err)
	late := &credential.Source{Clock: clockwork.NewFakeClockAt(start.Add(2 * lifetime))}
	m, err := own.Material(start, "entry-b", credential.RoleEntry)
	is.New(t).NoErr(err)
	late.Material.Set(m)
	cases := []struct {
		name   string
		client *credential.Source
		server *credential.Source
		ok     bool
	}{
		{"entry to entry", newSource(t, own, "a", credential.RoleEntry), newSource(t, own, "b", credential.RoleEntry), true},
		{"operator to peer port", newSource(t, own, "a", credential.RoleAdmin), newSource(t, own, "b", credential.RoleEntry), false},
		{"foreign client", newSource(t, foreign, "a", credential.RoleEntry), newSource(t, own, "b", credential.RoleEntry), false},
		{"foreign server", newSource(t, own, "a", credential.RoleEntry), newSource(t, foreign, "b", credential.RoleEntry), false},
		{"server is not an entry", newSource(t, own, "a", credential.RoleEntry), newSource(t, own, "b", credential.RoleViewer), false},
		{"expired client", newSource(t, own, "a", credential.RoleEntry), late, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clientErr, serverErr := handshake(t, c.client.Client(credential.RoleEntry), c.server.Server(credential.RoleEntry))
			is.Equal(clientErr == nil && serverErr == nil, c.ok)
		})
	}
}

// Guards against renewed material that takes effect only after a restart.
func TestRenewedMaterialIsUsedByNewConnections(t *testing.T) {
	is := is.New(t)
	old, err := credential.NewAuthority(start, lifetime)
	is.NoErr(err)
	renewed, err := credential.NewAuthority(start, lifetime)
	is.NoErr(err)
	client, server := newSource(t, renewed, "a", credential.RoleEntry), newSource(t, old, "b", credential.RoleEntry)
	clientConfig, serverConfig := client.Client(credential.RoleEntry), server.Server(credential.RoleEntry)
	clientErr, _ := handshake(t, clientConfig, serverConfig)
	is.True(clientErr != nil)
	m, err := renewed.Material(start, "b", credential.RoleEntry)
	is.NoErr(err)
	server.Material.Set(m)
	clientErr, serverErr := handshake(t, clientConfig, serverConfig)
	is.NoErr(clientErr)
	is.NoErr(serverErr)
}

// Guards against an error of credential files that does not name the file.
func TestLoadNamesTheFile(t *testing.T) {
	is := is.New(t)
	_, err := credential.Files{Certificate: "missing.pem", Key: "missing.key", Authorities: "ca.pem"}.Load()
	var material *credential.MaterialError
	is.True(errors.As(err, &material))
	is.Equal(material.File, "missing.pem")
}

// Guards against a call that the role of the operator does not allow, a certificate that expired on an open
// connection, and a forged operator header.
func TestAccessChecksRolePerRPC(t *testing.T) {
	authority, err := credential.NewAuthority(start, lifetime)
	is.New(t).NoErr(err)
	times := clockwork.NewFakeClockAt(start)
	access := &credential.Access{
		Clock:    times,
		Required: map[string]credential.Role{"ListVMs": credential.RoleViewer, "ChangeVM": credential.RoleOperator},
		Log:      zap.NewNop(),
	}
	cases := []struct {
		role credential.Role
		rpc  string
		want int
		late time.Duration
	}{
		{credential.RoleViewer, "ListVMs", http.StatusOK, 0},
		{credential.RoleAdmin, "ListVMs", http.StatusForbidden, lifetime + time.Second},
		{credential.RoleViewer, "ChangeVM", http.StatusForbidden, 0},
		{credential.RoleOperator, "ChangeVM", http.StatusOK, 0},
		{credential.RoleOperator, "ApplyConfiguration", http.StatusForbidden, 0},
		{credential.RoleAdmin, "ApplyConfiguration", http.StatusOK, 0},
		{credential.RoleEntry, "ListVMs", http.StatusForbidden, 0},
		{"", "ListVMs", http.StatusForbidden, 0},
	}
	for _, c := range cases {
		t.Run(string(c.role)+" "+c.rpc, func(t *testing.T) {
			is := is.New(t)
			times.Advance(c.late)
			defer times.Advance(-c.late)
			seen := ""
			handler := access.Middleware(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				seen = r.Header.Get(credential.HeaderOperator)
			}))
			m, err := authority.Material(start, "alice", c.role)
			is.NoErr(err)
			r := httptest.NewRequest(http.MethodPost, "/mimosawharf.operator.v1.OperatorService/"+c.rpc, strings.NewReader("{}"))
			r.Header.Set("Content-Type", "application/json")
			r.Header.Set(credential.HeaderOperator, "mallory")
			r.Header.Set(credential.HeaderRole, string(credential.RoleAdmin))
			r.TLS = &tls.ConnectionState{}
			r.TLS.PeerCertificates = append(r.TLS.PeerCertificates, m.Certificate.Leaf)
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			is.Equal(w.Code, c.want)
			if c.want == http.StatusOK {
				is.Equal(seen, "alice")
			}
		})
	}
}
