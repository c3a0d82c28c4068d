// Package credential holds the TLS material of an entry, renews it without a restart, and identifies the
// peer of a connection.
package credential

import (
	"crypto/x509"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Role is what the holder of a certificate may do. It is the certificate's organizational unit.
type Role string

// Roles.
const (
	// RoleViewer may read.
	RoleViewer Role = "viewer"
	// RoleOperator may also change VMs and waves.
	RoleOperator Role = "operator"
	// RoleAdmin may also change the configuration.
	RoleAdmin Role = "admin"
	// RoleEntry is the role of an entry towards other entries, operators and callers.
	RoleEntry Role = "entry"
	// RoleEndpoint is the role of an endpoint.
	RoleEndpoint Role = "endpoint"
	// RolePlatform is the role of the platform's services.
	RolePlatform Role = "platform"
)

// operatorRanks orders the roles of operators; a higher one includes the lower ones.
var operatorRanks = map[Role]int{RoleViewer: 1, RoleOperator: 2, RoleAdmin: 3}

// Includes reports whether the role allows what the other one allows. Only the roles of operators
// include others.
func (r Role) Includes(other Role) bool {
	if r == other {
		return true
	}
	own, wanted := operatorRanks[r], operatorRanks[other]
	return own > 0 && wanted > 0 && own >= wanted
}

// Identity is the holder of a verified certificate.
type Identity struct {
	// Name is the common name of the certificate.
	Name fleet.OperatorName
	Role Role
}

// RoleError reports a certificate whose role does not allow the connection or the call.
type RoleError struct {
	Name fleet.OperatorName
	Role Role
	Want Role
}

// Error implements error.
func (e *RoleError) Error() string {
	return "certificate of " + string(e.Name) + " has role " + string(e.Role) + ", needs " + string(e.Want)
}

// MissingError reports a connection without a certificate of its peer, or an entry without material.
type MissingError struct{}

// Error implements error.
func (*MissingError) Error() string { return "no certificate was presented" }

// ExpiredError reports a certificate that expired while its connection was open.
type ExpiredError struct {
	Name  fleet.OperatorName
	Until time.Time
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return "certificate of " + string(e.Name) + " expired at " + e.Until.UTC().Format(time.RFC3339) + "; connect with a new one"
}

// NameError reports a certificate that does not name the entry that was called.
type NameError struct {
	Entry fleet.EntryID
}

// Error implements error.
func (e *NameError) Error() string { return "certificate does not name entry " + string(e.Entry) }

// identityOf returns the holder of a certificate. A certificate without exactly one organizational
// unit has no role.
func identityOf(c *x509.Certificate) Identity {
	i := Identity{Name: fleet.OperatorName(c.Subject.CommonName)}
	if len(c.Subject.OrganizationalUnit) == 1 {
		i.Role = Role(c.Subject.OrganizationalUnit[0])
	}
	return i
}

// require returns *RoleError unless the identity has the role.
func require(i Identity, want Role) error {
	if i.Role.Includes(want) {
		return nil
	}
	return trace.Wrap(&RoleError{Name: i.Name, Role: i.Role, Want: want})
}
