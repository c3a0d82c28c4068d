// Package jobentry assembles the duties of an entry that runs jobs and manages them from start to graceful
// stop. Connections to callers, endpoints and the platform are injected.
package jobentry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/door"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/follow"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/jobpeer"
	"github.com/mimosawharf/mimosawharf/internal/metrics"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Platform is an entry's interface to the platform that it runs on.
type Platform interface {
	// Store returns the table service.
	Store() holder.Store
	// NewCaller returns a caller of endpoints for one duty.
	NewCaller() holder.EndpointCaller
	// VMs returns the service that lists and maintains VMs, or nil when there is none.
	VMs() holder.VMPlatform
	// Advice returns the service that advises which endpoints may run a step, or nil when there is none.
	Advice() holder.AdviceService
	// Operator returns the duty that tracks the operator's orders.
	Operator(f Feeds) duty.Duty
	// Registry returns a duty that sends the registry of endpoints to the scheduler, all of it first. It is
	// called again each time that the entry needs the registry after it did not.
	Registry(f Feeds) duty.Duty
	// Servers returns the servers for callers. A graceful stop drains the first one before it closes the rest.
	Servers(f Feeds) []Server
}

// Feeds holds the rings and values that connect a Platform with the duties of an entry.
type Feeds struct {
	// Scheduler receives lists of endpoints and configurations.
	Scheduler *ring.Ring[holder.Event]
	// Config and Waves hold the operator's configuration and maintenance waves; Wake receives a token when
	// Waves changes.
	Config *ring.Latest[*holder.Config]
	Waves  *ring.Latest[[]holder.WaveOrder]
	Wake   *ring.Ring[struct{}]
	// Intakes receive submissions, JobRequests receives callers' requests about jobs and queues.
	Intakes     [holder.IntakeCount]*ring.Ring[holder.IntakeEvent]
	JobRequests *ring.Ring[*holder.JobRequest]
	// Ready reports whether the entry can serve.
	Ready func() bool
	Scope tally.Scope
}

// Server is an HTTP server on one address.
type Server struct {
	Duty    fleet.DutyName
	Address fleet.Address
	Handler http.Handler
	// MaxHeaderBytes bounds the headers of a request; 0 means defaultHeaderBytes.
	MaxHeaderBytes int
	// Audience says which part of the process's limits the server's callers may use.
	Audience Audience
	// MaxBody returns the longest body; nil means probeBytes. Admits and NewScanner, which may be nil, are those of the
	// server's httpdoor.Door.
	MaxBody    func() fleet.Bytes
	Admits     func(*http.Request) bool
	NewScanner func(*http.Request) (door.Scanner, error)
}

// Audience is a kind of callers of a server.
type Audience string

// Audiences of servers.
const (
	AudienceCallers Audience = "callers"
	AudiencePeers   Audience = "peers"
	AudienceProbes  Audience = "probes"
)

// probeBytes bounds the bodies of probes and scrapers, which have none.
const probeBytes fleet.Bytes = 64 << 10

// Entry is one entry process: its settings and its duties.
type Entry struct {
	// The fields are set before Run.
	Name fleet.EntryID
	Zone fleet.ZoneID
	// Millicores is the processor capacity of the VM; 0 when unknown.
	Millicores fleet.Millicores
	// Memory and Descriptors are what the process may use; 0 when unknown. What callers may hold follows from them.
	Memory      fleet.Bytes
	Descriptors int
	// PeerAddress is where other entries, and the product's own tools, reach this one.
	PeerAddress    fleet.Address
	MetricsAddress fleet.Address
	Platform       Platform
	Bounds         shard.Bounds
	// Grace bounds the duration of a stop. MaintenanceTakeoverDelay is how long a new holder gives no orders
	// for VMs that an earlier holder gave orders for.
	Grace, MaintenanceTakeoverDelay time.Duration
	Clock                           clock.Clock
	Log                             *zap.Logger

	self     holder.Identity
	store    holder.Store
	registry *metrics.Registry
	feeds    Feeds
	// announcements receives what intakes have stored.
	announcements *ring.Ring[holder.Announcement]
	advice        *ring.Ring[shard.AdviceRequest]
	// relaySessions receives the connections of holders that this entry relays for.
	relaySessions *ring.Ring[holder.RelayRequest]
	config        ring.Latest[*holder.Config]
	waves         ring.Latest[[]holder.WaveOrder]
	status        ring.Latest[holder.Status]
	storeLatency  ring.Latest[follow.Latency]
	stopping      ring.Latest[bool]
	// drainCtx is cancelled when a graceful stop begins.
	drainCtx   context.Context
	startDrain context.CancelFunc
	group      *duty.Group
}

