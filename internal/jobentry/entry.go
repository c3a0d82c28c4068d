// Package jobentry assembles the duties of an entry that runs jobs, and takes them from start to graceful
// stop. What speaks to callers, endpoints and the platform is handed in.
package jobentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/jobpeer"
	"github.com/mimosawharf/mimosawharf/internal/metrics"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Surroundings connects an entry to the platform that it runs on.
type Surroundings interface {
	// Store returns the table service.
	Store() holder.Store
	// NewCaller returns a caller of endpoints for one duty.
	NewCaller() holder.EndpointCaller
	// VMs returns the service that lists and maintains VMs, or nil where there is none.
	VMs() holder.VMPlatform
	// Advice returns the service that says which endpoints may run a step, or nil where there is none.
	Advice() holder.AdviceService
	// Followers returns the duties that keep up with the registry of endpoints and with the operator.
	Followers(f Feeds) []duty.Duty
	// Fronts returns the servers for callers. The first one is the last to close at a stop.
	Fronts(f Feeds) []Front
}

// Feeds is what surroundings push to and read from.
type Feeds struct {
	// Scheduler takes lists of endpoints and configurations.
	Scheduler *ring.Ring[holder.Event]
	// Config and Waves hold what the operator wants; Wake takes a token when Waves changes.
	Config *ring.Latest[*holder.Config]
	Waves  *ring.Latest[[]holder.WaveOrder]
	Wake   *ring.Ring[struct{}]
	// Intakes take submissions, Asks take questions.
	Intakes [holder.Intakes]*ring.Ring[holder.IntakeEvent]
	Asks    *ring.Ring[*holder.Ask]
	// Ready reports whether the entry can serve.
	Ready func() bool
	Scope tally.Scope
}

// Front is a server on one address.
type Front struct {
	Duty    fleet.DutyName
	Address fleet.Address
	Handler http.Handler
	// MaxHeaderBytes bounds the headers of a request; 0 stands for a default.
	MaxHeaderBytes int
}

// Entry runs one entry.
type Entry struct {
	// The fields are set before Run.
	Name fleet.EntryID
	Zone fleet.ZoneID
	// Millicores is the processor capacity of the VM; 0 when it is not known.
	Millicores fleet.Millicores
	// PeerAddress is where other entries, and the product's own tools, reach this one.
	PeerAddress    fleet.Address
	MetricsAddress fleet.Address
	Surroundings   Surroundings
	Bounds         shard.Bounds
	// Grace is how long a stop may take, OrderTurn how long a new holder leaves VMs alone that an earlier
	// one gave orders for.
	Grace, OrderTurn time.Duration
	Clock            clock.Clock
	Log              *zap.Logger

	self     holder.Identity
	store    holder.Store
	registry *metrics.Registry
	feeds    Feeds
	refresh  *ring.Ring[holder.FollowRequest]
	// announces takes what intakes have stored.
	announces *ring.Ring[*holder.Submission]
	advice    *ring.Ring[shard.AdviceRequest]
	config    ring.Latest[*holder.Config]
	waves     ring.Latest[[]holder.WaveOrder]
	status    ring.Latest[holder.Status]
	pace      ring.Latest[holder.StorePace]
	stopping  ring.Latest[bool]
	// leaving ends when a graceful stop begins.
	leaving context.Context
	leave   context.CancelFunc
	group   *duty.Group
}

// Sizes of an entry.
const (
	// ringCapacity bounds what waits between duties.
	ringCapacity = 2048
	// eventReserve is kept for events of the entry's own duties, which may not be lost.
	eventReserve = 16384
	// intakeReserve is kept for the end of the one attempt that an intake makes at a time.
	intakeReserve = 1
	// resolvers and announcers answer and announce at the same time.
	resolvers  = 6
	announcers = 2
)

// sharedInterval is the time between reads of the shared table. Each read is charged, and the bounds on
// visibility and takeover are seconds.
const sharedInterval = 400 * time.Millisecond

// Times of a stop.
const (
	// stopLinger is how long a stopping entry goes on serving: the balancer notices after two probes, a
	// second apart.
	stopLinger = 2600 * time.Millisecond
	// stopMargin is left of the grace for closing.
	stopMargin = 1500 * time.Millisecond
)

