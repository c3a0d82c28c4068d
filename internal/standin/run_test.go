package standin_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/credential"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/standin"
)

// Guards against a stand-in that ignores its TLS files, or that serves clients other than entries.
func TestStandInsServeEntriesOnly(t *testing.T) {
	is := is.New(t)
	now := clock.Real().Now()
	authority, err := credential.NewAuthority(now, time.Hour)
	is.NoErr(err)
	for name, role := range map[string]credential.Role{"platform": credential.RolePlatform, "endpoint": credential.RoleEndpoint} {
		t.Run(name, func(t *testing.T) {
			is, directory := is.New(t), t.TempDir()
			certificate, key, err := authority.Issue(now, "standin", role)
			is.NoErr(err)
			arguments := []string{name, "--address", "127.0.0.1:0"}
			for flag, data := range map[string][]byte{"tls-cert-file": certificate, "tls-key-file": key, "tls-ca-file": authority.PEM()} {
				path := filepath.Join(directory, flag)
				is.NoErr(os.WriteFile(path, data, 0o600))
				arguments = append(arguments, "--"+flag, path)
			}
			ctx, cancel := context.WithCancel(context.Background())
			reader, writer := io.Pipe()
			done := ring.New[error]("done", 1)
			go func() { _ = done.Push(standin.Run(ctx, arguments, writer)) }()
			line, err := bufio.NewReader(reader).ReadString('\n')
			is.NoErr(err)
			address := regexp.MustCompile(`127[0-9.]+:[0-9]+`).FindString(line)
			for client, want := range map[credential.Role]bool{credential.RoleEntry: true, credential.RoleAdmin: false} {
				m, err := authority.Material(now, "client", client)
				is.NoErr(err)
				source := &credential.Source{Clock: clock.Real()}
				source.Material.Set(m)
				response, err := (&http.Client{Transport: &http.Transport{TLSClientConfig: source.Client(role)}}).Get("https://" + address)
				is.Equal(err == nil, want)
				if err == nil {
					is.NoErr(response.Body.Close())
				}
			}
			cancel()
			_, err = done.Pop(context.Background())
			is.NoErr(err)
		})
	}
}
