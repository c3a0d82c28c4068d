package holder_test

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/internal/standin/rows"
	"github.com/mimosawharf/mimosawharf/internal/standin/runner"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// storeMode is how the store treats calls.
type storeMode string

const (
	storeAnswers storeMode = ""
	storeRefuses storeMode = "refuses"
	// storeSilent answers nothing and carries out some transactions late.
	storeSilent storeMode = "silent"
	// storeLossy loses half of the calls of transactions, or their answers.
	storeLossy storeMode = "lossy"
	storeSlow  storeMode = "slow"
)

// silenceLimit is when a call without an answer fails.
const silenceLimit = 1200 * time.Millisecond

// fakeStore is the store as one process of an entry reaches it.
type fakeStore struct{ life *fakeLife }

// mode returns how the store treats the process's calls on a table.
func (s *fakeStore) mode(table rowstore.Table) storeMode {
	c := s.life.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.storeMode != storeAnswers:
		return c.storeMode
	case table == holder.JobTable(fakeService) && s.life.entry.jobsMode != storeAnswers:
		return s.life.entry.jobsMode
	case table == registryTable && s.life.entry.registryMode != storeAnswers:
		return s.life.entry.registryMode
	case table == holder.RecordsTable && s.life.entry.recordsMode != storeAnswers:
		return s.life.entry.recordsMode
	}
	return s.life.entry.storeMode
}

// reach carries a call to the store. It returns an error when the call has no effect.
func (s *fakeStore) reach(ctx context.Context, name string, table rowstore.Table) error {
	if err := s.life.wait(ctx, s.life.cluster.duration(time.Millisecond, 5*time.Millisecond)); err != nil {
		return trace.Wrap(&rowstore.UnknownError{Call: name, Cause: err})
	}
	switch s.mode(table) {
	case storeSlow:
		if err := s.life.wait(ctx, s.life.cluster.duration(50*time.Millisecond, 900*time.Millisecond)); err != nil {
			return trace.Wrap(&rowstore.UnknownError{Call: name, Cause: err})
		}
	case storeRefuses:
		return trace.Wrap(&rowstore.RefusedError{Call: name, Status: 503, Cause: &rows.LostError{}})
	case storeSilent:
		ctx, cancel := context.WithTimeout(ctx, silenceLimit)
		defer cancel()
		<-ctx.Done()
		_ = s.life.wait(s.life.ctx, 0)
		return trace.Wrap(&rowstore.UnknownError{Call: name, Cause: ctx.Err()})
	}
	return nil
}

// Transact implements holder.Store.
func (s *fakeStore) Transact(ctx context.Context, t rowstore.Transaction) (rowstore.Version, error) {
	c := s.life.cluster
	lost := s.mode("") == storeLossy && c.duration(0, 2) == 0
	if lost && c.duration(0, 2) == 0 {
		return 0, trace.Wrap(&rowstore.UnknownError{Call: "transact", Cause: &rows.LostError{}})
	}
	if err := s.reach(ctx, "transact", ""); err != nil {
		if m := s.mode(""); (m == storeSilent && c.duration(0, 4) == 0 || m == storeSlow) && s.life.ctx.Err() == nil {
			_, _ = s.apply(t) // The process isn't told.
		}
		return 0, err
	}
	version, err := s.apply(t)
	s.life.newest.See(version)
	back := c.duration(time.Millisecond, 5*time.Millisecond)
	if s.mode("") == storeSlow {
		back *= 100
	}
	if wait := s.life.wait(ctx, back); lost || wait != nil {
		return 0, trace.Wrap(&rowstore.UnknownError{Call: "transact", Cause: &rows.LostError{}})
	}
	return version, err
}

// apply carries out a transaction and notes the renewals and the release of the service's lease that take effect.
func (s *fakeStore) apply(t rowstore.Transaction) (rowstore.Version, error) {
	s.life.mu.Lock()
	defer s.life.mu.Unlock()
	version, err := s.life.cluster.store.Transact(context.Background(), t)
	for _, row := range t.Puts {
		m := &jobv1.Lease{}
		if err == nil && row.Table == holder.MembersTable && row.Part != holder.NodesPart && proto.Unmarshal(row.Value, m) == nil {
			s.life.renewedAt, s.life.hasReleased = time.Now(), m.GetReleased()
		}
	}
	return version, trace.Wrap(err)
}

// Scan implements holder.Store.
func (s *fakeStore) Scan(ctx context.Context, r rowstore.Range) (rowstore.Page, error) {
	if err := s.reach(ctx, "scan", r.Table); err != nil {
		return rowstore.Page{}, err
	}
	page, err := s.life.cluster.store.Scan(ctx, r)
	s.life.newest.See(page.Version)
	_ = s.life.wait(ctx, 0)
	return page, err
}

// Parts implements holder.Store.
func (s *fakeStore) Parts(ctx context.Context, table rowstore.Table) ([]rowstore.Part, error) {
	if err := s.reach(ctx, "parts", table); err != nil {
		return nil, err
	}
	return s.life.cluster.store.Parts(ctx, table)
}