// Capacities of rings and numbers of parallel duties.
const (
	// ringCapacity bounds the items that wait in a ring between duties.
	ringCapacity = 2048
	// eventReserve is reserved for events of the entry's own duties, which must not be lost.
	eventReserve = 16384
	// intakeCapacity and intakeCalls bound what waits for one intake and for its writer.
	intakeCapacity = ringCapacity / 8
	intakeCalls    = 64
	// intakeReserve is reserved for the result of the one attempt that an intake has in flight.
	intakeReserve = 1
	// resolvers and announcers are how many duties answer requests and announce submissions in parallel.
	resolvers  = 6
	announcers = 2
)

// Timing of a graceful stop.
const (
	// stopLinger is how long a stopping entry keeps serving: the load balancer notices after two probes, one
	// second apart.
	stopLinger = 2600 * time.Millisecond
	// stopMargin is the part of the grace period reserved for closing connections.
	stopMargin = 1500 * time.Millisecond
)

// Run serves until the context is cancelled and then stops gracefully. It returns *duty.StoppedError or
// *ListenError.
func (e *Entry) Run(ctx context.Context) error {
	group, running := duty.NewGroup(context.WithoutCancel(ctx))
	e.prepare(running)
	defer func() { _ = e.registry.Close() }() // The process ends.
	defer e.startDrain()
	e.group = group
	servers, err := e.servers()
	if err != nil {
		group.Stop()
		return trace.Wrap(err)
	}
	for _, d := range e.duties() {
		group.Start(running, d)
	}
	for _, s := range servers {
		group.Start(running, s)
	}
	e.Log.Info("entry: started", zap.String("entry", string(e.self.Entry)), zap.String("incarnation", string(e.self.Incarnation)),
		zap.String("zone", string(e.self.Zone)), zap.String("peer-address", string(e.self.Address)))
	select {
	case <-ctx.Done():
		e.stop(running, servers)
	case <-running.Done():
	}
	group.Stop()
	return trace.Wrap(group.Wait())
}

func (e *Entry) prepare(running context.Context) {
	e.store = e.Platform.Store()
	e.registry = metrics.New()
	e.self = holder.Identity{Entry: e.Name, Incarnation: fleet.NewIncarnation(), Zone: e.Zone, Millicores: e.Millicores, Address: e.PeerAddress}
	e.feeds = Feeds{
		Scheduler: ring.NewWithReserve[holder.Event]("scheduler", ringCapacity, eventReserve),
		Config:    &e.config, Waves: &e.waves, Wake: ring.New[struct{}]("waves", 1),
		JobRequests: ring.New[*holder.JobRequest]("asks", ringCapacity), Ready: e.ready, Scope: e.registry.Scope,
	}
	for i := range e.feeds.Intakes {
		e.feeds.Intakes[i] = ring.NewWithReserve[holder.IntakeEvent]("intake", intakeCapacity, intakeReserve)
	}
	e.announcements = ring.New[holder.Announcement]("announces", ringCapacity)
	e.advice = ring.New[shard.AdviceRequest]("advice", ringCapacity)
	e.relaySessions = ring.New[holder.RelayRequest]("relay-sessions", holder.RelayRequests)
	e.drainCtx, e.startDrain = context.WithCancel(running)
}

