package holder

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	// maxUnreduced bounds the rows of jobs that a new holder keeps as they are stored before it has read their progress.
	maxUnreduced = 8 << 20
	// minReduced is the length of the rows that are shortened. Shorter ones take little more without their payload.
	minReduced = 1 << 10
	// reducePause is the time between checks whether the progress has been read.
	reducePause = 20 * time.Millisecond
)

// endedJobs holds when the jobs ended that were completed by the stored progress.
type endedJobs map[fleet.JobID]time.Time

// readEnded returns the jobs that were completed. Those with several occurrences or with divided progress are left out.
func readEnded(rows []*ProgressRow) endedJobs {
	ended := endedJobs{}
	for _, row := range rows {
		if row.Key.IsSchedule || row.Key.Occurrence > 0 || row.Key.Part > 0 {
			continue
		}
		if at, ok := wire.CompletedAt(row.Value); ok {
			ended[row.Key.Job] = at
		}
	}
	return ended
}

// payloadReducer leaves the payloads of completed jobs out of the rows that a new holder reads: they stay stored for as long
// as callers may ask for the job, and those of some minutes may exceed the memory of a VM. Only the first read of a service
// is reduced.
type payloadReducer struct {
	clock clock.Clock
	// ended is nil until the progress has been read.
	ended ring.Latest[endedJobs]
	// isDone is set once the jobs have been read.
	isDone atomic.Bool
	// unreduced is the size of the rows that were kept before.
	unreduced atomic.Int64
}

// Await implements follow.Reducer.
func (r *payloadReducer) Await(ctx context.Context) {
	for r.ended.Get() == nil && !r.isDone.Load() && r.unreduced.Load() >= maxUnreduced {
		if clock.Wait(ctx, r.clock, reducePause) != nil {
			return
		}
	}
}

// Reduce implements follow.Reducer.
func (r *payloadReducer) Reduce(rows []rowstore.Row) []rowstore.Row {
	if r.isDone.Load() {
		return rows
	}
	ended := r.ended.Get()
	for i, row := range rows {
		if ended == nil {
			r.unreduced.Add(int64(len(row.Value)))
			continue
		}
		id, isJob := strings.CutPrefix(string(row.Key), keyJob)
		if at, ok := ended[fleet.JobID(id)]; isJob && ok && len(row.Value) >= minReduced {
			rows[i].Value = withoutPayload(row.Value, at)
		}
	}
	return rows
}

// disable has later reads keep all rows: an id may be used again once its job has been removed.
func (r *payloadReducer) disable() { r.isDone.Store(true) }

// withoutPayload returns the row of a job that ended at a time without its payload. It returns the row as it is if the job was
// accepted later, under the id of an earlier one, or is due several times.
func withoutPayload(value []byte, endedAt time.Time) []byte {
	m := &jobv1.Job{}
	if proto.Unmarshal(value, m) != nil || m.GetOccurrences() > 0 || !m.GetAcceptedAt().AsTime().Before(endedAt) {
		return value
	}
	m.Payload = ""
	short, err := proto.Marshal(m)
	if err != nil {
		return value
	}
	return short
}
