// Package daemon assembles the duties of mimosawharfd and runs them from start to graceful stop.
package daemon

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"net"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/admission"
	"github.com/mimosawharf/mimosawharf/internal/balancer"
	"github.com/mimosawharf/mimosawharf/internal/caller"
	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/control"
	"github.com/mimosawharf/mimosawharf/internal/credential"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/endpoint"
	"github.com/mimosawharf/mimosawharf/internal/metrics"
	"github.com/mimosawharf/mimosawharf/internal/operation"
	"github.com/mimosawharf/mimosawharf/internal/operator"
	"github.com/mimosawharf/mimosawharf/internal/peer"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/retry"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/routing"
	"github.com/mimosawharf/mimosawharf/internal/settings"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Daemon is one entry.
type Daemon struct {
	// The fields are set before Run.
	Settings settings.Settings
	Clock    clock.Clock
	Log      *zap.Logger
	// Credentials are those of this entry. When they are nil, they are read from the files that the
	// settings name. With the setting insecure they are not used.
	Credentials *credential.Source

	incarnation     fleet.Incarnation
	listeners       listeners
	view            ring.Latest[*fleet.View]
	status          ring.Latest[dispatch.Status]
	readiness       ring.Latest[balancer.Readiness]
	held            ring.Latest[control.Leases]
	load            ring.Latest[control.Load]
	reconciled      ring.Latest[fleet.TableHistory]
	deadEndpoints   ring.Latest[[]fleet.VMID]
	events          *ring.Ring[dispatch.Event]
	workItems       *ring.Ring[endpoint.WorkItem]
	polls           *ring.Ring[control.PollerEvent]
	operations      *ring.Ring[operation.Operation]
	seen            *ring.Ring[endpoint.Seen]
	hub             *ring.Ring[peer.HubEvent]
	directory       ring.Latest[*peer.Directory]
	forwarder       *peer.Forwarder
	socket          *peer.Socket
	closing         context.Context
	closed          *ring.Ring[ServerClosed]
	deregistrations *ring.Ring[control.Deregister]
	// onSuperseded is called when another process has registered under this entry's id.
	onSuperseded func()
	superseded   ring.Latest[bool]
	writes       *ring.Ring[*platform.Call]
	reads        *ring.Ring[*platform.Call]

	monitoring monitoring
}

type listeners struct {
	caller, operator, health net.Listener
}

// Run runs the daemon until the context ends and then stops it gracefully, finishing requests in flight.
// It returns *credential.MaterialError, *PlainAddressError, *ListenError, *SupersededError or, when a
// duty fails, *duty.StoppedError.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.loadCredentials(); err != nil {
		return trace.Wrap(err)
	}
	if err := d.listen(); err != nil {
		return trace.Wrap(err)
	}
	d.incarnation = fleet.NewIncarnation()
	d.makeRings()
	d.monitoring.registry = metrics.New()
	defer func() { _ = d.monitoring.registry.Close() }()
	group, running := duty.NewGroup(context.WithoutCancel(ctx))
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	d.onSuperseded = func() { d.superseded.Set(true); stop() }
	defer d.socket.Close()
	closing, closeCallers := context.WithCancel(running)
	defer closeCallers()
	d.closing = closing
	list := append(d.duties(ctx, group.Stop, closeCallers), d.peerDuties(func(link duty.Duty) { group.Start(running, link) })...)
	for _, each := range list {
		group.Start(running, each)
	}
	d.Log.Info("daemon: started", zap.String("entry", string(d.Settings.EntryID)), zap.String("incarnation", string(d.incarnation)))
	err := group.Wait()
	d.Log.Info("daemon: stopped")
	if err == nil && d.superseded.Get() {
		err = &SupersededError{Entry: d.Settings.EntryID}
	}
	return trace.Wrap(err)
}

// SupersededError reports that another process registered under the same entry id, so that this one
// stopped.
type SupersededError struct {
	Entry fleet.EntryID
}

// Error implements error.
func (e *SupersededError) Error() string {
	return "another process runs as entry " + string(e.Entry) + ": give each entry its own --entry-id"
}

func (d *Daemon) listen() error {
	var err error
	if d.listeners.caller, err = Listen(d.Settings.CallerAddress); err != nil {
		return trace.Wrap(err)
	}
	if d.listeners.operator, err = Listen(d.Settings.OperatorAddress); err != nil {
		return trace.Wrap(err)
	}
	if d.listeners.health, err = Listen(d.Settings.HealthAddress); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(d.listenPeers())
}