func (e *Entry) duties() []duty.Duty {
	peers := &jobpeer.Client{HTTP: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: resolvers, IdleConnTimeout: idleTimeout, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}}}
	list := []duty.Duty{
		e.scheduler(peers),
		&holder.Heartbeat{Self: e.self, Store: e.store, Status: &e.status, Clock: e.Clock, Log: e.Log, Stopping: e.drainCtx},
		&follow.Follower{
			Duty: "follow-members", Table: holder.MembersTable, Parts: []rowstore.Part{holder.NodesPart}, All: true, Store: e.store, Clock: e.Clock, Log: e.Log,
			Interval: func() time.Duration { return holder.MembersInterval(e.status.Get()) }, Latency: &e.storeLatency,
			Sink: &holder.MembersSink{Scheduler: e.feeds.Scheduler, Log: e.Log},
		},
		&follow.Follower{
			Duty: "follow-services", Table: holder.RecordsTable, Parts: []rowstore.Part{holder.RecordsPart}, All: true, Store: e.store, Clock: e.Clock, Log: e.Log,
			Interval: follow.Every(holder.RecordsInterval), Inbox: ring.New[follow.RefreshRequest]("services-refresh", 1),
			Sink: &holder.RecordsSink{Scheduler: e.feeds.Scheduler, Log: e.Log},
		},
		e.Platform.Operator(e.feeds),
		&holder.RelayHost{
			Inbox: e.relaySessions, NewCaller: e.Platform.NewCaller, Duties: e.group, Clock: e.Clock, Log: e.Log, Stopping: e.drainCtx,
		},
	}
	if service := e.Platform.Advice(); service != nil {
		list = append(list, &holder.Adviser{Service: service, Inbox: e.advice, Scheduler: e.feeds.Scheduler, Log: e.Log})
	}
	for i := range e.feeds.Intakes {
		calls := ring.New[holder.StoreCall]("intake-writer", intakeCalls)
		list = append(list, &holder.Intake{
			Number: i, Inbox: e.feeds.Intakes[i], Writer: calls, Latency: &e.storeLatency, Status: &e.status, JobRequests: e.feeds.JobRequests, Clock: e.Clock, Log: e.Log,
			// The holder of a submission that is not announced learns of it at its next read of the jobs.
			Announce: func(a holder.Announcement) { _ = e.announcements.Push(a) },
		}, &holder.IntakeWriter{Number: i, Inbox: calls, Intake: e.feeds.Intakes[i], Store: e.store, Log: e.Log})
	}
	for i := range resolvers {
		list = append(list, &holder.Resolver{
			Number: i, Inbox: e.feeds.JobRequests, Scheduler: e.feeds.Scheduler, Peers: peers, Store: e.store, Intakes: e.feeds.Intakes, Clock: e.Clock, Log: e.Log,
		})
	}
	for i := range announcers {
		list = append(list, &holder.Announcer{Number: i, Inbox: e.announcements, Scheduler: e.feeds.Scheduler, Peers: peers, Clock: e.Clock, Log: e.Log})
	}
	return list
}

func (e *Entry) scheduler(peers holder.Peers) *holder.Scheduler {
	s := &holder.Scheduler{
		Self: e.self, Inbox: e.feeds.Scheduler, Store: e.store, Clock: e.Clock, Log: e.Log, Bounds: e.Bounds, Memory: e.Memory,
		Duties: e.group, NewRegistry: func() duty.Duty { return e.Platform.Registry(e.feeds) }, Intakes: e.feeds.Intakes, Advice: e.advice, Status: &e.status, Latency: &e.storeLatency, NewCaller: e.Platform.NewCaller,
		Rounds: holder.NewRounds(e.registry.Scope), Relays: &jobpeer.RelayDialer{Clock: e.Clock}, Scope: e.registry.Scope,
		Observer: func(service fleet.ServiceID, epoch fleet.FencingToken) shard.Observer {
			return holder.NewObserver(e.Log, e.registry.Scope, service, epoch)
		},
	}
	if vms := e.Platform.VMs(); vms != nil {
		s.Maintainer = func(c *holder.Chain, taken *holder.Taken, release *ring.Ring[struct{}]) duty.Duty {
			return &holder.Maintainer{
				Chain: c, Taken: taken, Platform: vms, Peers: peers, Scheduler: e.feeds.Scheduler, Waves: &e.waves, Config: &e.config,
				Wake: e.feeds.Wake, Duties: e.group, Release: release, Clock: e.Clock, Log: e.Log, TakeoverDelay: e.MaintenanceTakeoverDelay,
			}
		}
	}
	return s
}

// ready reports whether the entry can serve. An entry that cannot read the store cannot accept jobs, and the
// load balancer, which notices after two probes one second apart, can route callers to other entries.
func (e *Entry) ready() bool {
	return !e.stopping.Get() && e.status.Get().Configured && !e.storeLatency.Get().Overdue(e.Clock.Now())
}

// stop releases the leases, keeps serving until the load balancer has noticed, and completes the requests in
// flight.
func (e *Entry) stop(ctx context.Context, servers []*httpServer) {
	e.Log.Info("entry: stopping")
	e.stopping.Set(true)
	e.startDrain()
	if err := e.feeds.Scheduler.PushReserved(holder.Event{Stop: true}); err != nil {
		e.Log.Error("entry: leases could not be released", zap.Error(trace.Unwrap(err)))
	}
	linger := min(stopLinger, e.Grace-2*stopMargin)
	_ = clock.Wait(ctx, e.Clock, max(0, linger)) // The wait ends early when a duty fails.
	closing, cancel := context.WithTimeout(ctx, stopMargin)
	defer cancel()
	if err := servers[0].server.Shutdown(closing); err != nil {
		e.Log.Warn("entry: requests in flight were aborted by the stop", zap.Error(err))
	}
	e.Log.Info("entry: stopped")
}
