package caller

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Headers that carry the credential of a client account.
const (
	HeaderAccount = "Mimosawharf-Account"
	HeaderSecret  = "Authorization"
	secretScheme  = "Bearer "
)

// CredentialError reports an unknown account or a wrong secret. The request did not run.
type CredentialError struct{}

// Error implements error.
func (*CredentialError) Error() string { return "unknown client account or wrong secret; not run" }

// NotReadyError reports an entry that has no configuration yet and cannot authenticate accounts.
type NotReadyError struct{}

// Error implements error.
func (*NotReadyError) Error() string { return "entry has no configuration yet; ask another entry" }

// authenticate returns the account whose secret the headers carry.
func (h *Handler) authenticate(header http.Header) (fleet.ClientAccountID, error) {
	id := fleet.ClientAccountID(header.Get(HeaderAccount))
	secret := strings.TrimPrefix(header.Get(HeaderSecret), secretScheme)
	hash := sha256.Sum256([]byte(secret))
	view := h.View.Get()
	if view == nil {
		return "", connect.NewError(connect.CodeUnavailable, trace.Wrap(&NotReadyError{}))
	}
	account, ok := view.Configuration.Accounts[id]
	if !ok || subtle.ConstantTimeCompare(hash[:], account.CredentialHash) != 1 {
		return "", refusal(connect.CodeUnauthenticated, request.ReasonNotPermitted, &CredentialError{})
	}
	return id, nil
}
