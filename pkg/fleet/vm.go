package fleet

import "time"

// VMState is the state of a VM in its life cycle.
type VMState string

// States of a VM.
const (
	// VMStateServing means that the VM's endpoint accepts new work of its pool.
	VMStateServing VMState = "serving"
	// VMStateDraining means that work in flight finishes and no new work starts.
	VMStateDraining VMState = "draining"
	// VMStateDrained means that no entry sends work to the VM any more.
	VMStateDrained VMState = "drained"
	// VMStateRebooting means that the platform reboots, replaces or updates the VM.
	VMStateRebooting VMState = "rebooting"
	// VMStateFailed means that the VM was lost without a planned disruption.
	VMStateFailed VMState = "failed"
	// VMStateRemoved means that the VM was removed from the fleet permanently.
	VMStateRemoved VMState = "removed"
)

// VMPurpose is the purpose of a drain: what follows it.
type VMPurpose string

// Purposes of a drain.
const (
	// VMPurposeNone is the purpose of a VM that is not being disrupted.
	VMPurposeNone VMPurpose = ""
	// VMPurposeHold keeps the VM drained until an operator returns it.
	VMPurposeHold VMPurpose = "hold"
	// VMPurposeMove attaches the VM to another pool.
	VMPurposeMove VMPurpose = "move"
	// VMPurposeReboot reboots the VM.
	VMPurposeReboot VMPurpose = "reboot"
	// VMPurposeReplace replaces the VM by a new one with the same id.
	VMPurposeReplace VMPurpose = "replace"
	// VMPurposeRollOut installs a version and reboots.
	VMPurposeRollOut VMPurpose = "roll-out"
	// VMPurposeRemove removes the VM from the fleet.
	VMPurposeRemove VMPurpose = "remove"
)

// Resources are the sizes of a VM.
type Resources struct {
	Cores        Cores
	Memory       Bytes
	Accelerators Accelerators
}

// VM is the row of a VM in the platform's table.
type VM struct {
	ID   VMID
	Zone ZoneID
	Rack RackID
	// Address is where the VM's endpoint listens.
	Address     Address
	Slots       Slots
	Connections Connections
	Resources   Resources
	// Pool is the one pool that the VM belongs to; it is never empty.
	Pool  PoolID
	State VMState
	// TargetPool is set only while Purpose is VMPurposeMove.
	TargetPool PoolID
	// HomePool is the pool that lent the VM; it is empty while the VM is not lent.
	HomePool PoolID
	// AssignmentEpoch rises by one each time that the VM is attached to a pool.
	AssignmentEpoch AssignmentEpoch
	Version         Version
	// TargetVersion is set only while Purpose is VMPurposeRollOut.
	TargetVersion  Version
	LastMaintained time.Time
	// OperationID is the operation that wrote the row last.
	OperationID OperationID
	// GrantID names the grant in the ledger of Pool; it is empty exactly while the VM is not disrupted on purpose.
	GrantID GrantID
	Purpose VMPurpose
	// Since is when the VM entered its state.
	Since time.Time
	// Wave is the wave that disrupts the VM, if any.
	Wave WaveID
	// History is the history of the table in which the row was confirmed. A row of another history came
	// from a backup, and no change is based on it.
	History TableHistory
	// Generation rises by one with each change of the row, also after a restore of the table.
	Generation Generation
	// RowVersion is the version at which the row was read; it is not stored in the row. While the
	// VM is draining it is the table revision that entries must acknowledge.
	RowVersion RowVersion
}

// Endpoint returns the id of the VM's endpoint.
func (v VM) Endpoint() EndpointID {
	return EndpointID(v.ID)
}

// IsDisrupted reports whether the VM is voluntarily out of service or being drained.
func (v VM) IsDisrupted() bool {
	return v.State == VMStateDraining || v.State == VMStateDrained || v.State == VMStateRebooting
}

// PlatformVMState is the state of a VM in the platform's list.
type PlatformVMState string

// States of a VM in the platform's list.
const (
	PlatformVMStateLive      PlatformVMState = "live"
	PlatformVMStateLeaving   PlatformVMState = "leaving"
	PlatformVMStateRebooting PlatformVMState = "rebooting"
)

// VMRole distinguishes endpoint VMs from entry VMs in the platform's list.
type VMRole string

// Roles of VMs.
const (
	VMRoleEndpoint VMRole = "endpoint"
	VMRoleEntry    VMRole = "entry"
)

// PlatformVM is a VM as the platform lists it, some time ago.
type PlatformVM struct {
	ID          VMID
	Zone        ZoneID
	Rack        RackID
	Address     Address
	State       PlatformVMState
	Role        VMRole
	Slots       Slots
	Connections Connections
	Resources   Resources
	Version     Version
	// Usage is the share of the VM's cores that was in use.
	Usage Percent
	// Boot changes at each boot.
	Boot BootID
	// LastOperation is the operation of the last finished action.
	LastOperation OperationID
}

// VMList is the platform's list of VMs.
type VMList struct {
	VMs []PlatformVM
	// AsOf is the time of the state that the list shows, by the platform's clock.
	AsOf time.Time
}

// VMAction is an action of the platform on a VM.
type VMAction string

// Actions on a VM.
const (
	VMActionReboot  VMAction = "reboot"
	VMActionReplace VMAction = "replace"
	VMActionRollOut VMAction = "roll-out"
	VMActionAssign  VMAction = "assign"
)

// VMCommand asks the platform to act on a VM once per operation id.
type VMCommand struct {
	VM              VMID
	Action          VMAction
	Version         Version
	Pool            PoolID
	AssignmentEpoch AssignmentEpoch
	OperationID     OperationID
	// RowVersion and History identify the row of the VM that the command is based on. The platform accepts
	// the command only while its table still holds that row. A version of 0 means no check.
	RowVersion RowVersion
	History    TableHistory
}
