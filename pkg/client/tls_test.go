package client_test

import (
	"encoding/pem"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/pkg/client"
)

// Guards against an authority file that is ignored, so that a client trusts no server or any server.
func TestNewHTTPTrustsTheAuthorityOfTheFile(t *testing.T) {
	is := is.New(t)
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	path := filepath.Join(t.TempDir(), "ca.pem")
	is.NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}), 0o600))
	trusting, err := client.NewHTTP(client.TLSFiles{Authority: path}, 0)
	is.NoErr(err)
	response, err := trusting.Get(server.URL)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	other, err := client.NewHTTP(client.TLSFiles{}, 0)
	is.NoErr(err)
	_, err = other.Get(server.URL) //nolint:bodyclose // there is no response
	is.True(err != nil)            // an unknown authority is not trusted
}

// Guards against unusable files that are ignored instead of reported by a typed error.
func TestNewHTTPRefusesUnusableFiles(t *testing.T) {
	empty := filepath.Join(t.TempDir(), "empty.pem")
	is.New(t).NoErr(os.WriteFile(empty, nil, 0o600))
	for name, files := range map[string]client.TLSFiles{
		"absent authority":        {Authority: "/nonexistent"},
		"empty authority":         {Authority: empty},
		"certificate without key": {Certificate: empty},
		"key without certificate": {Key: empty},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := client.NewHTTP(files, 0)
			var wrong *client.TLSError
			is.True(errors.As(err, &wrong))
		})
	}
}
