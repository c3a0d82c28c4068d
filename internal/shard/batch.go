package shard

import (
	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// maxBatchRows is the limit of rows in one transaction. The store accepts at most 100 entries.
const maxBatchRows = 80

// maxBatchBytes bounds the values of a batch. The store accepts 1 MB per transaction, of which base64 takes a quarter.
// The rows of one occurrence, at most 440 KB, may exceed it if the batch has no other.
const maxBatchBytes fleet.Bytes = 400 << 10

// Encoder encodes rows.
type Encoder interface {
	// Encode returns the value of an occurrence's row, and those of the rows with its tasks where it has parts.
	Encode(o *job.Occurrence) ([][]byte, error)
	EncodeSchedule(id fleet.JobID, s job.Schedule) ([]byte, error)
}

// RowKey identifies a row of the progress of jobs.
type RowKey struct {
	Job        fleet.JobID
	Occurrence fleet.Occurrence
	// Part is 0 for the row of the occurrence itself; the rows of its tasks, where it has them, are numbered from 1.
	Part int
	// IsSchedule is set for the row of the job's schedule.
	IsSchedule bool
}

// RowWrite is one row of a batch. A nil value deletes the row.
type RowWrite struct {
	Key   RowKey
	Value []byte
}

// Batch is a transaction on the rows of the service. Orders that depend on it are held back until Committed.
type Batch struct {
	Rows []RowWrite
	// occurrences are those with a row in the batch, size is that of the values.
	occurrences map[job.Key]bool
	size        fleet.Bytes
	planned     []plannedRun
	acks        map[fleet.EndpointProcess]fleet.EndCursor
	jobs        map[fleet.JobID]*jobState
}

// hasRoom reports whether rows may be added. Rows that go together may exceed the bounds if the batch has no other.
func (b *Batch) hasRoom(rows int, size fleet.Bytes) bool {
	return len(b.Rows) == 0 || len(b.Rows)+rows <= maxBatchRows && b.size+size <= maxBatchBytes
}

func (b *Batch) add(key RowKey, value []byte) {
	b.Rows = append(b.Rows, RowWrite{Key: key, Value: value})
	b.size += fleet.Bytes(len(value))
}
