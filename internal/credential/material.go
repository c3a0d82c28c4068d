package credential

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/gravitational/trace"
)

// Material is a certificate with its key, and the authorities that are trusted. It is never modified.
type Material struct {
	Certificate tls.Certificate
	Authorities *x509.CertPool
}

// MaterialError reports files that do not hold a certificate, its key or authorities.
type MaterialError struct {
	File  string
	Cause error
}

// Error implements error. It names the file, never its contents.
func (e *MaterialError) Error() string { return "credential file " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *MaterialError) Unwrap() error { return e.Cause }

// NoAuthorityError reports a file without a certificate of an authority.
type NoAuthorityError struct{}

// Error implements error.
func (*NoAuthorityError) Error() string { return "no certificate of an authority in PEM form" }

// Files names the PEM files of the material. They are read again while the entry runs.
type Files struct {
	Certificate string
	Key         string
	Authorities string
}

// Load reads the material. It returns *MaterialError.
func (f Files) Load() (*Material, error) {
	certificate, err := os.ReadFile(f.Certificate)
	if err != nil {
		return nil, trace.Wrap(&MaterialError{File: f.Certificate, Cause: err})
	}
	key, err := os.ReadFile(f.Key)
	if err != nil {
		return nil, trace.Wrap(&MaterialError{File: f.Key, Cause: err})
	}
	authorities, err := os.ReadFile(f.Authorities)
	if err != nil {
		return nil, trace.Wrap(&MaterialError{File: f.Authorities, Cause: err})
	}
	m, err := Parse(certificate, key, authorities)
	if err != nil {
		return nil, trace.Wrap(&MaterialError{File: f.Certificate, Cause: err})
	}
	return m, nil
}

// Parse makes material from PEM. It returns an error of crypto/tls, or *NoAuthorityError.
func Parse(certificate, key, authorities []byte) (*Material, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return nil, trace.Wrap(&NoAuthorityError{})
	}
	return &Material{Certificate: pair, Authorities: pool}, nil
}
