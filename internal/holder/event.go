package holder

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/account"
	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Event is one message to the scheduler. One field is set.
type Event struct {
	Members *MembersChange
	// Recorded are services whose records were read.
	Recorded  []fleet.ServiceID
	Jobs      *JobsChange
	Known     *Known
	Progress  *ProgressRead
	Endpoints *EndpointList
	Config    *Config
	Result    *shard.Result
	Relay     *RelayEvent
	Written   *Written
	Taken     *Taken
	Ledger    *LedgerEvent
	Query     *Query
	Advice    *shard.Advice
	// Stop makes the scheduler release all leases.
	Stop bool
}

// MembersChange is what changed in the table of leases and entries. It is sent for each read, changed or not.
type MembersChange struct {
	Leases []election.Lease
	Nodes  []election.Node
	// RemovedNodes are entries whose row was removed.
	RemovedNodes []fleet.EntryID
}

// JobsChange is what changed among the jobs of a service that this entry holds.
type JobsChange struct {
	Duty  fleet.DutyName
	Epoch fleet.FencingToken
	// All is set when the change lists all jobs.
	All       bool
	Jobs      []*fleet.Job
	Cancelled []fleet.JobID
	// Withdrawn are those of the cancelled jobs that were never accepted.
	Withdrawn []fleet.JobID
	Removed   []fleet.JobID
}

// Known reports that what was stored before a time has been passed on: the jobs and cancellations of a held service, or
// the endpoints.
type Known struct {
	// Duty is empty for the endpoints.
	Duty  fleet.DutyName
	Epoch fleet.FencingToken
	UpTo  time.Time
}

// ProgressRead is the progress that earlier holders of a service committed.
type ProgressRead struct {
	Duty  fleet.DutyName
	Epoch fleet.FencingToken
	Rows  []*ProgressRow
	// Processes are the processes of the service's endpoints that earlier holders knew.
	Processes []KnownProcess
}

// KnownProcess is a process of an endpoint that a holder knew.
type KnownProcess struct {
	fleet.EndpointProcess
	// Restarted is set when an earlier process was known under the endpoint's id.
	Restarted bool
	// Settled is set when a holder has outwaited the longest lease that the process may have been granted on the earlier
	// one's clock.
	Settled bool
}

// EndpointList is what changed in the registry of endpoints.
type EndpointList struct {
	// All is set when the list is complete.
	All       bool
	Endpoints []shard.EndpointInfo
	Removed   []fleet.EndpointID
}

// Queue is a configured queue of jobs.
type Queue struct {
	job.Policy
	// Host and Prefix are what the requests for the queue have in common.
	Host, Prefix string
	// Public is set for a queue that needs no key.
	Public bool
}

// Config is the configuration of queues and services.
type Config struct {
	Version uint64
	Queues  []Queue
	// Services lists all services, those without queues included.
	Services []Service
	// Accounts holds the client accounts; nil where the configuration knows none, so that no request needs a key.
	Accounts *account.Directory
	// MaxBody is the largest request body in bytes.
	MaxBody int64
}

// Service is a configured service.
type Service struct {
	ID fleet.ServiceID
	// Spare is set for a pool of VMs that are off.
	Spare bool
}

// Taken reports the end of an attempt to take a lease.
type Taken struct {
	Duty fleet.DutyName
	// Chain is nil when the lease was not taken.
	Chain *Chain
	// Probe is set for a probe of the store, which takes no lease.
	Probe bool
	// SentAt is when the winning transaction was sent.
	SentAt time.Time
	// Previous is when the previous holder was last seen to renew; zero when there was none.
	Previous time.Time
	// PreviousEntry is the previous holder; empty when there was none.
	PreviousEntry fleet.EntryID
	// PreviousReleased is set when it had released the lease.
	PreviousReleased bool
	// Released is set when the previous holder of the maintenance duty released the lease and no orders of earlier
	// holders were outstanding.
	Released bool
	// Inherited is what earlier holders of a service stored of the leases that they granted.
	Inherited shard.Inheritance
	// Wave is the progress of waves that earlier holders of the maintenance duty committed.
	Wave []WaveRow
	Err  error
}

// ProgressRow is an encoded row of the progress of jobs.
type ProgressRow struct {
	Key   shard.RowKey
	Value []byte
}

// WaveRow is the stored progress of some VMs of a maintenance wave.
type WaveRow struct {
	Wave      fleet.WaveID
	Key       rowstore.Key
	Begun     []fleet.VMID
	Ordered   []fleet.VMID
	Done      []fleet.VMID
	Completed bool
}

// QueryKind is the kind of a query.
type QueryKind string

// Kinds of queries.
const (
	QueryState   QueryKind = "state"
	QueryWaiting QueryKind = "waiting"
	QueryVacate  QueryKind = "vacate"
	// QueryAnnounce notifies the scheduler of a stored job or cancellation.
	QueryAnnounce QueryKind = "announce"
	QueryLoad     QueryKind = "load"
	QueryJobs     QueryKind = "jobs"
	// QueryPlace asks where the next task of a job would go.
	QueryPlace QueryKind = "place"
	// QueryBacklog asks what runs and waits, of all jobs or of those of one client account.
	QueryBacklog QueryKind = "backlog"
)

// Query is a request that the scheduler answers.
type Query struct {
	Kind    QueryKind
	Service fleet.ServiceID
	Job     fleet.JobID
	Queue   fleet.QueueID
	// Endpoints are the ones to vacate.
	Endpoints []fleet.EndpointID
	// Patient lets tasks that are not lasting finish when an endpoint is vacated.
	Patient bool
	// Accepted is set for the announcement of a job, Cancelled for that of a cancellation. An announcement with
	// neither names a job that was stored earlier.
	Accepted  *fleet.Job
	Cancelled bool
	// Planned is the job to place.
	Planned *fleet.Job
	// Account is the client account that QueryBacklog is about; empty for all.
	Account fleet.ClientAccountID
	// Reply receives the answer. It must not block.
	Reply func(Answer)
}

// Answer is the answer to a query.
type Answer struct {
	// Known is set when the entry that answers holds the job's service and knows the job.
	Known bool
	// Held is set when this entry holds the service and the rest of the answer is authoritative.
	Held  bool
	State fleet.JobState
	// Service is the service of a known job, Account the client account that submitted it.
	Service fleet.ServiceID
	Account fleet.ClientAccountID
	Count   int
	// Moved counts the waiting jobs of the queue at the holders of services that it had before, as far as the entry that
	// answers knows.
	Moved int
	// Vacated are the endpoints that run nothing and get no work for a while.
	Vacated []fleet.EndpointID
	Load    shard.Load
	Jobs    []shard.JobStatus
	// Placement answers QueryPlace.
	Placement shard.Placement
	// Backlog answers QueryBacklog.
	Backlog shard.Backlog
	// Idle is set for a service that has neither queues nor jobs, so that nobody holds it.
	Idle bool
	// Holder is the address of the entry that can answer; empty when nobody holds the service.
	Holder fleet.Address
}
