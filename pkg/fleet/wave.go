package fleet

import "time"

// WaveState is the state of a maintenance wave.
type WaveState string

// States of a wave.
const (
	WaveStatePlanned     WaveState = "planned"
	WaveStateRunning     WaveState = "running"
	WaveStateWaiting     WaveState = "waiting"
	WaveStateHalted      WaveState = "halted"
	WaveStateRollingBack WaveState = "rolling-back"
	WaveStateRolledBack  WaveState = "rolled-back"
	WaveStateFinished    WaveState = "finished"
	WaveStateCancelled   WaveState = "cancelled"
)

// IsFinal reports whether the wave has ended.
func (s WaveState) IsFinal() bool {
	return s == WaveStateFinished || s == WaveStateCancelled || s == WaveStateRolledBack
}

// WaveAction is what a wave does to each of its VMs.
type WaveAction string

// Actions of a wave.
const (
	WaveActionDrain   WaveAction = "drain"
	WaveActionReboot  WaveAction = "reboot"
	WaveActionReplace WaveAction = "replace"
	WaveActionRollOut WaveAction = "roll-out"
)

// WaveCommand is an operator's command to a wave.
type WaveCommand string

// Commands to a wave.
const (
	WaveCommandStart    WaveCommand = "start"
	WaveCommandHalt     WaveCommand = "halt"
	WaveCommandResume   WaveCommand = "resume"
	WaveCommandRollBack WaveCommand = "roll-back"
	WaveCommandCancel   WaveCommand = "cancel"
)

// Wave is the row of a maintenance wave in the platform's table.
type Wave struct {
	ID    WaveID
	Spec  WaveSpec
	State WaveState
	// Reason says why the wave waits or halted; it is empty otherwise.
	Reason string
	VMs    []WaveVM
	// Width is how many VMs of a pool a step may disrupt at the same time; 0 until the canary VMs are
	// judged.
	Width       VMCount
	CreatedAt   time.Time
	ChangedAt   time.Time
	OperationID OperationID
	// Failures counts VMs of the wave that failed, or exceeded the step timeout, during their step or its soak.
	Failures VMCount
	// UnexpectedFailures counts VMs of the wave that failed outside their own step.
	UnexpectedFailures VMCount
	// Healthy counts VMs judged healthy since Width changed last.
	Healthy VMCount
	// LowLoadSince is the time since which urgent load is low; it is set only while the wave waits.
	LowLoadSince time.Time
	// FailuresSince is when an operator last resumed the wave; failures before it no longer halt the wave.
	FailuresSince time.Time
	// Late is set when the wave is expected to end after its deadline.
	Late bool
	// RowVersion is the version at which the row was read; it is not stored in the row.
	RowVersion RowVersion
}

// WaveSpec is an operator's specification of a wave.
type WaveSpec struct {
	Pools  []PoolID
	Filter WaveFilter
	Action WaveAction
	// Version is set only for WaveActionRollOut.
	Version  Version
	Deadline time.Time
	Limits   WaveLimits
}

// WaveFilter narrows the VMs of a wave. Empty fields match all VMs.
type WaveFilter struct {
	Zones            []ZoneID
	Racks            []RackID
	MaintainedBefore time.Time
	VersionNot       Version
}

// WaveLimits bound a wave. Zero values take the defaults of package maintenance.
type WaveLimits struct {
	CanaryVMs      VMCount
	MaxParallelVMs VMCount
	MaxFailures    VMCount
	Soak           time.Duration
	StepTimeout    time.Duration
	// MaxVMsPerPool bounds the VMs of a pool in the wave, those maintained longest ago first; 0 takes all.
	MaxVMsPerPool VMCount
}

// WaveVMState is the progress of one VM of a wave.
type WaveVMState string

// Progress of a VM of a wave.
const (
	WaveVMStatePending WaveVMState = "pending"
	WaveVMStateStarted WaveVMState = "started"
	// WaveVMStateSoaking means that the VM is back and its health is not judged yet.
	WaveVMStateSoaking WaveVMState = "soaking"
	WaveVMStateDone    WaveVMState = "done"
	WaveVMStateFailed  WaveVMState = "failed"
	WaveVMStateSkipped WaveVMState = "skipped"
)

// WaveVM is one VM of a wave.
type WaveVM struct {
	VM        VMID
	Pool      PoolID
	Zone      ZoneID
	Rack      RackID
	State     WaveVMState
	ChangedAt time.Time
	// PreviousVersion is the version that a roll-back installs.
	PreviousVersion Version
	// StartedAt is when the drain of the VM began; it is zero before.
	StartedAt time.Time
}
