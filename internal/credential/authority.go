package credential

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Authority is an in-memory certificate authority with short-lived certificates, for the demo and for tests.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	lifetime    time.Duration
}

// serialBits is the size of serial numbers.
const serialBits = 120

// backdating moves the start of validity back, for peers whose clocks are behind.
const backdating = time.Minute

// NewAuthority returns an authority. Its own certificate and those that it issues are valid for a lifetime.
func NewAuthority(now time.Time, lifetime time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	template, err := newTemplate(now, lifetime, pkix.Name{CommonName: "mimosawharf authority"})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Authority{certificate: certificate, key: key, lifetime: lifetime}, nil
}

// Issue returns a certificate and its key as PEM, for a name, a role and loopback addresses.
// The certificate of an entry has the entry as its DNS name.
func (a *Authority) Issue(now time.Time, name fleet.OperatorName, role Role) (certificate, key []byte, err error) {
	pair, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	template, err := newTemplate(now, a.lifetime, pkix.Name{CommonName: string(name), OrganizationalUnit: []string{string(role)}})
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	if role == RoleEntry {
		template.DNSNames = []string{string(name)}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &pair.PublicKey, a.key)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(pair)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	certificate = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return certificate, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}), nil
}

// PEM returns the authority's own certificate as PEM.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})
}

// Material issues a certificate and returns it with the authority as trusted.
func (a *Authority) Material(now time.Time, name fleet.OperatorName, role Role) (*Material, error) {
	certificate, key, err := a.Issue(now, name, role)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return Parse(certificate, key, a.PEM())
}

func newTemplate(now time.Time, lifetime time.Duration, subject pkix.Name) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      subject,
		NotBefore:    now.Add(-backdating),
		NotAfter:     now.Add(lifetime),
	}, nil
}