// Bounds of connections.
const (
	// headerTimeout bounds the time to read the headers of a request.
	headerTimeout = 3 * time.Second
	// idleTimeout closes connections that callers do not use.
	idleTimeout = 60 * time.Second
	// dialTimeout bounds the opening of a connection to another entry.
	dialTimeout = 300 * time.Millisecond
	// defaultHeaderBytes bounds the headers of a request.
	defaultHeaderBytes = 16 << 10
)

// Run serves until the context ends and then stops gracefully. It returns *duty.StoppedError or
// *ListenError.
func (e *Entry) Run(ctx context.Context) error {
	group, running := duty.NewGroup(context.WithoutCancel(ctx))
	e.prepare(running)
	defer func() { _ = e.registry.Close() }() // The process ends.
	defer e.leave()
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
	e.store = e.Surroundings.Store()
	e.registry = metrics.New()
	e.self = holder.Identity{Entry: e.Name, Incarnation: fleet.NewIncarnation(), Zone: e.Zone, Millicores: e.Millicores, Address: e.PeerAddress}
	e.feeds = Feeds{
		Scheduler: ring.NewWithReserve[holder.Event]("scheduler", ringCapacity, eventReserve),
		Config:    &e.config, Waves: &e.waves, Wake: ring.New[struct{}]("waves", 1),
		Asks: ring.New[*holder.Ask]("asks", ringCapacity), Ready: e.ready, Scope: e.registry.Scope,
	}
	for i := range e.feeds.Intakes {
		e.feeds.Intakes[i] = ring.NewWithReserve[holder.IntakeEvent]("intake", ringCapacity, intakeReserve)
	}
	e.refresh = ring.New[holder.FollowRequest]("shared-refresh", ringCapacity)
	e.announces = ring.New[*holder.Submission]("announces", ringCapacity)
	e.advice = ring.New[shard.AdviceRequest]("advice", ringCapacity)
	e.leaving, e.leave = context.WithCancel(running)
}

func (e *Entry) duties() []duty.Duty {
	peers := &jobpeer.Client{HTTP: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: resolvers, IdleConnTimeout: idleTimeout, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}}}
	list := []duty.Duty{
		e.scheduler(peers),
		&holder.Beat{Self: e.self, Store: e.store, Clock: e.Clock, Log: e.Log, Stopping: e.leaving},
		&holder.Follower{
			Duty: "follow-shared", Table: holder.SharedTable, Part: holder.SharedFirstPart, All: true, Store: e.store, Clock: e.Clock, Log: e.Log,
			Interval: sharedInterval, Inbox: e.refresh, Pace: &e.pace, Sink: &holder.SharedSink{Scheduler: e.feeds.Scheduler, Log: e.Log},
		},
	}
	list = append(list, e.Surroundings.Followers(e.feeds)...)
	if service := e.Surroundings.Advice(); service != nil {
		list = append(list, &holder.Adviser{Service: service, Inbox: e.advice, Scheduler: e.feeds.Scheduler, Log: e.Log})
	}
	for i := range e.feeds.Intakes {
		calls := ring.New[holder.StoreCall]("intake-writer", ringCapacity)
		list = append(list, &holder.Intake{
			Number: i, Inbox: e.feeds.Intakes[i], Writer: calls, Pace: &e.pace, Clock: e.Clock, Log: e.Log,
			// A submission that is not announced reaches its holder with the next read.
			Announce: func(s *holder.Submission) { _ = e.announces.Push(s) },
		}, &holder.IntakeWriter{Number: i, Inbox: calls, Intake: e.feeds.Intakes[i], Store: e.store, Log: e.Log})
	}
	for i := range resolvers {
		list = append(list, &holder.Resolver{
			Number: i, Inbox: e.feeds.Asks, Scheduler: e.feeds.Scheduler, Peers: peers, Store: e.store, Intakes: e.feeds.Intakes, Clock: e.Clock, Log: e.Log,
		})
	}
	for i := range announcers {
		list = append(list, &holder.Announcer{Number: i, Inbox: e.announces, Scheduler: e.feeds.Scheduler, Peers: peers, Clock: e.Clock, Log: e.Log})
	}
	return list
}