func (d *Daemon) makeRings() {
	capacity := d.Settings.RingCapacity
	// The reserve holds the result of each attempt in flight.
	d.events = ring.NewWithReserve[dispatch.Event]("dispatcher", capacity, d.Settings.CallWorkers)
	d.workItems = ring.New[endpoint.WorkItem]("calls", 2*d.Settings.CallWorkers)
	d.polls = ring.New[control.PollerEvent]("poller", capacity)
	d.operations = ring.New[operation.Operation]("operator", capacity)
	d.seen = ring.New[endpoint.Seen]("prober", capacity)
	d.hub = ring.New[peer.HubEvent]("peers", capacity)
	d.forwarder = &peer.Forwarder{Directory: &d.directory, Hub: d.hub}
	d.closed = ring.New[ServerClosed]("server-closed", 1)
	d.deregistrations = ring.New[control.Deregister]("lease-holder", 1)
	d.writes = ring.New[*platform.Call]("table-writer", capacity)
	d.reads = ring.New[*platform.Call]("table-reader", capacity)
}

// duties returns all duties of the daemon.
func (d *Daemon) duties(stopRequested context.Context, stopped, closeCallers func()) []duty.Duty {
	s := d.Settings
	client := platform.NewClient(d.platformClient(), s.PlatformAddress, s.PlatformTimeout)
	table := &platform.RateLimitedClient{Client: client, Writes: d.writes, Reads: d.reads}
	driverConfig := control.DriverConfig{
		Entry: s.EntryID, Table: table, View: &d.view, Held: &d.held, Load: &d.load, Poller: d.polls,
		Clock: d.Clock, Log: d.Log, ListMaxAge: s.VMListMaxAge,
	}
	list := []duty.Duty{
		d.dispatcher(),
		&platform.RateLimiter{Duty: "table-writer", Inbox: d.writes, Clock: d.Clock, PerSecond: float64(s.TableWritesPerSecond)},
		&platform.RateLimiter{Duty: "table-reader", Inbox: d.reads, Clock: d.Clock, PerSecond: float64(s.TableReadsPerSecond)},
		&control.Poller{
			Table: table, Inbox: d.polls, View: &d.view, Dispatcher: d.events, Clock: d.Clock, Log: d.Log, Interval: s.PollInterval,
			Objects: client, Entry: s.EntryID, Zone: s.Zone, HoldTime: s.HoldTime, Peers: d.forwarder,
		},
		&control.VMListReader{Platform: client, Zone: s.Zone, Poller: d.polls, Clock: d.Clock, Log: d.Log, Interval: s.VMListInterval},
		d.leaseHolder(table),
		&control.FleetDriver{
			Entry: s.EntryID, Table: table, Platform: client, View: &d.view, Held: &d.held, Poller: d.polls,
			Clock: d.Clock, Log: d.Log, Interval: s.PollInterval, HoldTime: s.HoldTime, ListMaxAge: s.VMListMaxAge,
			Reconciled: &d.reconciled,
		},
		&control.WaveDriver{DriverConfig: driverConfig, Interval: s.PollInterval, Period: s.MaintenancePeriod},
		&control.SpareDriver{DriverConfig: driverConfig},
		&control.Snapshot{Table: table, Objects: client, Held: &d.held, Clock: d.Clock, Log: d.Log, Interval: s.SnapshotInterval},
		&operation.Executor{
			Entry: s.EntryID, Inbox: d.operations, Table: table, Platform: client, View: &d.view, PollNow: d.pollNow,
			Clock: d.Clock, Log: d.Log, ListMaxAge: s.VMListMaxAge,
		},
		&Supervisor{
			View: &d.view, Readiness: &d.readiness, Status: &d.status, Dispatcher: d.events, Clock: d.Clock, Log: d.Log,
			SettleTime: s.SettleTime, DrainTimeout: s.DrainTimeout, StopRequested: stopRequested, Stopped: stopped, LeaseHolder: d.deregistrations,
			Peers: d.forwarder, CloseCallers: closeCallers, Closed: d.closed,
		},
	}
	list = append(list, d.credentialRenewal()...)
	list = append(list, d.observe()...)
	list = append(list, d.calls()...)
	return append(list, d.servers()...)
}