// Changes implements holder.Store.
func (s *fakeStore) Changes(ctx context.Context, table rowstore.Table, after rowstore.Version, wait time.Duration) (rowstore.Page, error) {
	if err := s.reach(ctx, "changes", table); err != nil {
		return rowstore.Page{}, err
	}
	newest := s.life.newest.Version()
	page, err := s.life.cluster.store.Changes(ctx, table, after, wait)
	if err == nil {
		page, err = s.life.cluster.compacted(after, page)
	}
	_ = s.life.wait(ctx, 0)
	page.Behind = page.Version < newest
	s.life.newest.See(page.Version)
	return page, err
}

// fakeCaller is one connection of a process to an endpoint.
type fakeCaller struct {
	life        *fakeLife
	isConnected bool
}

// Close implements holder.EndpointCaller.
func (*fakeCaller) Close() {}

// orderTimeout bounds an order, beyond the time for which the endpoint may wait.
const orderTimeout = 600 * time.Millisecond

// Execute implements holder.EndpointCaller.
func (f *fakeCaller) Execute(ctx context.Context, o shard.Order) shard.Result {
	c, result := f.life.cluster, shard.Result{Order: o, Answer: shard.AnswerUnsent, SentAt: time.Now()}
	if f.life.wait(ctx, c.duration(200*time.Microsecond, 2*time.Millisecond)) != nil {
		return result
	}
	timeout := time.Until(result.SentAt) + o.Wait + orderTimeout
	p := c.reach(f.life.entry.id, o)
	if p != nil && o.Kind == shard.OrderStart && o.Process.StartMillis != 0 && o.Process != p.Process {
		return result // A start is sent only on a connection to its process.
	}
	if p != nil && f.life.ctx.Err() == nil {
		f.isConnected = true
		c.observeOrder(f.life, p, o)
		executed := p.Execute(ctx, o)
		timeout -= min(timeout, time.Since(result.SentAt))
		if c.reach(f.life.entry.id, o) == p && !c.isMute(o) && f.life.wait(ctx, c.duration(200*time.Microsecond, 2*time.Millisecond)) == nil {
			executed.SentAt = result.SentAt
			return executed
		}
	}
	if f.isConnected {
		result.Answer, f.isConnected = shard.AnswerUnknown, false
	}
	_ = f.life.wait(ctx, max(0, timeout))
	return result
}

// reach returns the process that an order reaches, or nil.
func (c *fakeCluster) reach(from fleet.EntryID, o shard.Order) *runner.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.endpoints {
		if fleet.Address(e.id) == o.Address && !e.isCut && !e.cutFrom[from] {
			return e.process
		}
	}
	return nil
}

// isMute reports whether the answer to an order is lost.
func (c *fakeCluster) isMute(o shard.Order) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.endpoints, func(e *fakeEndpoint) bool { return e.isMute && fleet.Address(e.id) == o.Address })
}

// grantTime is how long the next holder assumes that a holder grants leases after its last renewal: 2 s, and the drift of
// clocks.
const grantTime = 2060 * time.Millisecond

// observeOrder verifies what a process may order.
func (c *fakeCluster) observeOrder(l *fakeLife, p *runner.Endpoint, o shard.Order) {
	l.mu.Lock()
	renewed, hasReleased, paused := l.renewedAt, l.hasReleased, l.pausedUntil
	l.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	lastGrant, age := renewed, time.Since(renewed)
	if !hasReleased {
		lastGrant = renewed.Add(grantTime)
	}
	if o.Kind != shard.OrderHold {
		c.note("%s orders %s of %s run %d on %s", l.name, o.Kind, o.Task, o.Run, p.Process.Endpoint)
	}
	if at := c.cancelled[o.Task.Job]; o.Kind == shard.OrderStart && !at.IsZero() && time.Since(at) > cancelTime && time.Since(paused) > calmTime {
		c.violation("UNASKED", o.Task, "%s starts run %d on %s %v after the cancellation was acknowledged", l.name, o.Run, p.Process.Endpoint, time.Since(at))
	}
	if at := c.drainingSince(p.Process.Endpoint); o.Kind == shard.OrderStart && !at.IsZero() && time.Since(at) > drainTime && time.Since(paused) > calmTime {
		c.violation("DRAIN", o.Task, "%s starts run %d on %s %v after it has said that it leaves", l.name, o.Run, p.Process.Endpoint, time.Since(at))
	}
	if o.Kind != shard.OrderHold && time.Now().After(lastGrant) {
		c.violation("EXPIRED", o.Task, "%s orders %s on %s %v after its last renewal, released %v", l.name, o.Kind, p.Process.Endpoint, age, hasReleased)
	}
	if o.Deadline == 0 || o.Process != p.Process {
		return // A deadline on the clock of an earlier process may grant the longest lease, which holders count.
	}
	granted := p.Started.Add((o.Deadline - p.ClockStart) * 100 / time.Duration(100-p.Slow))
	if granted.After(shard.LeaseEnd(lastGrant)) {
		c.violation("EXTENDED", o.Task, "%s extends the lease of %s until %v after its last renewal, released %v", l.name, p.Process.Endpoint, granted.Sub(renewed), hasReleased)
	}
}
