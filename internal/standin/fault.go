package standin

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"
	"google.golang.org/protobuf/types/known/durationpb"

	endpointv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/endpoint/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/endpoint/v1/endpointv1connect"
	platformv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/platform/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/platform/v1/platformv1connect"
)

// platformFaultCommand sets the faults of a platform stand-in that runs as another process.
func platformFaultCommand() *ff.Command {
	set := ff.NewFlagSet("platform-fault")
	address := set.StringLong("address", "127.0.0.1:7300", "Address of the platform stand-in, as ip:port.")
	down := set.BoolLong("down", "Refuse every call.")
	slow := set.DurationLong("slow", 0, "Delay every answer after its effect.")
	listLate := set.DurationLong("list-late", 0, "How much later than usual the list of VMs is.")
	return &ff.Command{
		Name: "platform-fault", Usage: "platform-fault [flags]", ShortHelp: "replace the faults of a platform stand-in; none without flags", Flags: set,
		Exec: func(ctx context.Context, _ []string) error {
			faults := &platformv1.Faults{Down: *down, Slow: durationpb.New(*slow), ListLate: durationpb.New(*listLate)}
			_, err := platformv1connect.NewFaultServiceClient(http.DefaultClient, "http://"+*address).
				SetFaults(ctx, connect.NewRequest(&platformv1.SetFaultsRequest{Faults: faults}))
			return trace.Wrap(err)
		},
	}
}

// endpointFaultCommand sets the fault of an endpoint stand-in that runs as another process.
func endpointFaultCommand() *ff.Command {
	set := ff.NewFlagSet("endpoint-fault")
	address := set.StringLong("address", "127.0.0.1:7500", "Address of the endpoint stand-in, as ip:port.")
	fault := set.StringLong("fault", "", "Fault such as fail-fast, busy, slow or close-after; none when empty.")
	delay := set.DurationLong("delay", 0, "How long faults that delay do so.")
	return &ff.Command{
		Name: "endpoint-fault", Usage: "endpoint-fault [flags]", ShortHelp: "replace the fault of an endpoint stand-in; none without flags", Flags: set,
		Exec: func(ctx context.Context, _ []string) error {
			_, err := endpointv1connect.NewObservationServiceClient(http.DefaultClient, "http://"+*address).
				SetFault(ctx, connect.NewRequest(&endpointv1.SetFaultRequest{Fault: *fault, Delay: durationpb.New(*delay)}))
			return trace.Wrap(err)
		},
	}
}
