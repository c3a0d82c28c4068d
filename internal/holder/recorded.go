package holder

import (
	"maps"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// A service is recorded while a stored row that each entry reads names it: its lease, which stays once an entry has taken
// it, or a record. The first jobs of a service store a record in their own transaction, so that a process which has never
// seen a configuration with the service takes its lease as well. Records stay; there are none for services whose lease was
// taken before their first job came.

// RecordsInterval is the time between reads of the records after the first one. A process that runs knows the services of
// its configurations without them.
const RecordsInterval = 15 * time.Second

// RecordsPart is read first. It is one of those that may have records.
const RecordsPart rowstore.Part = partIntake + "0"

// RecordsSink decodes records for the scheduler.
type RecordsSink struct {
	// The fields are set before Run.
	Scheduler *ring.Ring[Event]
	Log       *zap.Logger
}

// Replace implements follow.Sink.
func (s *RecordsSink) Replace(rows []rowstore.Row) { s.Change(rows) }

// Change implements follow.Sink. A row that is not the record of its key is logged and skipped.
func (s *RecordsSink) Change(rows []rowstore.Row) {
	var recorded []fleet.ServiceID
	for _, row := range rows {
		m := &jobv1.RecordedService{}
		switch err := proto.Unmarshal(row.Value, m); {
		case row.Deleted:
		case err != nil || row.Key != recordKey(fleet.ServiceID(m.GetService())):
			s.Log.Error("follower: record of a service cannot be decoded, skipped", zap.String("part", string(row.Part)), zap.String("key", string(row.Key)), zap.Error(err))
		default:
			recorded = append(recorded, fleet.ServiceID(m.GetService()))
		}
	}
	if len(recorded) == 0 {
		return
	}
	if err := s.Scheduler.PushReserved(Event{Recorded: recorded}); err != nil {
		s.Log.Error("follower: records of services dropped", zap.Error(trace.Unwrap(err)))
	}
}

// Synced implements follow.Sink.
func (*RecordsSink) Synced(time.Time) {}

func recordKey(s fleet.ServiceID) rowstore.Key { return keyService + rowstore.Key(s) }

// serviceRecord returns the record of a service, in a part of accepted jobs.
func serviceRecord(part rowstore.Part, s fleet.ServiceID) rowstore.Row {
	return mustRow(RecordsTable, part, recordKey(s), &jobv1.RecordedService{Service: string(s)})
}

// record notes that a stored row names a service. The published map is never changed.
func (s *Scheduler) record(service fleet.ServiceID) {
	if s.recorded[service] {
		return
	}
	recorded := maps.Clone(s.recorded)
	recorded[service] = true
	s.recorded = recorded
}

// mayHaveJobs reports whether a service may have jobs: whether a configuration has sent it a queue, or it is recorded.
func (s *Scheduler) mayHaveJobs(service fleet.ServiceID) bool {
	return s.queued[service] || s.recorded[service]
}
