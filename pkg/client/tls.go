package client

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"time"
)

// TLSFiles name the PEM files of a client. Empty fields are not used.
type TLSFiles struct {
	// Certificate and Key identify an operator; both or neither are set.
	Certificate, Key string
	// Authority holds the authorities trusted for entries; empty trusts those of the system.
	Authority string
}

// TLSError reports a file that cannot be used for TLS.
type TLSError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *TLSError) Error() string {
	if e.Cause == nil {
		return "no certificate of an authority in " + e.File
	}
	return "cannot use " + e.File + ": " + e.Cause.Error()
}

// Unwrap returns the cause; it is nil when the file holds no certificate.
func (e *TLSError) Unwrap() error { return e.Cause }

// NewHTTP returns an HTTP client that uses the files. The timeout bounds each call; 0 means no timeout.
// It returns *TLSError when a file cannot be used.
func NewHTTP(files TLSFiles, timeout time.Duration) (*http.Client, error) {
	if files == (TLSFiles{}) {
		return &http.Client{Timeout: timeout}, nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if files.Certificate != "" || files.Key != "" {
		pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
		if err != nil {
			return nil, &TLSError{File: files.Certificate, Cause: err}
		}
		config.Certificates = []tls.Certificate{pair}
	}
	if files.Authority != "" {
		data, err := os.ReadFile(files.Authority)
		if err != nil {
			return nil, &TLSError{File: files.Authority, Cause: err}
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(data) {
			return nil, &TLSError{File: files.Authority}
		}
	}
	transport := &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true, Proxy: http.ProxyFromEnvironment}
	return &http.Client{Timeout: timeout, Transport: transport}, nil
}
