package holder

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// processes are the endpoint processes of a service that its holders have known. They are stored, so that the next
// holder notices an endpoint that has restarted: leases that were granted on the earlier process's clock may be
// longer than it assumes otherwise. The zero value is ready to use.
type processes struct {
	known map[fleet.EndpointID]KnownProcess
	// leftAt is when an endpoint was first missing from the registry.
	leftAt map[fleet.EndpointID]time.Time
	// changed is set while the stored rows are out of date.
	changed bool
	// rowsStored is the number of rows of the last write, storedAt when it was.
	rowsStored int
	storedAt   time.Time
}

const (
	// processesPerRow bounds the processes of one row, each of which takes up to 220 bytes.
	processesPerRow = 256
	// processRetention is how long an endpoint that has left the registry is remembered: longer than an order to
	// it may be late and a lease that it grants may last.
	processRetention = time.Minute
	// processInterval is the time between writes of the rows.
	processInterval = 2 * time.Second
	// processRowsBesideBatch is how many rows a transaction has room for beside a batch, the lease and its bounds.
	processRowsBesideBatch = 4
)

// fitBesideBatch reports whether the rows may be stored in one transaction with a batch.
func (p *processes) fitBesideBatch() bool {
	return max(len(p.known), p.rowsStored*processesPerRow) <= processRowsBesideBatch*processesPerRow
}

// due reports whether the rows are to be stored.
func (p *processes) due(now time.Time) bool {
	return p.changed && now.Sub(p.storedAt) >= processInterval
}

// inherit adds the processes that earlier holders knew.
func (p *processes) inherit(known []KnownProcess) {
	p.init()
	for _, k := range known {
		p.known[k.Endpoint] = k
	}
	p.rowsStored = max(p.rowsStored, (len(known)+processesPerRow-1)/processesPerRow)
}

func (p *processes) init() {
	if p.known == nil {
		p.known, p.leftAt = map[fleet.EndpointID]KnownProcess{}, map[fleet.EndpointID]time.Time{}
	}
}

// observe records the process that the registry shows and returns whether another one was known before.
func (p *processes) observe(e shard.EndpointInfo) bool {
	p.init()
	old, known := p.known[e.Endpoint]
	next := KnownProcess{EndpointProcess: e.Process(), Restarted: e.Restarted || known && (old.Restarted || old.StartMillis != e.StartMillis)}
	next.Settled = known && old.Settled && old.StartMillis == e.StartMillis && e.StartMillis != 0
	if !known || old != next {
		p.known[e.Endpoint], p.changed = next, true
	}
	return next.Restarted
}

// settled reports whether a holder has outwaited the longest lease of the known process of an endpoint.
func (p *processes) settled(id fleet.EndpointID) bool { return p.known[id].Settled }

// settle records the processes that hold no long lease according to the engine. It returns whether there are new ones.
func (p *processes) settle(now time.Time, e *shard.Engine) bool {
	settled := false
	for id, k := range p.known {
		if k.Restarted && !k.Settled && k.StartMillis != 0 && e.HasSettled(now, k.EndpointProcess) {
			k.Settled, p.changed, settled = true, true, true
			p.known[id] = k
		}
	}
	return settled
}

// keep forgets endpoints that have been missing from the registry for processRetention.
func (p *processes) keep(now time.Time, listed map[fleet.EndpointID]shard.EndpointInfo) {
	for id := range p.known {
		if _, ok := listed[id]; ok {
			delete(p.leftAt, id)
			continue
		}
		if p.leftAt[id].IsZero() {
			p.leftAt[id] = now
		}
		if now.Sub(p.leftAt[id]) >= processRetention {
			delete(p.known, id)
			delete(p.leftAt, id)
			p.changed = true
		}
	}
}

// rows returns the rows to store. Rows that are needed no more are stored empty.
func (p *processes) rows(now time.Time, d fleet.DutyName) []rowstore.Row {
	p.changed, p.storedAt = false, now
	list := make([]KnownProcess, 0, len(p.known))
	for _, k := range p.known {
		list = append(list, k)
	}
	slices.SortFunc(list, func(a, b KnownProcess) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	var rows []rowstore.Row
	for n := 0; len(list) > 0 || n < p.rowsStored; n++ {
		count := min(len(list), processesPerRow)
		m := &jobv1.Endpoints{}
		for _, k := range list[:count] {
			m.Processes = append(m.Processes, &jobv1.EndpointProcess{Endpoint: string(k.Endpoint), Born: k.StartMillis, Restarted: k.Restarted, Settled: k.Settled})
		}
		list = list[count:]
		rows = append(rows, mustRow(tableProgress, dutyPart(d), rowstore.Key(keyProcess+strconv.Itoa(n)), m))
	}
	p.rowsStored = max(p.rowsStored, len(rows))
	return rows
}

// decodeProcesses decodes a row. It returns false for other rows.
func decodeProcesses(row rowstore.Row) ([]KnownProcess, bool) {
	number, ok := strings.CutPrefix(string(row.Key), keyProcess)
	if _, err := strconv.Atoi(number); !ok || err != nil {
		return nil, false // The key of a job's progress ends in a dot and a number.
	}
	m := &jobv1.Endpoints{}
	if proto.Unmarshal(row.Value, m) != nil {
		return nil, true
	}
	var list []KnownProcess
	for _, k := range m.GetProcesses() {
		list = append(list, KnownProcess{
			EndpointProcess: fleet.EndpointProcess{Endpoint: fleet.EndpointID(k.GetEndpoint()), StartMillis: k.GetBorn()}, Restarted: k.GetRestarted(), Settled: k.GetSettled(),
		})
	}
	return list, true
}
