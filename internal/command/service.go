package command

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"
	"google.golang.org/protobuf/types/known/durationpb"

	configv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/config/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

func (c *cli) serviceCommands(parent *ff.FlagSet) *ff.Command {
	set := ff.NewFlagSet("put").SetParent(parent)
	options := c.configFlags(set)
	pool := set.StringLong("pool", "", "Pool on whose endpoints the service runs.")
	types := set.StringListLong("request-type", "Request type as name:class[:once][:checkpointable][:run=1s][:timeout=1m]; may be repeated.")
	put := leaf{
		path: "service put", operands: "<service>", minOperands: 1, maxOperands: 1, help: "create a service or replace its settings", flags: set,
		example: "service put --pool rota --request-type week-plan:normal --request-type swap:normal:once --request-type export:long:checkpointable:run=2m rota",
		run: func(ctx context.Context, operands []string) error {
			service := &configv1.Service{Id: operands[0], Pool: *pool}
			for _, text := range *types {
				t, err := parseRequestType(text)
				if err != nil {
					return trace.Wrap(err)
				}
				service.RequestTypes = append(service.RequestTypes, t)
			}
			return c.applyOne(ctx, options, &configv1.Change{Item: &configv1.Change_PutService{PutService: service}})
		},
	}
	return group(parent, "service", "manage services", "service list", append(itemCommands(c, parent, itemKind[*configv1.Service]{
		name: "service", items: (*configv1.Configuration).GetServices, id: (*configv1.Service).GetId, write: writeServices,
		wrap: func(list []*configv1.Service) *configv1.Configuration { return &configv1.Configuration{Services: list} },
		remove: func(id string) *configv1.Change {
			return &configv1.Change{Item: &configv1.Change_DeleteService{DeleteService: id}}
		},
	}), put)...)
}

func parseRequestType(text string) (*configv1.RequestType, error) {
	parts := strings.Split(text, ":")
	t := &configv1.RequestType{Name: parts[0], Class: string(fleet.ClassNormal), Repeatable: true}
	for _, part := range parts[1:] {
		name, value, _ := strings.Cut(part, "=")
		switch name {
		case "once":
			t.Repeatable = false
		case "checkpointable":
			t.Checkpointable = true
		case "run", "timeout":
			d, err := time.ParseDuration(value)
			if err != nil {
				return nil, trace.Wrap(&UsageError{Problem: fmt.Sprintf("--request-type %q: %s: want a duration such as %s=30s", text, part, name)})
			}
			if name == "run" {
				t.DeclaredRunTime = durationpb.New(d)
			} else {
				t.MaxTimeout = durationpb.New(d)
			}
		case string(fleet.ClassNormal), string(fleet.ClassLong), string(fleet.ClassUrgent):
			t.Class = part
		default:
			return nil, trace.Wrap(&UsageError{Problem: fmt.Sprintf("--request-type %q: %s: want normal, long, once, checkpointable, run=1s or timeout=1m", text, part)})
		}
	}
	return t, nil
}

func writeServices(w *tabwriter.Writer, services []*configv1.Service) {
	writeRow(w, "SERVICE", "POOL", "REQUEST-TYPE", "CLASS", "REPEATABLE", "CHECKPOINTABLE", "RUN-TIME", "MAX-TIMEOUT", "REVISION")
	for _, s := range services {
		for _, t := range s.GetRequestTypes() {
			writeRow(w, s.GetId(), s.GetPool(), t.GetName(), t.GetClass(), yesNo(t.GetRepeatable()), yesNo(t.GetCheckpointable()),
				durationText(t.GetDeclaredRunTime()), durationText(t.GetMaxTimeout()), fmt.Sprint(s.GetRevision()))
		}
	}
}

func durationText(d *durationpb.Duration) string {
	if d == nil {
		return ""
	}
	return d.AsDuration().String()
}
