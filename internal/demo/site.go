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

// Sizes of the site.
const (
	endpointsPerZone = 3
	endpointSlots    = 8
	runTime          = 20 * time.Millisecond
	longRunTime      = time.Second
	listLag          = 100 * time.Millisecond
	rebootTime       = 200 * time.Millisecond
	headerTimeout    = 5 * time.Second
)

// The account of the demo.
const (
	account = "newsroom"
	secret  = "demo-secret"
)

// site is a platform, endpoints and entries in two availability zones, all in this process.
type site struct {
	group     *duty.Group
	platform  *platform.Platform
	endpoints map[fleet.VMID]*endpoint.Endpoint
	entries   []*entry
	kept      keptTickets
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

// daemonEnded says that a daemon has stopped gracefully.
type daemonEnded struct{}

// daemonDuty runs a daemon inside the group of the site.
type daemonDuty struct {
	daemon *daemon.Daemon
	stop   context.Context
	ended  *ring.Ring[daemonEnded]
}

// Name implements duty.Duty.
func (d *daemonDuty) Name() fleet.DutyName { return fleet.DutyName(d.daemon.Settings.EntryID) }

// Run implements duty.Duty. A daemon that was asked to stop leaves the rest of the site running.
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

func start(ctx context.Context) (*site, error) {
	f := &site{endpoints: map[fleet.VMID]*endpoint.Endpoint{}}
	var running context.Context
	f.group, running = duty.NewGroup(ctx)
	address, err := f.startPlatform(running)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, zone := range []fleet.ZoneID{"zone-a", "zone-b"} {
		for i := range endpointsPerZone {
			if err := f.startEndpoint(running, zone, i); err != nil {
				return nil, trace.Wrap(err)
			}
		}
	}
	for _, zone := range []fleet.ZoneID{"zone-a", "zone-b"} {
		if err := f.startEntry(running, zone, address); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return f, nil
}

func (f *site) stop() {
	for _, e := range f.entries {
		e.stop()
	}
	f.group.Stop()
	_ = f.group.Wait()
}

// listen opens a listener on a free port of loopback.
func listen() (net.Listener, error) {
	return daemon.Listen("127.0.0.1:0")
}

func (f *site) serve(ctx context.Context, name fleet.DutyName, handler http.Handler) (fleet.Address, error) {
	l, err := listen()
	if err != nil {
		return "", trace.Wrap(err)
	}
	f.group.Start(ctx, &daemon.Server{Duty: name, Listener: l, Handler: handler, HeaderTimeout: headerTimeout})
	return fleet.Address(l.Addr().String()), nil
}

func (f *site) startPlatform(ctx context.Context) (fleet.Address, error) {
	f.platform = platform.New(clock.Real(), listLag, rebootTime)
	f.group.Start(ctx, f.platform)
	return f.serve(ctx, "http-platform", f.platform.Handler())
}

func vmID(zone fleet.ZoneID, i int) fleet.VMID { return fleet.VMID(fmt.Sprintf("vm-%s-%d", zone, i)) }

func (f *site) startEndpoint(ctx context.Context, zone fleet.ZoneID, i int) error {
	id := vmID(zone, i)
	e := endpoint.New(clock.Real(), endpointSlots, runTime)
	e.RunTime = func(r *endpointv1.RunRequest) time.Duration {
		if r.GetRequestType() == typeExport {
			return longRunTime
		}
		return runTime
	}
	f.endpoints[id] = e
	f.group.Start(ctx, e)
	address, err := f.serve(ctx, "http-"+fleet.DutyName(id), e.Handler())
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(f.platform.PutVM(ctx, standin.NewVM(id, zone, "rack-1", address)))
}

func (f *site) startEntry(ctx context.Context, zone fleet.ZoneID, platformAddress fleet.Address) error {
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
	f.group.Start(ctx, &daemonDuty{daemon: &daemon.Daemon{Settings: s, Clock: clock.Real(), Log: zap.NewNop()}, stop: stopping, ended: ended})
	f.entries = append(f.entries, &entry{
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

// Ports for the daemons lie below those that the system gives to connections and to listeners without a
// port of their own, so that none of those takes a port between its choice and its use.
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
		// The port stays free for the daemon that is given it next.
		defer func() { _ = l.Close() }()
	}
	return list, nil
}
