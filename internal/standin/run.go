// Package standin runs the stand-ins for external systems as processes.
package standin

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/credential"
	"github.com/mimosawharf/mimosawharf/internal/daemon"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/standin/endpoint"
	"github.com/mimosawharf/mimosawharf/internal/standin/platform"
	endpointv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/endpoint/v1"
	platformv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/platform/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// headerTimeout bounds the time to read the headers of a request.
const headerTimeout = 5 * time.Second

// UsageError reports wrong arguments.
type UsageError struct {
	Problem string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Problem }

// Run runs the stand-in that the arguments name until the context ends. It returns *UsageError.
func Run(ctx context.Context, arguments []string, output io.Writer) error {
	root := &ff.Command{Name: "mimosawharf-standin", Usage: "mimosawharf-standin <command> [flags]"}
	root.Subcommands = []*ff.Command{
		platformCommand(output), endpointCommand(output), loadCommand(output), platformFaultCommand(), endpointFaultCommand(),
	}
	err := root.ParseAndRun(ctx, arguments)
	if errors.Is(err, ff.ErrHelp) || errors.Is(err, ff.ErrNoExec) {
		_, _ = fmt.Fprintln(output, ffhelp.Command(root))
		return nil
	}
	return trace.Wrap(err)
}

func platformCommand(output io.Writer) *ff.Command {
	set := ff.NewFlagSet("platform")
	address := set.StringLong("address", "127.0.0.1:7300", "Address to serve on, as ip:port.")
	lag := set.DurationLong("list-lag", 2*time.Second, "How far the list of VMs lags.")
	reboot := set.DurationLong("reboot-time", 3*time.Second, "How long an action on a VM takes.")
	files := tlsFlags(set)
	list := set.StringLong("vms", "", "Listed VMs, as id@zone@rack@ip:port,...")
	return &ff.Command{
		Name: "platform", Usage: "platform [flags]", ShortHelp: "serve table, object store and VMs", Flags: set,
		Exec: func(ctx context.Context, _ []string) error {
			p := platform.New(clock.Real(), *lag, *reboot)
			vms, err := parseVMs(*list)
			if err != nil {
				return err
			}
			return serve(ctx, output, fleet.Address(*address), files, p, func(ctx context.Context) (*daemon.Server, error) {
				for _, vm := range vms {
					if err := p.PutVM(ctx, vm); err != nil {
						return nil, err
					}
				}
				return &daemon.Server{Duty: "http-platform", Handler: p.Handler(), HeaderTimeout: headerTimeout}, nil
			})
		},
	}
}

func endpointCommand(output io.Writer) *ff.Command {
	set := ff.NewFlagSet("endpoint")
	address := set.StringLong("address", "127.0.0.1:7500", "Address to serve on, as ip:port.")
	slots := set.IntLong("slots", 8, "Requests that run at the same time.")
	files := tlsFlags(set)
	runTime := set.DurationLong("run-time", 50*time.Millisecond, "How long each request runs.")
	longTime := set.DurationLong("long-run-time", time.Second, "How long each request of the long types runs.")
	longTypes := set.StringLong("long-types", "", "Request types that run long, separated by commas.")
	return &ff.Command{
		Name: "endpoint", Usage: "endpoint [flags]", ShortHelp: "run requests and echo their bodies", Flags: set,
		Exec: func(ctx context.Context, _ []string) error {
			e := endpoint.New(clock.Real(), fleet.Slots(*slots), *runTime)
			long := strings.Split(*longTypes, ",")
			e.RunTime = func(r *endpointv1.RunRequest) time.Duration {
				if slices.Contains(long, r.GetRequestType()) {
					return *longTime
				}
				return *runTime
			}
			return serve(ctx, output, fleet.Address(*address), files, e, func(context.Context) (*daemon.Server, error) {
				return &daemon.Server{Duty: "http-endpoint", Handler: e.Handler(), HeaderTimeout: headerTimeout}, nil
			})
		},
	}
}

// tlsFlags adds the flags of the TLS files. Without files, a stand-in serves without TLS.
func tlsFlags(set *ff.FlagSet) *credential.Files {
	files := &credential.Files{}
	set.StringVar(&files.Certificate, 0, "tls-cert-file", "", "Certificate of the stand-in, PEM; read again when it changes.")
	set.StringVar(&files.Key, 0, "tls-key-file", "", "Private key of the stand-in, PEM.")
	set.StringVar(&files.Authorities, 0, "tls-ca-file", "", "Authorities trusted for entries, PEM.")
	return files
}

// renewalInterval is how often the TLS files are read again.
const renewalInterval = 10 * time.Second

// serverTLS loads the TLS files and starts their renewal; only entries may connect then. It returns nil
// without files.
func serverTLS(ctx context.Context, group *duty.Group, files credential.Files) (*tls.Config, error) {
	if files == (credential.Files{}) {
		return nil, nil
	}
	material, err := files.Load()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	source := &credential.Source{Clock: clock.Real()}
	source.Material.Set(material)
	group.Start(ctx, &credential.Renewal{Loader: files, Source: source, Clock: clock.Real(), Log: zap.NewNop(), Interval: renewalInterval})
	return source.Server(credential.RoleEntry), nil
}

// serve runs a stand-in and its HTTP server until the context ends.
func serve(ctx context.Context, output io.Writer, address fleet.Address, files *credential.Files, d duty.Duty, prepare func(context.Context) (*daemon.Server, error)) error {
	listener, err := daemon.Listen(address)
	if err != nil {
		return trace.Wrap(err)
	}
	group, running := duty.NewGroup(ctx)
	config, err := serverTLS(running, group, *files)
	if err != nil {
		group.Stop()
		return trace.Wrap(err)
	}
	group.Start(running, d)
	server, err := prepare(running)
	if err != nil {
		group.Stop()
		return trace.Wrap(err)
	}
	server.Listener, server.TLS, server.MaxConnections = listener, config, maxConnections
	group.Start(running, server)
	_, _ = fmt.Fprintf(output, "%s: serving on %s\n", d.Name(), listener.Addr())
	return trace.Wrap(group.Wait())
}

// maxConnections bounds the open connections of a stand-in, which may serve many entries.
const maxConnections = 4096

// Sizes of the VMs that the stand-in lists.
const (
	vmSlots       = 8
	vmConnections = 64
)

func parseVMs(text string) ([]*platformv1.VM, error) {
	var list []*platformv1.VM
	for _, item := range strings.Split(text, ",") {
		if item == "" {
			continue
		}
		parts := strings.Split(item, "@")
		if len(parts) != 4 {
			return nil, trace.Wrap(&UsageError{Problem: fmt.Sprintf("--vms: item %q: want id@zone@rack@ip:port", item)})
		}
		list = append(list, NewVM(fleet.VMID(parts[0]), fleet.ZoneID(parts[1]), fleet.RackID(parts[2]), fleet.Address(parts[3])))
	}
	return list, nil
}

// NewVM returns a live endpoint VM with vmSlots and vmConnections.
func NewVM(id fleet.VMID, zone fleet.ZoneID, rack fleet.RackID, address fleet.Address) *platformv1.VM {
	return &platformv1.VM{
		Id: string(id), Zone: string(zone), Rack: string(rack), Address: string(address),
		State: string(fleet.PlatformVMStateLive), Role: string(fleet.VMRoleEndpoint),
		Slots: vmSlots, Connections: vmConnections, Version: "v1",
	}
}
