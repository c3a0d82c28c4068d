package credential

import (
	"crypto/tls"
	"crypto/x509"
	"slices"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Source provides the current material to each new connection, so that a renewed certificate takes
// effect without closing existing connections.
type Source struct {
	// Clock provides the time at which certificates are verified.
	Clock clock.Clock
	// Material has a single writer, which publishes it before the first connection.
	Material ring.Latest[*Material]
}

// CallerServer returns the configuration of the server for callers, who present no certificate.
func (s *Source) CallerServer() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: s.certificate}
}

// Server returns the configuration of a server whose clients need a certificate of the role.
func (s *Source) Server(client Role) *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: s.certificate,
		// The chain is verified below against the current authorities.
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: s.verifier(client, x509.ExtKeyUsageClientAuth),
	}
}

// Client returns the configuration of a client whose server needs a certificate of the role. The role
// is verified instead of the host name, because VMs are reached by IP address and are replaced at any time.
func (s *Source) Client(server Role) *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.certificate(nil) },
		// The chain and the role are verified below; there is no host name to verify.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection verifies the chain
		VerifyConnection:   s.verifier(server, x509.ExtKeyUsageServerAuth),
	}
}

// PeerServer returns the configuration of the server for other entries.
func (s *Source) PeerServer() *tls.Config { return s.Server(RoleEntry) }

// PeerClient returns the configuration of a client of another entry, whose certificate must name it.
func (s *Source) PeerClient(entry fleet.EntryID) *tls.Config {
	c := s.Client(RoleEntry)
	verify := c.VerifyConnection
	c.VerifyConnection = func(state tls.ConnectionState) error {
		if err := verify(state); err != nil {
			return trace.Wrap(err)
		}
		if !s.Certifies(state, entry) {
			return trace.Wrap(&NameError{Entry: entry})
		}
		return nil
	}
	return c
}

// Certifies reports whether the peer certificate of a verified connection names an entry as a DNS name.
// The name is compared literally, so that a wildcard matches no entry.
func (s *Source) Certifies(state tls.ConnectionState, entry fleet.EntryID) bool {
	return len(state.PeerCertificates) > 0 && slices.Contains(state.PeerCertificates[0].DNSNames, string(entry))
}

func (s *Source) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	m := s.Material.Get()
	if m == nil {
		return nil, trace.Wrap(&MissingError{})
	}
	return &m.Certificate, nil
}

// verifier returns a function that verifies the chain and the role of the peer's certificate.
func (s *Source) verifier(want Role, usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		m := s.Material.Get()
		if m == nil || len(state.PeerCertificates) == 0 {
			return trace.Wrap(&MissingError{})
		}
		intermediates := x509.NewCertPool()
		for _, c := range state.PeerCertificates[1:] {
			intermediates.AddCert(c)
		}
		leaf := state.PeerCertificates[0]
		_, err := leaf.Verify(x509.VerifyOptions{
			Roots:         m.Authorities,
			Intermediates: intermediates,
			CurrentTime:   s.Clock.Now(),
			KeyUsages:     []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return trace.Wrap(err)
		}
		return require(identityOf(leaf), want)
	}
}

// IdentityOf returns the identity of the peer of a verified connection, or *MissingError.
func IdentityOf(state *tls.ConnectionState) (Identity, error) {
	if state == nil || len(state.PeerCertificates) == 0 {
		return Identity{}, trace.Wrap(&MissingError{})
	}
	return identityOf(state.PeerCertificates[0]), nil
}
