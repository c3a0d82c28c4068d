package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// selfSignedLifetime is the validity of a self-signed certificate. Peers do not verify it.
const selfSignedLifetime = 30 * 24 * time.Hour

// selfSigned is a CredentialSource with a self-signed certificate. It does not verify peers.
type selfSigned struct {
	certificate tls.Certificate
}

// NewSelfSigned returns a CredentialSource with a new self-signed certificate that does not verify peers,
// for the setting insecure.
func NewSelfSigned(now time.Time, entry fleet.EntryID) (CredentialSource, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		DNSNames:     []string{string(entry)},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(selfSignedLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &selfSigned{certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}}, nil
}

// PeerServer implements CredentialSource.
func (s *selfSigned) PeerServer() *tls.Config {
	return &tls.Config{Certificates: []tls.Certificate{s.certificate}, ClientAuth: tls.RequireAnyClientCert}
}

// PeerClient implements CredentialSource.
func (s *selfSigned) PeerClient(fleet.EntryID) *tls.Config {
	return &tls.Config{Certificates: []tls.Certificate{s.certificate}, InsecureSkipVerify: true}
}

// Certifies implements CredentialSource.
func (*selfSigned) Certifies(tls.ConnectionState, fleet.EntryID) bool { return true }
