package holder_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/follow"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// fakeEntry is an entry VM; life is its present process, or nil.
type fakeEntry struct {
	id        fleet.EntryID
	count     int
	life      *fakeLife
	storeMode storeMode
	// jobsMode, registryMode and recordsMode are how the store treats the entry's reads of jobs, of the registry and of
	// records of services.
	jobsMode, registryMode, recordsMode storeMode
}

// fakeLife is one process of an entry with the duties of a holder.
type fakeLife struct {
	cluster *fakeCluster
	entry   *fakeEntry
	name    fleet.EntryID
	ctx     context.Context
	group   *duty.Group
	inbox   *ring.Ring[holder.Event]
	status  ring.Latest[holder.Status]
	latency ring.Latest[follow.Latency]
	newest  rowstore.Newest
	// drain begins a planned stop.
	drain context.CancelFunc

	mu          sync.Mutex
	pausedUntil time.Time
	// renewedAt is when the last renewal of the service's lease took effect. hasReleased is set if it was the release.
	renewedAt   time.Time
	hasReleased bool
}

// addEntries adds and starts entries.
func (c *fakeCluster) addEntries(n int) {
	for i := range n {
		e := &fakeEntry{id: fleet.EntryID(fmt.Sprintf("entry-%d", i))}
		c.entries = append(c.entries, e)
		c.start(e)
	}
}

// start starts the next process of an entry.
func (c *fakeCluster) start(e *fakeEntry) {
	if e.life != nil {
		return
	}
	e.count++
	l := &fakeLife{
		cluster: c, entry: e, name: fleet.EntryID(fmt.Sprintf("%s/%d", e.id, e.count)),
		inbox: ring.NewWithReserve[holder.Event]("scheduler", 2048, 16384),
	}
	e.life = l
	c.disrupt("%s starts", l.name)
	l.group, l.ctx = duty.NewGroup(context.Background())
	draining, drain := context.WithCancel(l.ctx)
	l.drain = drain
	self := holder.Identity{Entry: e.id, Incarnation: fleet.Incarnation(l.name), Zone: "zone", Millicores: 1000, Address: fleet.Address(e.id)}
	log, gated, store := c.log(l.name), &gatedClock{l}, &fakeStore{l}
	s := &holder.Scheduler{
		Self: self, Inbox: l.inbox, Store: store, Clock: gated, Log: log, Duties: l.group,
		Bounds:    shard.Bounds{MaxLease: fakeLease, StopTime: fakeStop, StatusRetention: time.Hour, CancelTime: cancelTime, DrainTime: drainTime},
		NewCaller: func() holder.EndpointCaller { return &fakeCaller{life: l} }, NewRegistry: func() duty.Duty { return &fakeRegistry{l} },
		Advice: ring.New[shard.AdviceRequest]("advice", 1), Status: &l.status, Latency: &l.latency, Rounds: holder.NewRounds(tally.NoopScope),
		Observer: func(service fleet.ServiceID, epoch fleet.FencingToken) shard.Observer {
			return holder.NewObserver(log, tally.NoopScope, service, epoch)
		},
	}
	for i := range s.Intakes {
		s.Intakes[i] = ring.NewWithReserve[holder.IntakeEvent]("intake", 16, 1)
	}
	_ = l.inbox.PushReserved(holder.Event{Config: c.config}) // The ring is empty.
	for _, d := range []duty.Duty{
		s, &holder.Heartbeat{Self: self, Store: store, Status: &l.status, Clock: gated, Log: zap.NewNop(), Stopping: draining},
		&follow.Follower{
			Duty: "follow-members", Table: holder.MembersTable, Parts: []rowstore.Part{holder.NodesPart}, All: true, Store: store, Clock: gated, Log: zap.NewNop(),
			Interval: func() time.Duration { return holder.MembersInterval(l.status.Get()) }, Latency: &l.latency,
			Sink: &holder.MembersSink{Scheduler: l.inbox, Log: log},
		},
		&follow.Follower{
			Duty: "follow-services", Table: holder.RecordsTable, Parts: []rowstore.Part{holder.RecordsPart}, All: true, Store: store, Clock: gated, Log: zap.NewNop(),
			Interval: follow.Every(holder.RecordsInterval), Sink: &holder.RecordsSink{Scheduler: l.inbox, Log: log},
		},
	} {
		l.group.Start(l.ctx, d)
	}
}

