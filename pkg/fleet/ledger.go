package fleet

import "time"

// Ledger lists the voluntary disruptions in progress in one pool.
type Ledger struct {
	Pool   PoolID
	Grants []Grant
	// OperationID is the operation that wrote the row last.
	OperationID OperationID
	// RowVersion is the version at which the row was read; 0 when it does not exist yet.
	RowVersion RowVersion
}

// HolderKind is the kind of the holder of a grant.
type HolderKind string

// Kinds of grant holders.
const (
	HolderKindOperator HolderKind = "operator"
	HolderKindWave     HolderKind = "wave"
	HolderKindSpare    HolderKind = "spare"
)

// Grant allows the voluntary disruption of one VM. A VM has at most one grant.
type Grant struct {
	ID         GrantID
	VM         VMID
	Zone       ZoneID
	Slots      Slots
	HolderKind HolderKind
	// Holder is the operator's name, the wave's id or the name of the duty.
	Holder      string
	OperationID OperationID
	GrantedAt   time.Time
}
