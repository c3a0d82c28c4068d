package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/daemon"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/settings"
	"github.com/mimosawharf/mimosawharf/internal/standin"
	"github.com/mimosawharf/mimosawharf/internal/standin/endpoint"
	"github.com/mimosawharf/mimosawharf/internal/standin/platform"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1/callerv1connect"
	endpointv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/endpoint/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1/operatorv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/client"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Parameters of the deployment.
const (
	endpointsPerZone = 3
	endpointSlots    = 8
	runTime          = 20 * time.Millisecond
	longRunTime      = time.Second
	listLag          = 100 * time.Millisecond
	rebootTime       = 200 * time.Millisecond
	headerTimeout    = 5 * time.Second
)

// Client account of the demo.
const (
	account = "newsroom"
	secret  = "demo-secret"
)

// deployment is a stand-in platform, endpoints and entries in two availability zones, all in this process.
type deployment struct {
	group     *duty.Group
	platform  *platform.Platform
	endpoints map[fleet.VMID]*endpoint.Endpoint
	entries   []*entry
	tickets   stoppedTickets
}

// entry is one daemon and the clients that talk to it.
type entry struct {
	id       fleet.EntryID
	stop     context.CancelFunc
	operator operatorv1connect.OperatorServiceClient
	caller   callerv1connect.CallerServiceClient
	health   fleet.Address
	// server is the URL for operators.
	server string
	// ended gets one item when the daemon has stopped.
	ended *ring.Ring[daemonEnded]
}

// daemonEnded reports that a daemon has stopped gracefully.
type daemonEnded struct{}

// daemonDuty runs a daemon inside the group of the deployment.
type daemonDuty struct {
	daemon *daemon.Daemon
	stop   context.Context
	ended  *ring.Ring[daemonEnded]
}

// Name implements duty.Duty.
func (d *daemonDuty) Name() fleet.DutyName { return fleet.DutyName(d.daemon.Settings.EntryID) }

// Run implements duty.Duty. After a graceful stop of the daemon it waits for the end of its own context,
// because a duty that returns earlier stops the group.
func (d *daemonDuty) Run(ctx context.Context) error {
	if err := d.daemon.Run(d.stop); err != nil {
		return trace.Wrap(err)
	}
	if err := d.ended.Push(daemonEnded{}); err != nil {
		return trace.Wrap(err)
	}
	<-ctx.Done()
	return trace.Wrap(ctx.Err())
}

func start(ctx context.Context) (*deployment, error) {
	d := &deployment{endpoints: map[fleet.VMID]*endpoint.Endpoint{}}
	var running context.Context
	d.group, running = duty.NewGroup(ctx)
	address, err := d.startPlatform(running)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, zone := range []fleet.ZoneID{"zone-a", "zone-b"} {
		for i := range endpointsPerZone {
			if err := d.startEndpoint(running, zone, i); err != nil {
				return nil, trace.Wrap(err)
			}
		}
	}
	for _, zone := range []fleet.ZoneID{"zone-a", "zone-b"} {
		if err := d.startEntry(running, zone, address); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return d, nil
}

func (d *deployment) stop() {
	for _, e := range d.entries {
		e.stop()
	}
	d.group.Stop()
	_ = d.group.Wait()
}

// listen opens a listener on a free port of loopback.
func listen() (net.Listener, error) {
	return daemon.Listen("127.0.0.1:0")
}

func (d *deployment) serve(ctx context.Context, name fleet.DutyName, handler http.Handler) (fleet.Address, error) {
	l, err := listen()
	if err != nil {
		return "", trace.Wrap(err)
	}
	d.group.Start(ctx, &daemon.Server{Duty: name, Listener: l, Handler: handler, HeaderTimeout: headerTimeout})
	return fleet.Address(l.Addr().String()), nil
}

func (d *deployment) startPlatform(ctx context.Context) (fleet.Address, error) {
	d.platform = platform.New(clock.Real(), listLag, rebootTime)
	d.group.Start(ctx, d.platform)
	return d.serve(ctx, "http-platform", d.platform.Handler())
}

func vmID(zone fleet.ZoneID, i int) fleet.VMID { return fleet.VMID(fmt.Sprintf("vm-%s-%d", zone, i)) }

func (d *deployment) startEndpoint(ctx context.Context, zone fleet.ZoneID, i int) error {
	id := vmID(zone, i)
	e := endpoint.New(clock.Real(), endpointSlots, runTime)
	e.RunTime = func(r *endpointv1.RunRequest) time.Duration {
		if r.GetRequestType() == typeExport {
			return longRunTime
		}
		return runTime
	}
	d.endpoints[id] = e
	d.group.Start(ctx, e)
	address, err := d.serve(ctx, "http-"+fleet.DutyName(id), e.Handler())
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(d.platform.PutVM(ctx, standin.NewVM(id, zone, "rack-1", address)))
}

func (d *deployment) startEntry(ctx context.Context, zone fleet.ZoneID, platformAddress fleet.Address) error {
	addresses, err := freeAddresses(3)
	if err != nil {
		return trace.Wrap(err)
	}
	id := fleet.EntryID("entry-" + zone)
	s, err := settings.Defaults(func(s *settings.Settings) {
		s.EntryID, s.Zone = id, zone
		s.CallerAddress, s.OperatorAddress, s.HealthAddress = addresses[0], addresses[1], addresses[2]
		s.PeerAddress = "127.0.0.1:0"
		s.PlatformAddress = "http://" + string(platformAddress)
		s.Insecure = true
		s.CallWorkers = 64
		s.PollInterval = 100 * time.Millisecond
		s.VMListInterval = 100 * time.Millisecond
		s.LeaseDuration = 600 * time.Millisecond
		s.SettleTime = 200 * time.Millisecond
		s.PlatformTimeout = 500 * time.Millisecond
	})
	if err != nil {
		return trace.Wrap(err)
	}
	stopping, stop := context.WithCancel(ctx)
	ended := ring.New[daemonEnded]("demo-ended", 1)
	d.group.Start(ctx, &daemonDuty{daemon: &daemon.Daemon{Settings: s, Clock: clock.Real(), Log: zap.NewNop()}, stop: stopping, ended: ended})
	d.entries = append(d.entries, &entry{
		id:       id,
		stop:     stop,
		operator: client.NewOperator("http://"+string(addresses[1]), client.OperatorOptions{Name: "demo"}),
		caller:   client.NewCaller("http://"+string(addresses[0]), client.CallerOptions{Account: account, Secret: secret}),
		health:   addresses[2],
		server:   "http://" + string(addresses[1]),
		ended:    ended,
	})
	return nil
}

// Ports of the daemons are below the system's ephemeral range, so that no connection and no listener on
// port 0 takes a port between its choice and its use.
const (
	firstPort = 20000
	ports     = 10000
)

// freeAddresses returns free addresses on loopback.
func freeAddresses(n int) ([]fleet.Address, error) {
	var list []fleet.Address
	for tries := 0; len(list) < n; tries++ {
		address := fleet.Address(fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports)))
		l, err := daemon.Listen(address)
		if err != nil && tries < ports {
			continue
		}
		if err != nil {
			return nil, trace.Wrap(err)
		}
		list = append(list, address)
		// Closed on return, so that a daemon can listen on the port.
		defer func() { _ = l.Close() }()
	}
	return list, nil
}
