package account

import "github.com/mimosawharf/mimosawharf/pkg/fleet"

// Caller is who makes a request about a job. The zero Caller has no key.
type Caller struct {
	// Account is the client account whose key the request carries.
	Account fleet.ClientAccountID
	// Operator is set for requests of the product's own tools, which see the jobs of all accounts.
	Operator bool
}

// MayAccess reports whether the caller may read and cancel a job of an account. A job without an account was submitted
// to a queue that is open to all.
func (c Caller) MayAccess(owner fleet.ClientAccountID) bool {
	return c.Operator || owner == "" || owner == c.Account
}
