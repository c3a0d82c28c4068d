package holder_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/internal/standin/rows"
	"github.com/mimosawharf/mimosawharf/internal/standin/runner"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	fakeService fleet.ServiceID = "planner"
	fakeLease                   = 10 * time.Second
	fakeStop                    = time.Second
	// absenceTime is the silence after which the registry removes an endpoint: three heartbeat intervals.
	absenceTime = 3 * time.Second
	// lastingRestart and calmTime are the bounds of rule LOST: a lasting task runs again within the one after the end of its
	// last run, or within the other after the last disruption.
	lastingRestart = 9 * time.Second
	calmTime       = 7 * time.Second
	// cancelTime and drainTime are the bounds of rules UNASKED and DRAIN.
	cancelTime = 4 * time.Second
	drainTime  = 3 * time.Second
	// registryTable is the registry of endpoints.
	registryTable rowstore.Table = "registry"
)

// fakeCluster is a store, endpoints and entries with real schedulers, all in one synctest bubble.
type fakeCluster struct {
	t      *testing.T
	config *holder.Config
	// account is that of the jobs.
	account fleet.ClientAccountID
	store   *rows.Store
	began   time.Time
	entries []*fakeEntry
	jobs    []*fleet.Job
	// pending holds what run is to do, in no order.
	pending []pendingEvent

	mu        sync.Mutex
	rand      *rand.Rand
	storeMode storeMode
	endpoints []*fakeEndpoint
	disrupted time.Time
	runs      map[fleet.TaskID][]*fakeRun
	// cancelled holds when the cancellations of jobs were acknowledged.
	cancelled map[fleet.JobID]time.Time
	// mutedAt is the version after which reads of changes hear of none, 0 while they hear of all. Changes up to forgotten
	// are not listed any more.
	mutedAt, forgotten rowstore.Version
	trace              []string
	// violations holds the first violation of each kind and task.
	violations []string
	reported   map[string]bool
}

// pendingEvent is what happens at a time.
type pendingEvent struct {
	at time.Time
	do func()
}

// fakeRun is the execution of one run at an endpoint.
type fakeRun struct {
	process      fleet.EndpointProcess
	number       fleet.RunNumber
	began, ended time.Time
	how          fleet.RunEnd
	isNoted      bool
}

// fakeEndpoint is an endpoint with its present process, or a nil process once it has gone for good.
type fakeEndpoint struct {
	id      fleet.EndpointID
	process *runner.Endpoint
	started int64
	// isCut is set while no entry and no store is reached, cutFrom while single entries are not.
	isCut   bool
	cutFrom map[fleet.EntryID]bool
	// isMute is set while its answers are lost.
	isMute bool
	silent time.Time
	epoch  fleet.FencingToken
	// drainingSince is when the registry had that the endpoint leaves; zero while it stays.
	drainingSince time.Time
}

func newFakeCluster(t *testing.T, seed uint64, endpoints int) *fakeCluster {
	queue := job.Policy{Queue: "plans", Service: fakeService, MaxAttempts: 3, Stretch: 2}
	c := &fakeCluster{
		t: t, store: rows.New(clock.Real()), began: time.Now(), rand: rand.New(rand.NewPCG(seed, 34)),
		config: &holder.Config{Version: 1, Queues: []holder.Queue{{Policy: queue}}, Services: []holder.Service{{ID: fakeService}}},
		runs:   map[fleet.TaskID][]*fakeRun{}, reported: map[string]bool{}, disrupted: time.Now(), cancelled: map[fleet.JobID]time.Time{},
	}
	for n := range endpoints {
		e := &fakeEndpoint{id: fleet.EndpointID(fmt.Sprintf("endpoint-%02d", n)), cutFrom: map[fleet.EntryID]bool{}}
		c.endpoints = append(c.endpoints, e)
		c.boot(e)
	}
	return c
}

