package control

import (
	"slices"

	"github.com/mimosawharf/mimosawharf/internal/move"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// returnGrant adds the return of a VM's grant to a transaction.
func returnGrant(t *platform.Transaction, ledger fleet.Ledger, vm fleet.VM) {
	if ledger.RowVersion == 0 {
		return
	}
	version := ledger.RowVersion
	ledger.Grants = slices.DeleteFunc(slices.Clone(ledger.Grants), func(g fleet.Grant) bool { return g.VM == vm.ID })
	ledger.OperationID = t.Audit.OperationID
	t.Preconditions = append(t.Preconditions, platform.Precondition{Key: wire.KeyLedger(vm.Pool), Version: version})
	t.Puts = append(t.Puts, platform.Put{Key: wire.KeyLedger(vm.Pool), Value: wire.EncodeLedger(ledger)})
}

func auditAction(e move.Event) fleet.AuditAction {
	actions := map[move.Event]fleet.AuditAction{
		move.EventDrain:   fleet.AuditActionVMDrain,
		move.EventRelease: fleet.AuditActionVMRelease,
		move.EventAttach:  fleet.AuditActionVMAttach,
		move.EventReboot:  fleet.AuditActionVMReboot,
		move.EventBooted:  fleet.AuditActionVMReturn,
		move.EventCancel:  fleet.AuditActionVMCancel,
		move.EventFail:    fleet.AuditActionVMFail,
		move.EventRecover: fleet.AuditActionVMRecover,
		move.EventRemove:  fleet.AuditActionVMRemove,
	}
	return actions[e]
}
