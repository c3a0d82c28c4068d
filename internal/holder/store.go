// Package holder runs the jobs of services on the entries: one entry at a time holds the lease of a
// service and schedules its jobs; every entry accepts jobs and answers requests about them.
package holder

import (
	"context"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosawharf/mimosawharf/internal/follow"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Store is the platform's table service. Its methods return *rowstore.ConflictError and the errors of
// follow.Store, and are safe for concurrent use.
type Store interface {
	follow.Store
	// Transact applies a transaction and returns its version.
	Transact(ctx context.Context, t rowstore.Transaction) (rowstore.Version, error)
}

// Tables of the store.
const (
	// MembersTable is read by every entry: leases and entries.
	MembersTable rowstore.Table = "mimosawharf-members"
	// RecordsTable has the records of services. A table of its own keeps a part that the store refuses from delaying the
	// read of the leases.
	RecordsTable rowstore.Table = "mimosawharf-services"
	// AcceptedTable has a row for each accepted job. Nobody reads it in full.
	AcceptedTable rowstore.Table = "mimosawharf-accepted"
	// tableJobs is the prefix of the tables with the jobs and cancellations of services. Each is read by the holders
	// of its services.
	tableJobs = "mimosawharf-jobs-"
	// tableProgress holds the state of jobs, one part for each service.
	tableProgress rowstore.Table = "mimosawharf-progress"
	// tableChain holds one row for each duty. Each of the duty's transactions replaces it.
	tableChain rowstore.Table = "mimosawharf-chain"
)

// Parts and keys.
const (
	// NodesPart holds a row for each live entry.
	NodesPart rowstore.Part = "nodes"
	// partDuty is the prefix of the part of a duty's lease and other rows, which share a part so that one
	// transaction covers them.
	partDuty   = "duty-"
	partIntake = "intake-"
	keyJob     = "job-"
	keyCancel  = "cancel-"
	keyProcess = "endpoints-"
	keyLease   = rowstore.Key("lease")
	// keyService is the prefix of the keys of recorded services, in the parts of accepted jobs.
	keyService = "service-"
	keyChain   = rowstore.Key("chain")
)

// intakeParts is the number of parts that accepted jobs are divided into. A part applies its transactions one after
// another, and those of different entries cannot be joined, so a store that is slow by a factor of 60 leaves about
// four submissions a second and part.
const intakeParts = 32

// jobReaders is the number of parts that a new holder reads at a time.
const jobReaders = 8

// jobTables is the number of tables that the services' jobs are divided into. The store keeps at most 100 tables.
const jobTables = 64

// JobTable returns the table with the jobs of a service.
func JobTable(s fleet.ServiceID) rowstore.Table {
	return tableJobs + rowstore.Table(strconv.FormatUint(xxhash.Sum64String(string(s))%jobTables, 10))
}

// dutyPart returns the part that holds all rows of a duty.
func dutyPart(d fleet.DutyName) rowstore.Part { return rowstore.Part(partDuty + string(d)) }

// ServiceDuty returns the duty of running the jobs of a service.
func ServiceDuty(s fleet.ServiceID) fleet.DutyName { return fleet.DutyName("jobs-" + string(s)) }

// DutyMaintenance is the duty of ordering maintenance of the platform's VMs.
const DutyMaintenance fleet.DutyName = "maintenance"
