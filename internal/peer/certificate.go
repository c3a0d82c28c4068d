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

// throwAwayLifetime is how long a throw-away certificate is valid. Nobody verifies it.
const throwAwayLifetime = 30 * 24 * time.Hour

// throwAway is a self-signed certificate of an entry that verifies no peer.
type throwAway struct {
	certificate tls.Certificate
}

// ThrowAway returns a source with a new self-signed certificate that verifies no peer. It is for the
// setting insecure.
func ThrowAway(now time.Time, entry fleet.EntryID) (Source, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		DNSNames:     []string{string(entry)},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(throwAwayLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &throwAway{certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}}, nil
}

// PeerServer implements Source.
func (t *throwAway) PeerServer() *tls.Config {
	return &tls.Config{Certificates: []tls.Certificate{t.certificate}, ClientAuth: tls.RequireAnyClientCert}
}

// PeerClient implements Source.
func (t *throwAway) PeerClient(fleet.EntryID) *tls.Config {
	return &tls.Config{Certificates: []tls.Certificate{t.certificate}, InsecureSkipVerify: true}
}

// Certifies implements Source.
func (*throwAway) Certifies(tls.ConnectionState, fleet.EntryID) bool { return true }
