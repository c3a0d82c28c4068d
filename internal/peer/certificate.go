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

// ThrowAway returns a configuration with a new self-signed certificate that verifies no peer. It is
// for the setting insecure.
func ThrowAway(now time.Time, entry fleet.EntryID) (*tls.Config, error) {
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
	return &tls.Config{
		Certificates:       []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		InsecureSkipVerify: true,
	}, nil
}