// stop begins a planned stop, in which the entry releases its leases. It ends with kill.
func (c *fakeCluster) stop(e *fakeEntry) {
	if e.life != nil {
		c.disrupt("%s is stopped", e.life.name)
		e.life.drain()
		_ = e.life.inbox.PushReserved(holder.Event{Stop: true}) // The ring has room.
	}
}

// kill ends the process of an entry.
func (c *fakeCluster) kill(e *fakeEntry) {
	if e.life != nil {
		c.disrupt("%s ends", e.life.name)
		e.life.group.Stop()
		if err := e.life.group.Wait(); err != nil {
			c.t.Errorf("%s: %v", e.life.name, err)
		}
		e.life = nil
	}
}

// holder returns the entry that holds the service, or nil.
func (c *fakeCluster) holder() *fakeEntry {
	for _, e := range c.entries {
		if e.life != nil && len(e.life.status.Get().Held) > 0 {
			return e
		}
	}
	return nil
}

// close ends all entries.
func (c *fakeCluster) close() {
	for _, e := range c.entries {
		c.kill(e)
	}
}

// pause suspends the process for a while: it neither sends nor receives, and its timers fire when it wakes.
func (l *fakeLife) pause(d time.Duration) {
	l.cluster.disrupt("%s pauses for %v", l.name, d)
	l.cluster.after(d, func() { l.cluster.disrupt("%s wakes, paused for %v more", l.name, max(0, l.left())) })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pausedUntil = time.Now().Add(d)
}

// left returns for how long the process is still suspended.
func (l *fakeLife) left() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Until(l.pausedUntil)
}

// wait lets time pass in the process and returns once it is not suspended.
func (l *fakeLife) wait(ctx context.Context, d time.Duration) error {
	for d = max(d, l.left()); d > 0; d = l.left() {
		if err := clock.Wait(ctx, clock.Real(), d); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(l.ctx.Err())
}

// gatedClock is the clock of a process that may be suspended.
type gatedClock struct{ life *fakeLife }

// Now implements clock.Clock.
func (*gatedClock) Now() time.Time { return time.Now() }

// NewTimer implements clock.Clock.
func (c *gatedClock) NewTimer(d time.Duration) clock.Timer {
	t := &gatedTimer{life: c.life, channel: make(chan time.Time, 1)}
	t.Reset(d)
	return t
}

type gatedTimer struct {
	life    *fakeLife
	channel chan time.Time

	mu    sync.Mutex
	timer *time.Timer
}

// Chan implements clock.Timer.
func (t *gatedTimer) Chan() <-chan time.Time { return t.channel }

// Reset implements clock.Timer.
func (t *gatedTimer) Reset(d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(d, t.fire)
	return true
}

// Stop implements clock.Timer.
func (t *gatedTimer) Stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.timer.Stop()
}

func (t *gatedTimer) fire() {
	if left := t.life.left(); left > 0 {
		t.Reset(left)
		return
	}
	t.channel <- time.Now()
}

// fakeRegistry is the duty that sends the endpoints to an entry.
type fakeRegistry struct{ life *fakeLife }

// Name implements duty.Duty.
func (*fakeRegistry) Name() fleet.DutyName { return "registry" }

// Run implements duty.Duty.
func (r *fakeRegistry) Run(ctx context.Context) error {
	for {
		sent := time.Now()
		if (&fakeStore{r.life}).reach(ctx, "registry", registryTable) == nil {
			_ = r.life.inbox.PushReserved(holder.Event{Endpoints: &holder.EndpointList{All: true, Endpoints: r.life.cluster.listed()}})
			_ = r.life.inbox.PushReserved(holder.Event{Known: &holder.Known{UpTo: sent}})
		}
		if err := r.life.wait(ctx, 500*time.Millisecond); err != nil {
			return trace.Wrap(err)
		}
	}
}
