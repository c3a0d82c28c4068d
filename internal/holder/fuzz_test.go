package holder

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a row of the system's own tables that ends the process, or that is taken for that of another key.
func FuzzOwnRow(f *testing.F) {
	lease := mustRow(MembersTable, "duty-jobs-s", keyLease, &jobv1.Lease{Duty: "jobs-s", Entry: "e", Epoch: 7})
	node := mustRow(MembersTable, NodesPart, "e", &jobv1.Node{Entry: "e", Millicores: 200})
	j := mustRow(JobTable("s"), "intake-0", "job-5c0e7a21d94b36f8", wire.Job(&fleet.Job{ID: "5c0e7a21d94b36f8", Service: "s", Steps: []fleet.Step{{Tasks: 1}}}))
	known := mustRow(tableProgress, "duty-jobs-s", "endpoints-0", &jobv1.Endpoints{Processes: []*jobv1.EndpointProcess{{Endpoint: "i-1", Born: 1}}})
	for _, row := range []rowstore.Row{lease, node, j, known} {
		f.Add(string(row.Part), string(row.Key), row.Value, false)
		f.Add(string(row.Part), string(row.Key), row.Value[:len(row.Value)/2], true)
	}
	f.Fuzz(func(t *testing.T, part, key string, value []byte, deleted bool) {
		is := is.New(t)
		row := rowstore.Row{Part: rowstore.Part(part), Key: rowstore.Key(key), Value: value, Deleted: deleted}
		events := ring.New[Event]("events", 4)
		(&MembersSink{Scheduler: events, Log: zap.NewNop()}).Change([]rowstore.Row{row})
		(&jobSink{out: Outbox{Scheduler: events}, log: zap.NewNop(), service: "s"}).Change([]rowstore.Row{row})
		for event, ok := events.TryPop(); ok; event, ok = events.TryPop() {
			if event.Members != nil {
				for _, l := range event.Members.Leases {
					is.Equal(dutyPart(l.Duty), row.Part)
				}
				for _, n := range event.Members.Nodes {
					is.Equal(string(n.Entry), key)
				}
				continue
			}
			for _, j := range event.Jobs.Jobs {
				is.Equal(string(jobKey(j.ID)), key)
				is.Equal(j.Service, fleet.ServiceID("s"))
			}
		}
		if list, ok := decodeProcesses(row); ok {
			p := &processes{}
			p.inherit(list)
		}
		_, _ = decodeAccepted(row)
	})
}