func (e *Entry) scheduler(peers holder.Peers) *holder.Scheduler {
	s := &holder.Scheduler{
		Self: e.self, Inbox: e.feeds.Scheduler, Store: e.store, Clock: e.Clock, Log: e.Log, Bounds: e.Bounds,
		Duties: e.group, Refresh: e.refresh, Intakes: e.feeds.Intakes, Advice: e.advice, Status: &e.status, Pace: &e.pace, NewCaller: e.Surroundings.NewCaller,
		Observer: func(service fleet.ServiceID, epoch fleet.FencingToken) shard.Observer {
			return holder.NewObserver(e.Log, e.registry.Scope, service, epoch)
		},
	}
	if vms := e.Surroundings.VMs(); vms != nil {
		s.Maintainer = func(c *holder.Chain, taken *holder.Taken, leave *ring.Ring[struct{}]) duty.Duty {
			return &holder.Maintainer{
				Chain: c, Taken: taken, Platform: vms, Peers: peers, Scheduler: e.feeds.Scheduler, Waves: &e.waves, Config: &e.config,
				Wake: e.feeds.Wake, Leave: leave, Clock: e.Clock, Log: e.Log, TurnWait: e.OrderTurn,
			}
		}
	}
	return s
}

// httpServer is the duty that serves HTTP on one listener.
type httpServer struct {
	name     fleet.DutyName
	listener net.Listener
	server   *http.Server
}

// Name implements duty.Duty.
func (s *httpServer) Name() fleet.DutyName { return s.name }

// Run implements duty.Duty.
func (s *httpServer) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() }) // The process ends.
	defer stop()
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return trace.Wrap(ctx.Err())
	}
	return trace.Wrap(err)
}

// servers opens all listeners. It returns *ListenError.
func (e *Entry) servers() ([]*httpServer, error) {
	peer := http.NewServeMux()
	peer.Handle((&jobpeer.Handler{Scheduler: e.feeds.Scheduler}).Path())
	peer.Handle((&jobpeer.Jobs{Feeds: jobpeer.JobFeeds{Config: e.feeds.Config, Intakes: e.feeds.Intakes, Asks: e.feeds.Asks}, Clock: e.Clock}).Path())
	page := http.NewServeMux()
	page.Handle("GET /metrics", e.registry.Page)
	fronts := append(e.Surroundings.Fronts(e.feeds), Front{Duty: "http-peer", Address: e.self.Address, Handler: peer})
	if e.MetricsAddress != "" {
		fronts = append(fronts, Front{Duty: "http-metrics", Address: e.MetricsAddress, Handler: page})
	}
	var list []*httpServer
	for _, one := range fronts {
		l, err := net.Listen("tcp4", string(one.Address))
		if err != nil {
			return nil, trace.Wrap(&ListenError{Address: one.Address, Cause: err})
		}
		bytes := one.MaxHeaderBytes
		if bytes == 0 {
			bytes = defaultHeaderBytes
		}
		list = append(list, &httpServer{name: one.Duty, listener: l, server: &http.Server{
			Handler: one.Handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: bytes, ErrorLog: zap.NewStdLog(e.Log),
		}})
	}
	return list, nil
}

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Address fleet.Address
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "listen on " + string(e.Address) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// ready reports whether the entry can serve. An entry that cannot read the store cannot accept jobs, and the
// balancer, which takes two probes a second apart to notice, has other entries for its callers.
func (e *Entry) ready() bool {
	return !e.stopping.Get() && e.status.Get().Configured && !e.pace.Get().Overdue(e.Clock.Now())
}

// stop releases the leases, goes on serving until the balancer has noticed, and finishes what callers
// have sent.
func (e *Entry) stop(ctx context.Context, servers []*httpServer) {
	e.Log.Info("entry: stopping")
	e.stopping.Set(true)
	e.leave()
	if err := e.feeds.Scheduler.PushReserved(holder.Event{Stop: true}); err != nil {
		e.Log.Error("entry: leases are not released", zap.Error(trace.Unwrap(err)))
	}
	linger := min(stopLinger, e.Grace-2*stopMargin)
	_ = clock.Wait(ctx, e.Clock, max(0, linger)) // A failed duty ends the wait early.
	closing, cancel := context.WithTimeout(ctx, stopMargin)
	defer cancel()
	if err := servers[0].server.Shutdown(closing); err != nil {
		e.Log.Warn("entry: requests were cut off by the stop", zap.Error(err))
	}
	e.Log.Info("entry: stopped")
}
