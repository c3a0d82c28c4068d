// Package holder runs the jobs of services on the entries: one entry at a time holds the lease of a
// service and schedules its jobs; every entry accepts jobs and answers requests about them.
package holder

import (
	"context"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Store is the platform's table service. Its methods return *rowstore.ConflictError,
// *rowstore.RefusedError, *rowstore.UnknownError and *rowstore.HistoryError, and are safe for concurrent
// use.
type Store interface {
	// Transact applies a transaction and returns its version.
	Transact(ctx context.Context, t rowstore.Transaction) (rowstore.Version, error)
	// Scan returns the rows of a range in ascending order of keys, or the first of them.
	Scan(ctx context.Context, r rowstore.Range) (rowstore.Page, error)
	// Parts returns the parts of a table.
	Parts(ctx context.Context, table rowstore.Table) ([]rowstore.Part, error)
	// Changes returns what changed after a version. It waits for a change for at most the given time.
	Changes(ctx context.Context, table rowstore.Table, after rowstore.Version, wait time.Duration) (rowstore.Page, error)
}

// Tables of the store.
const (
	// SharedTable is read by every entry: accepted jobs, cancellations, leases and live entries.
	SharedTable rowstore.Table = "mimosawharf-shared"
	// tableProgress holds the state of jobs, one part for each service.
	tableProgress rowstore.Table = "mimosawharf-progress"
	// tableChain holds one row for each duty. Each of the duty's transactions replaces it.
	tableChain rowstore.Table = "mimosawharf-chain"
)

// Parts and keys of the shared table.
const (
	// NodesPart holds a row for each live entry.
	NodesPart rowstore.Part = "nodes"
	// partDuty is the prefix of the part of a duty's lease and other rows, which share a part so that one
	// transaction covers them.
	partDuty   = "duty-"
	partIntake = "intake-"
	keyJob     = "job-"
	keyCancel  = "cancel-"
	keyLease   = rowstore.Key("lease")
	keyChain   = rowstore.Key("chain")
)

// intakeParts is the number of parts that accepted jobs are divided into. A part applies 250 transactions a
// second, one after another, and each carries all submissions that wait.
const intakeParts = 4

// dutyPart returns the part that holds all rows of a duty.
func dutyPart(d fleet.DutyName) rowstore.Part { return rowstore.Part(partDuty + string(d)) }

// ServiceDuty returns the duty of running the jobs of a service.
func ServiceDuty(s fleet.ServiceID) fleet.DutyName { return fleet.DutyName("jobs-" + string(s)) }

// DutyMaintenance is the duty of ordering maintenance of the platform's VMs.
const DutyMaintenance fleet.DutyName = "maintenance"