// boot starts the next process of an endpoint.
func (c *fakeCluster) boot(e *fakeEndpoint) {
	e.started++
	p := runner.New(fleet.EndpointProcess{Endpoint: e.id, StartMillis: e.started}, clock.Real(), time.Hour)
	p.MaxLease, p.StopTime, p.Slow, p.Observer = fakeLease, fakeStop, c.rand.IntN(3), c
	p.ClockStart = time.Duration(1+c.rand.IntN(1000)) * time.Second
	p.DurationOf = func(id fleet.TaskID) time.Duration {
		if c.isLasting(id) {
			return 24 * time.Hour
		}
		return time.Duration(500+700*id.Task) * time.Millisecond
	}
	e.process, e.silent, e.epoch = p, time.Time{}, 0
}

// submit stores a job as an entry that accepts it does.
func (c *fakeCluster) submit(id fleet.JobID, tasks int, lasting bool) {
	j := &fleet.Job{
		ID: id, Queue: c.config.Queues[0].Queue, Service: fakeService, Account: c.account, AcceptedAt: time.Now().UTC(), MaxAttempts: 3,
		Steps: []fleet.Step{{Tasks: tasks, Demand: fleet.Capacity{Millicores: 1000, Memory: 1000}, Lasting: lasting, MaxUnavailable: 1, Estimate: time.Second}},
	}
	value, err := proto.Marshal(wire.Job(j))
	is.New(c.t).NoErr(err)
	c.mu.Lock()
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	row := rowstore.Row{Table: holder.JobTable(fakeService), Part: holder.IntakePart(id), Key: rowstore.Key("job-" + string(id)), Value: value}
	_, err = c.store.Transact(context.Background(), rowstore.Transaction{Puts: []rowstore.Row{row}})
	is.New(c.t).NoErr(err)
}

// cancel stores the cancellation of a job as an entry does that tells no holder of it.
func (c *fakeCluster) cancel(id fleet.JobID) {
	row := rowstore.Row{Table: holder.JobTable(fakeService), Part: holder.IntakePart(id), Key: rowstore.Key("cancel-" + string(id))}
	_, err := c.store.Transact(context.Background(), rowstore.Transaction{Puts: []rowstore.Row{row}})
	is.New(c.t).NoErr(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note("the cancellation of %s is acknowledged", id)
	c.cancelled[id] = time.Now()
}

// compact has reads of changes hear of none for a while, and drops the history then.
func (c *fakeCluster) compact(d time.Duration) {
	c.disrupt("the store drops its history in %v", d)
	version := c.version()
	c.mu.Lock()
	c.mutedAt = max(c.mutedAt, version)
	c.mu.Unlock()
	c.after(d, func() {
		version := c.version()
		c.mu.Lock()
		c.mutedAt, c.forgotten = 0, version
		c.mu.Unlock()
		c.disrupt("the store has dropped its history")
	})
}

// version returns the version of the store.
func (c *fakeCluster) version() rowstore.Version {
	page, err := c.store.Scan(context.Background(), rowstore.Range{Table: holder.MembersTable})
	is.New(c.t).NoErr(err)
	return page.Version
}

// compacted returns the answer to a read of changes as the store drops its history: of before, or that it is gone.
func (c *fakeCluster) compacted(after rowstore.Version, page rowstore.Page) (rowstore.Page, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if muted := max(after, c.mutedAt); c.mutedAt > 0 && muted < page.Version {
		page.Version, page.More = muted, false
		page.Rows = slices.DeleteFunc(page.Rows, func(row rowstore.Row) bool { return row.Version > muted })
	}
	if after < c.forgotten {
		return rowstore.Page{}, trace.Wrap(&rowstore.HistoryError{})
	}
	return page, nil
}

func (c *fakeCluster) isLasting(id fleet.TaskID) bool {
	return strings.HasPrefix(string(id.Job), "lasting")
}

// change changes what the calls of entries read: endpoints, and how the store treats the entries. They run at the same time.
func (c *fakeCluster) change(do func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	do()
}

// disrupt records a disruption.
func (c *fakeCluster) disrupt(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disrupted = time.Now()
	c.note(format, args...)
}

func (c *fakeCluster) note(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf("%7.3f ", time.Since(c.began).Seconds())+fmt.Sprintf(format, args...))
}