func (d *Daemon) dispatcher() *dispatch.Dispatcher {
	s := d.Settings
	key := make([]byte, ticketKeyBytes)
	_, _ = rand.Read(key) // never fails
	engine := dispatch.NewEngine(
		&admission.Queues{Capacity: s.QueueCapacity, MaxBytes: s.QueueBytes, NormalPercent: s.NormalPercent},
		&routing.Router{
			Zone: s.Zone, Entry: s.EntryID, Reserved: s.ShortReservedSlots, EjectPercent: s.EjectPercent,
			LoanDuration: s.SlotLoan, ZoneLatency: s.ZoneLatency,
		},
		&ticket.Book{Issuer: s.EntryID, Incarnation: d.incarnation, Key: key, Lifetime: s.TicketLifetime},
		s.CallWorkers,
	)
	engine.MaxAttempts = s.MaxAttempts
	engine.LongPercent, engine.LongLag = s.LongSlotsPercent, s.LongLag
	engine.Quotas.MaxInFlight = s.MaxConnectionsPerAccount
	engine.Retries = &retry.Budget{Percent: s.RetryPercent, Random: mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))}
	peers, _ := s.PeerList() // checked by Parse
	entries := []fleet.EntryID{s.EntryID}
	for _, p := range peers {
		if p.Zone == s.Zone {
			entries = append(entries, p.ID)
		}
	}
	engine.SetEntries(d.Clock.Now(), entries, len(peers)+1)
	return &dispatch.Dispatcher{
		Engine: engine, Inbox: d.events, Sender: &endpoint.Pool{WorkItems: d.workItems}, Clock: d.Clock, Log: d.Log,
		View: &d.view, EntriesInZone: len(entries), Status: &d.status, Observer: d.dispatchObserver(),
		Peers: d.forwarder, Fleet: fleetLoad{&d.load},
	}
}

// ticketKeyBytes is the size of the key that authenticates tickets.
const ticketKeyBytes = 32

func (d *Daemon) leaseHolder(table *platform.RateLimitedClient) *control.LeaseHolder {
	return &control.LeaseHolder{
		Entry:  d.entry(),
		Duties: []fleet.DutyName{fleet.DutyFleetDriver, fleet.DutyWaveDriver, fleet.DutySpareDriver, fleet.DutySnapshot},
		Table:  table, View: &d.view, Status: &d.status, Held: &d.held, Clock: d.Clock, Log: d.Log,
		Reconciled: &d.reconciled, DeadEndpoints: &d.deadEndpoints, Inbox: d.deregistrations, Superseded: d.onSuperseded,
	}
}

// controlCalls is the number of call workers beyond the limit of attempts in flight, so that controls and
// probes do not wait behind long work.
const controlCalls = 8

func (d *Daemon) calls() []duty.Duty {
	scheme, config := d.endpointTLS()
	client := endpoint.NewClient(d.endpointConnections(), config)
	list := []duty.Duty{&endpoint.Prober{
		Zone: d.Settings.Zone, Inbox: d.seen, View: &d.view, WorkItems: d.workItems, Clock: d.Clock, Interval: d.Settings.ProbeInterval,
	}}
	for i := range d.Settings.CallWorkers + controlCalls {
		list = append(list, &endpoint.Worker{
			Number: i, WorkItems: d.workItems, Results: d.events, LoadReports: d.events, Seen: d.seen, Client: client, Scheme: scheme, Clock: d.Clock, Log: d.Log,
		})
	}
	return list
}

func (d *Daemon) servers() []duty.Duty {
	s := d.Settings
	callers := &caller.Handler{
		Inbox: d.events, View: &d.view, Clock: d.Clock, DefaultTimeout: s.DefaultTimeout, MaxBody: s.MaxBodyBytes, TicketLifetime: s.TicketLifetime,
		MaxWaiting: s.MaxConnectionsPerAccount, Peers: d.forwarder, Observer: d.outcomes(), Log: d.Log,
	}
	operators := &operator.Handler{
		Inbox: d.operations, View: &d.view, Clock: d.Clock, Loads: serviceLoads{&d.status},
		Bounds: operation.StatusBounds{StoreMaxAge: maxFailedPolls*s.PollInterval + s.PlatformTimeout, ListMaxAge: s.VMListMaxAge},
	}
	return []duty.Duty{
		&Server{
			Duty: "http-caller", Listener: d.listeners.caller, Handler: d.callerHandler(callers), HeaderTimeout: s.HeaderTimeout, Log: d.Log,
			TLS: d.callerTLS(), PlainHTTP2: s.Insecure, MaxConnections: maxCallerConnections, CountAccounts: true,
			Closing: d.closing, Closed: d.closed,
		},
		&Server{
			Duty: "http-operator", Listener: d.listeners.operator, Handler: d.operatorHandler(operators), HeaderTimeout: s.HeaderTimeout, Log: d.Log,
			TLS: d.operatorTLS(), PlainHTTP2: s.Insecure,
		},
		&Server{Duty: "http-health", Listener: d.listeners.health, Handler: d.health().Handler(), HeaderTimeout: s.HeaderTimeout, Log: d.Log},
	}
}

// maxFailedPolls is how many polls of the table may fail before the status reports it as unreachable.
const maxFailedPolls = 3

// pollNow asks the poller to read the table at once. If its ring is full, the next regular poll suffices.
func (d *Daemon) pollNow() {
	_ = d.polls.Push(control.PollerEvent{PollNow: true})
}
