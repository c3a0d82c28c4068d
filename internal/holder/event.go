package holder

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Event is one message to the scheduler. One field is set.
type Event struct {
	Shared    *SharedChange
	Endpoints *EndpointList
	Config    *Config
	Result    *shard.Result
	Written   *Written
	Taken     *Taken
	Loaded    *Loaded
	Query     *Query
	Advice    *shard.Advice
	// Stop makes the scheduler release all leases.
	Stop bool
}

// SharedChange is what changed in the shared table.
type SharedChange struct {
	// All is set when the change lists all rows of the table.
	All         bool
	Jobs        []*fleet.Job
	Cancelled   []fleet.JobID
	RemovedJobs []fleet.JobID
	Leases      []election.Lease
	Nodes       []election.Node
	// RemovedNodes are entries whose row was removed.
	RemovedNodes []fleet.EntryID
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
}

// Config is the configuration of queues and services.
type Config struct {
	Version uint64
	Queues  []Queue
	// Services lists all services, those without queues included.
	Services []Service
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
	// SentAt is when the winning transaction was sent.
	SentAt time.Time
	// Previous is when the previous holder was last seen to renew; zero when there was none.
	Previous time.Time
	// Released is set when the previous holder released the lease and no orders of earlier holders were
	// outstanding.
	Released bool
	Progress []*ProgressRow
	Wave     []WaveRow
	Err      error
}

// ProgressRow is the encoded progress of one occurrence.
type ProgressRow struct {
	Value []byte
}

// WaveRow is the stored progress of a maintenance wave.
type WaveRow struct {
	Wave      fleet.WaveID
	Ordered   []fleet.VMID
	Done      []fleet.VMID
	Completed bool
}

// Loaded reports that the scheduler has received all rows that were committed before a lease was taken.
type Loaded struct {
	Duty  fleet.DutyName
	Epoch fleet.FencingToken
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
	// Accepted is set for the announcement of a job, Cancelled for that of a cancellation.
	Accepted  *fleet.Job
	Cancelled bool
	// Reply receives the answer. It must not block.
	Reply func(Answer)
}

// Answer is the answer to a query.
type Answer struct {
	// Known is set when the entry that answers knows the job.
	Known bool
	// Held is set when this entry holds the service and the rest of the answer is authoritative.
	Held  bool
	State fleet.JobState
	// Service is the service of a known job.
	Service fleet.ServiceID
	Count   int
	// Vacated are the endpoints that run nothing and get no work for a while.
	Vacated []fleet.EndpointID
	Load    shard.Load
	Jobs    []shard.JobStatus
	// Idle is set for a service that has neither queues nor jobs, so that nobody holds it.
	Idle bool
	// Holder is the address of the entry that can answer; empty when nobody holds the service.
	Holder fleet.Address
}
