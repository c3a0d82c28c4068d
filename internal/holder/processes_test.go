package holder

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a new holder that takes an endpoint which has restarted for the process that the earlier holder
// knew: a lease that was granted on the earlier process's clock may be longer than it assumes.
func TestNewHolderNoticesRestartedEndpoints(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const endpoints = processesPerRow + 10
	seen := func(p *processes, id fleet.EndpointID, started int64) bool {
		return p.observe(shard.EndpointInfo{Endpoint: id, StartMillis: started})
	}
	is := is.New(t)
	earlier := &processes{}
	listed := map[fleet.EndpointID]shard.EndpointInfo{}
	for n := range endpoints {
		id := fleet.EndpointID("i-" + string(rune('a'+n/100)) + string(rune('a'+n%100)))
		listed[id] = shard.EndpointInfo{}
		is.True(!seen(earlier, id, 1)) // the first process
	}
	is.True(seen(earlier, "i-aa", 2)) // it restarts under the earlier holder
	is.True(earlier.due(now))
	rows := earlier.rows(now, "jobs-s")
	is.Equal(len(rows), 2)
	is.True(!earlier.due(now.Add(time.Hour))) // nothing has changed
	next := &processes{}
	var known []KnownProcess
	for _, row := range append(rows, rowstore.Row{Key: "endpoints-0.0", Value: []byte("progress of a job with an odd id")}) {
		if list, ok := decodeProcesses(row); ok {
			known = append(known, list...)
		}
	}
	next.inherit(known)
	is.Equal(len(next.known), endpoints)
	is.True(seen(next, "i-aa", 2))   // it had restarted before the takeover
	is.True(seen(next, "i-ab", 7))   // it restarted in between
	is.True(!seen(next, "i-ac", 1))  // it is the process that the earlier holder knew
	is.True(!seen(next, "i-new", 1)) // nobody knew it
	delete(listed, "i-ad")
	next.keep(now, listed)
	next.keep(now.Add(processRetention-time.Second), listed)
	is.True(seen(next, "i-ad", 9)) // it is remembered for a while after it has left
	next.keep(now.Add(processRetention), listed)
	is.True(!seen(next, "i-ad", 10))
}

// Guards against a holder that outwaits the longest lease of a process anew, and against one that takes the next
// process for settled.
func TestSettledProcessIsPassedOn(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	is := is.New(t)
	earlier := &processes{}
	for _, started := range []int64{1, 2} {
		is.Equal(earlier.observe(shard.EndpointInfo{Endpoint: "i-a", StartMillis: started}), started == 2)
	}
	k := earlier.known["i-a"]
	k.Settled = true
	earlier.known["i-a"] = k
	next := &processes{}
	known, ok := decodeProcesses(earlier.rows(now, "jobs-s")[0])
	is.True(ok)
	next.inherit(known)
	is.True(next.observe(shard.EndpointInfo{Endpoint: "i-a", StartMillis: 2}))
	is.True(next.settled("i-a"))
	next.observe(shard.EndpointInfo{Endpoint: "i-a", StartMillis: 3})
	is.True(!next.settled("i-a"))
}

// Guards against rows of processes that the store refuses, and with them the renewals of the lease.
func TestRowsOfProcessesAreKept(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var p processes
	for n := range 2 * processesPerRow {
		id := fleet.EndpointID(fmt.Sprintf("%0200d", n))
		p.observe(shard.EndpointInfo{Endpoint: id, StartMillis: 4_102_444_800_000})
		p.observe(shard.EndpointInfo{Endpoint: id, StartMillis: 4_102_444_799_999})
	}
	rows := p.rows(now, "jobs-service")
	is.Equal(len(rows), 2)
	for _, row := range rows {
		is.True(len(row.Value) <= rowstore.MaxValue)
	}
}