// Write implements zapcore.WriteSyncer.
func (c *fakeCluster) Write(line []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note("%s", strings.TrimSpace(string(line)))
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (*fakeCluster) Sync() error { return nil }

func (c *fakeCluster) log(entry fleet.EntryID) *zap.Logger {
	encoder := zapcore.NewConsoleEncoder(zapcore.EncoderConfig{MessageKey: "message", NameKey: "name", EncodeDuration: zapcore.StringDurationEncoder})
	return zap.New(zapcore.NewCore(encoder, c, zap.InfoLevel)).Named(string(entry))
}

// end ends the present process of an endpoint with all of its runs, and starts the next one if restart is set.
func (c *fakeCluster) end(e *fakeEndpoint, restart bool) {
	c.mu.Lock()
	p := e.process
	c.mu.Unlock()
	if p == nil {
		return
	}
	p.Advance()
	c.disrupt("%s ends, restart %v", e.id, restart)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, runs := range c.runs {
		for _, r := range runs {
			if r.process == p.Process && r.ended.IsZero() {
				r.ended, r.how = time.Now(), "gone"
			}
		}
	}
	e.process, e.silent = nil, time.Now()
	if restart {
		c.boot(e)
	}
}

// drain has the registry say that an endpoint leaves.
func (c *fakeCluster) drain(e *fakeEndpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note("%s drains", e.id)
	e.drainingSince = time.Now()
}

// drainingSince returns when the registry had that an endpoint leaves, or zero.
func (c *fakeCluster) drainingSince(id fleet.EndpointID) time.Time {
	for _, e := range c.endpoints {
		if e.id == id {
			return e.drainingSince
		}
	}
	return time.Time{}
}

// restart starts the next process of an endpoint that has ended.
func (c *fakeCluster) restart(e *fakeEndpoint) {
	if e.process == nil {
		c.disrupt("%s restarts", e.id)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.boot(e)
	}
}

// join ends the cuts of an endpoint.
func (c *fakeCluster) join(e *fakeEndpoint) {
	if e.isCut || e.isMute || len(e.cutFrom) > 0 {
		c.disrupt("%s is reached again", e.id)
		c.mu.Lock()
		defer c.mu.Unlock()
		e.isCut, e.isMute = false, false
		clear(e.cutFrom)
	}
}

// endpointOf returns the endpoint that executes a lasting task.
func (c *fakeCluster) endpointOf(id fleet.TaskID) *fakeEndpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.runs[id] {
		for _, e := range c.endpoints {
			if r.ended.IsZero() && e.id == r.process.Endpoint {
				return e
			}
		}
	}
	return nil
}

// listed returns the registry.
func (c *fakeCluster) listed() []shard.EndpointInfo {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []shard.EndpointInfo
	for _, e := range c.endpoints {
		if (e.isCut || e.process == nil) && time.Since(e.silent) >= absenceTime {
			continue
		}
		list = append(list, shard.EndpointInfo{
			Endpoint: e.id, Service: fakeService, Address: fleet.Address(e.id), StartMillis: e.started,
			Capacity: fleet.Capacity{Millicores: 4000, Memory: 4000}, Draining: !e.drainingSince.IsZero(),
		})
	}
	return list
}

// run lets time pass and checks the bounds.
func (c *fakeCluster) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(min(50*time.Millisecond, time.Until(end)))
		pending := c.pending
		c.pending = nil
		for _, p := range pending {
			if time.Now().Before(p.at) {
				c.pending = append(c.pending, p)
			} else {
				p.do()
			}
		}
		c.check()
	}
}

// after has run do something after a while.
func (c *fakeCluster) after(d time.Duration, do func()) {
	c.pending = append(c.pending, pendingEvent{time.Now().Add(d), do})
}

// duration returns a random duration between two bounds.
func (c *fakeCluster) duration(from, to time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return from + time.Duration(c.rand.Int64N(int64(to-from)))
}
