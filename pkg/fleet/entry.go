package fleet

import "time"

// Entry is the row of an entry in the platform's table. The entry renews it.
type Entry struct {
	ID          EntryID
	Incarnation Incarnation
	Zone        ZoneID
	PeerAddress Address
	// VM is the entry's own VM in the platform's list; it may be empty.
	VM VMID
	// RenewedAt is by the clock of the entry itself.
	RenewedAt time.Time
	// Duration is how long the row is valid from RenewedAt.
	Duration       time.Duration
	ConfigRevision ConfigRevision
	ConfigSince    time.Time
	// AcknowledgedRevision is the highest table revision that the entry has applied while it had
	// nothing in flight on any VM whose drain had begun by then.
	AcknowledgedRevision TableRevision
	// History is the history of the table to which AcknowledgedRevision belongs, and in which the entry
	// has written back every newer row that it knew.
	History TableHistory
	// DeadEndpoints are the VMs whose endpoint does not answer the entry.
	DeadEndpoints []VMID
	RowVersion    RowVersion
}

// Lease is the row of the lease on a duty that only one entry runs at a time.
type Lease struct {
	Duty        DutyName
	Holder      EntryID
	Incarnation Incarnation
	// Epoch rises by one with each change of holder.
	Epoch      LeaseEpoch
	RenewedAt  time.Time
	Duration   time.Duration
	RowVersion RowVersion
}

// Leased duties.
const (
	DutyFleetDriver DutyName = "fleet-driver"
	DutyWaveDriver  DutyName = "wave-driver"
	DutySpareDriver DutyName = "spare-driver"
	DutySnapshot    DutyName = "snapshot"
)
