package fleet

import "time"

// AuditAction is the verb of an audit row.
type AuditAction string

// Actions in the audit trail.
const (
	AuditActionConfigApply AuditAction = "config-apply"
	AuditActionVMAdopt     AuditAction = "vm-adopt"
	AuditActionVMDrain     AuditAction = "vm-drain"
	AuditActionVMRelease   AuditAction = "vm-release"
	AuditActionVMAttach    AuditAction = "vm-attach"
	AuditActionVMReboot    AuditAction = "vm-reboot"
	AuditActionVMReturn    AuditAction = "vm-return"
	AuditActionVMCancel    AuditAction = "vm-cancel"
	AuditActionVMFail      AuditAction = "vm-fail"
	AuditActionVMRecover   AuditAction = "vm-recover"
	AuditActionVMRemove    AuditAction = "vm-remove"
	// AuditActionVMRestore writes a newer row back that a restore of the table has reverted.
	AuditActionVMRestore AuditAction = "vm-restore"
	// AuditActionVMConfirm confirms a row of a restored table in the table's new history.
	AuditActionVMConfirm   AuditAction = "vm-confirm"
	AuditActionWaveCreate  AuditAction = "wave-create"
	AuditActionWaveControl AuditAction = "wave-control"
	AuditActionWaveStep    AuditAction = "wave-step"
	AuditActionGrantReturn AuditAction = "grant-return"
	AuditActionEntryRemove AuditAction = "entry-remove"
	AuditActionLeaseTake   AuditAction = "lease-take"
)

// AuditSubject names what changed as kind and id, such as "pool/reporting".
type AuditSubject string

// SubjectVM returns the subject of a VM.
func SubjectVM(id VMID) AuditSubject { return AuditSubject("vm/" + string(id)) }

// SubjectPool returns the subject of a pool.
func SubjectPool(id PoolID) AuditSubject { return AuditSubject("pool/" + string(id)) }

// SubjectService returns the subject of a service.
func SubjectService(id ServiceID) AuditSubject { return AuditSubject("service/" + string(id)) }

// SubjectAccount returns the subject of a client account.
func SubjectAccount(id ClientAccountID) AuditSubject { return AuditSubject("account/" + string(id)) }

// SubjectWave returns the subject of a wave.
func SubjectWave(id WaveID) AuditSubject { return AuditSubject("wave/" + string(id)) }

// SubjectLease returns the subject of a lease.
func SubjectLease(d DutyName) AuditSubject { return AuditSubject("lease/" + string(d)) }

// SubjectEntry returns the subject of an entry.
func SubjectEntry(id EntryID) AuditSubject { return AuditSubject("entry/" + string(id)) }

// Audit is one row of the audit trail. It is written in the same transaction as its change.
type Audit struct {
	OperationID OperationID
	At          time.Time
	// Actor is an operator's name, or the entry and duty that acted on its own.
	Actor    string
	Action   AuditAction
	Subjects []AuditSubject
	From     string
	To       string
	Reason   string
	Outcome  string
	Entry    EntryID
}
