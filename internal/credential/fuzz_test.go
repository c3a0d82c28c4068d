package credential_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/credential"
)

// Guards against credential files that make the daemon panic while it renews them, and against material
// without a certificate.
func FuzzParse(f *testing.F) {
	// No valid key is committed; the seed is generated here.
	authority, err := credential.NewAuthority(start, lifetime)
	is.New(f).NoErr(err)
	certificate, key, err := authority.Issue(start, "entry-a", credential.RoleEntry)
	is.New(f).NoErr(err)
	f.Add(certificate, key, authority.PEM())
	f.Fuzz(func(t *testing.T, certificate, key, authorities []byte) {
		m, err := credential.Parse(certificate, key, authorities)
		is.New(t).True(err != nil || len(m.Certificate.Certificate) > 0)
	})
}
