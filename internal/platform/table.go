// Package platform is the client of the platform: its transactional table, its object store and its VMs.
package platform

import (
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Row is a row of the table.
type Row struct {
	Key   fleet.TableKey
	Value []byte
	// Version is 0 when the row does not exist.
	Version fleet.RowVersion
	Deleted bool
}

// Exists reports whether the row exists.
func (r Row) Exists() bool { return r.Version != 0 && !r.Deleted }

// Precondition must hold for a transaction to apply.
type Precondition struct {
	Key fleet.TableKey
	// Version is the expected version of the row; 0 means that the row must not exist.
	Version fleet.RowVersion
}

// Put writes or deletes a row.
type Put struct {
	Key    fleet.TableKey
	Value  []byte
	Delete bool
}

// Transaction applies all puts when all preconditions hold, and none otherwise.
type Transaction struct {
	// Audit is the audit row that is written with the puts, under a precondition that it does not
	// exist yet. Its operation id makes the transaction idempotent. It is nil only for heartbeats,
	// which change no state of the fleet.
	Audit         *fleet.Audit
	Preconditions []Precondition
	Puts          []Put
	// History is the history of the table that the transaction is based on. A table that was restored since
	// refuses it, because row versions of two histories may be equal. Empty accepts any history.
	History History
}

// Changes are the rows that changed after a revision.
type Changes struct {
	Rows []Row
	// Revision is the table revision up to which Rows is complete.
	Revision fleet.TableRevision
	More     bool
	// History changes when the table is restored from a backup.
	History History
}

// History names one uninterrupted history of the table.
type History = fleet.TableHistory

// ObjectName names an object in the object store.
type ObjectName string

// ConflictError reports that a precondition did not hold. Nothing was changed.
type ConflictError struct {
	Keys []fleet.TableKey
}

// Error implements error.
func (e *ConflictError) Error() string {
	text := "transaction conflicts on"
	for _, k := range e.Keys {
		text += " " + string(k)
	}
	return text
}

// RateExceededError reports a call that the platform refused for exceeding its rate. Nothing was changed.
type RateExceededError struct {
	Call string
}

// Error implements error.
func (e *RateExceededError) Error() string {
	return "platform refuses " + e.Call + ": rate exceeded; try again later"
}

// UnavailableError reports that the platform did not answer. For a transaction it means that the
// effect is not known.
type UnavailableError struct {
	Call  string
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "platform does not answer " + e.Call + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
