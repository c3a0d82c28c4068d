package holder

import (
	"maps"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// A service is recorded while a stored row that each entry reads names it: its lease, which stays once an entry has taken
// it, or a record. The first jobs of a service store a record in their own transaction, so that a process which has never
// seen a configuration with the service takes its lease as well. Records stay; there are none for services whose lease was
// taken before their first job came.

// serviceRecord returns the record of a service, in a part of accepted jobs.
func serviceRecord(part rowstore.Part, s fleet.ServiceID) rowstore.Row {
	return mustRow(MembersTable, part, keyService+rowstore.Key(s), &jobv1.RecordedService{Service: string(s)})
}

// isServiceRecord reports whether a row of the members is a record.
func isServiceRecord(row rowstore.Row) bool {
	return strings.HasPrefix(string(row.Part), partIntake) && strings.HasPrefix(string(row.Key), keyService)
}

// decodeServiceRecord decodes a record, and returns false if it is not that of its key.
func decodeServiceRecord(row rowstore.Row) (s fleet.ServiceID, isValid bool, err error) {
	m := &jobv1.RecordedService{}
	if err := proto.Unmarshal(row.Value, m); err != nil {
		return "", false, err
	}
	return fleet.ServiceID(m.GetService()), row.Key == keyService+rowstore.Key(m.GetService()), nil
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
