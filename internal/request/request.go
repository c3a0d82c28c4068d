// Package request describes a request of a client account, its life cycle and its outcome.
package request

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Request is one request of a client account. It is not modified after it was received, apart from Class,
// Repeatable and Checkpointable.
type Request struct {
	ID      fleet.RequestID
	Account fleet.ClientAccountID
	Service fleet.ServiceID
	Type    fleet.RequestType
	Group   fleet.RequestGroup
	// Ticket is the encoded ticket; it is empty for a request without one.
	Ticket []byte
	Body   []byte
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	Received time.Time

	// Class, Repeatable and Checkpointable are set at admission from the configuration. Class
	// may change once, to fleet.ClassLong, when the request turns out to be a straggler.
	Class          fleet.Class
	Repeatable     bool
	Checkpointable bool
}

// DigestOf returns the digest that accompanies a body.
func DigestOf(body []byte) fleet.Digest {
	return fleet.Digest(xxhash.Sum64(body))
}
