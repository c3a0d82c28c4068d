// Package fleet defines the identifiers, units, enums and values that describe a fleet:
// pools, VMs, services, client accounts, availability budgets and maintenance waves.
// Its values are plain data and safe to copy; none of its functions blocks.
package fleet

import "github.com/google/uuid"

// VMID names a VM in the platform's list.
type VMID string

// PoolID names a pool of VMs.
type PoolID string

// PoolUnassigned is the pool of a VM that no operator has assigned to a pool yet.
const PoolUnassigned PoolID = "unassigned"

// ZoneID names an availability zone.
type ZoneID string

// RackID names a rack within an availability zone.
type RackID string

// ServiceID names a service that runs on the endpoints of one pool.
type ServiceID string

// RequestType names a kind of request within a service.
type RequestType string

// ClientAccountID names a client account.
type ClientAccountID string

// RequestID names a request within its client account.
type RequestID string

// RequestGroup labels requests of one client account that may be cancelled together.
type RequestGroup string

// EndpointID names the endpoint on a VM. A VM has one endpoint, so it equals the VM's id.
type EndpointID string

// EntryID names an entry, one running daemon behind the load balancer.
type EntryID string

// Incarnation distinguishes one run of an entry from every other run under the same EntryID.
type Incarnation string

// NewIncarnation returns an incarnation that no other run uses.
func NewIncarnation() Incarnation {
	return Incarnation(uuid.NewString())
}

// OperationID identifies a change, so that a repeated attempt takes effect once.
// It is a UUIDv7 and therefore ordered by time.
type OperationID string

// NewOperationID returns an operation id that no other change uses.
func NewOperationID() OperationID {
	return OperationID(uuid.Must(uuid.NewV7()).String())
}

// WaveID names a maintenance wave.
type WaveID string

// GrantID names a grant in the disruption ledger of a pool.
type GrantID string

// OperatorName is the name in an operator's certificate.
type OperatorName string

// DutyName names a duty of the daemon, and the lease of a duty that only one entry runs at a time.
type DutyName string

// Address is an IP address and port in the form "ip:port".
type Address string

// Version is the software version on a VM.
type Version string

// BootID changes each time that a VM boots.
type BootID string

// TableHistory names one uninterrupted history of the platform's table.
type TableHistory string

// Generation counts the changes of a row over all histories of the table.
type Generation uint64

// TableKey is the key of a row in the platform's table.
type TableKey string
