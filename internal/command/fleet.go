package command

import (
	"context"
	"crypto/sha256"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	configv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/config/v1"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
	"github.com/mimosawharf/mimosawharf/pkg/client"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

func (c *cli) poolCommand(parent *ff.FlagSet) *ff.Command {
	set := ff.NewFlagSet("put").SetParent(parent)
	minAvailable := set.UintLong("min-available-vms", 0, "VMs that must stay available.")
	maxUnavailable := set.UintLong("max-unavailable-vms", 0, "VMs that may be unavailable at the same time.")
	spare := set.BoolLong("spare", "Lend VMs of the pool to other pools.")
	put := &ff.Command{
		Name: "put", Usage: "pool put <pool> [flags]", ShortHelp: "create or change a pool", Flags: set,
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return trace.Wrap(&UsageError{Problem: "pool put: want one pool id"})
			}
			return c.apply(ctx, &configv1.Change{Item: &configv1.Change_PutPool{PutPool: &configv1.Pool{
				Id: arguments[0], Spare: *spare,
				Budget: &configv1.Budget{MinAvailableVms: uint32(*minAvailable), MaxUnavailableVms: uint32(*maxUnavailable)},
			}}})
		},
	}
	return &ff.Command{Name: "pool", Usage: "pool put", ShortHelp: "manage pools", Subcommands: []*ff.Command{put}}
}

func (c *cli) serviceCommand(parent *ff.FlagSet) *ff.Command {
	set := ff.NewFlagSet("put").SetParent(parent)
	pool := set.StringLong("pool", "", "Pool on whose endpoints the service runs.")
	types := set.StringListLong("request-type", "Request type as name:class[:once][:checkpointable]; may be repeated.")
	put := &ff.Command{
		Name: "put", Usage: "service put <service> [flags]", ShortHelp: "create or change a service", Flags: set,
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return trace.Wrap(&UsageError{Problem: "service put: want one service id"})
			}
			service := &configv1.Service{Id: arguments[0], Pool: *pool}
			for _, text := range *types {
				service.RequestTypes = append(service.RequestTypes, parseRequestType(text))
			}
			return c.apply(ctx, &configv1.Change{Item: &configv1.Change_PutService{PutService: service}})
		},
	}
	return &ff.Command{Name: "service", Usage: "service put", ShortHelp: "manage services", Subcommands: []*ff.Command{put}}
}

func parseRequestType(text string) *configv1.RequestType {
	parts := strings.Split(text, ":")
	t := &configv1.RequestType{Name: parts[0], Class: string(fleet.ClassNormal), Repeatable: true}
	for _, p := range parts[1:] {
		switch p {
		case "once":
			t.Repeatable = false
		case "checkpointable":
			t.Checkpointable = true
		default:
			t.Class = p
		}
	}
	return t
}

func (c *cli) accountCommand(parent *ff.FlagSet) *ff.Command {
	set := ff.NewFlagSet("put").SetParent(parent)
	secret := set.StringLong("secret", "", "Secret of the account; only its hash is stored.")
	weight := set.UintLong("weight", 1, "Share relative to other accounts.")
	grants := set.StringListLong("grant", "Priority grant as service:request-type:class; may be repeated.")
	put := &ff.Command{
		Name: "put", Usage: "account put <account> [flags]", ShortHelp: "create or change a client account", Flags: set,
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return trace.Wrap(&UsageError{Problem: "account put: want one account id"})
			}
			hash := sha256.Sum256([]byte(*secret))
			account := &configv1.ClientAccount{Id: arguments[0], CredentialHash: hash[:], Weight: uint32(*weight)}
			for _, text := range *grants {
				parts := strings.Split(text, ":")
				if len(parts) != 3 {
					return trace.Wrap(&UsageError{Problem: fmt.Sprintf("--grant %q: want service:request-type:class", text)})
				}
				account.PriorityGrants = append(account.PriorityGrants, &configv1.PriorityGrant{
					Service: parts[0], RequestType: parts[1], Class: parts[2],
				})
			}
			return c.apply(ctx, &configv1.Change{Item: &configv1.Change_PutAccount{PutAccount: account}})
		},
	}
	return &ff.Command{Name: "account", Usage: "account put", ShortHelp: "manage client accounts", Subcommands: []*ff.Command{put}}
}

// apply commits one change of the configuration.
func (c *cli) apply(ctx context.Context, change *configv1.Change) error {
	response, err := c.operator().ApplyConfiguration(ctx, connect.NewRequest(&operatorv1.ApplyConfigurationRequest{
		Changes: []*configv1.Change{change},
	}))
	if err != nil {
		return trace.Wrap(err)
	}
	return c.print(response.Msg, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintf(w, "configuration revision %d accepted\n", response.Msg.GetRevision())
	})
}

func (c *cli) vmCommand(parent *ff.FlagSet) *ff.Command {
	list := &ff.Command{
		Name: "list", Usage: "vm list", ShortHelp: "list VMs", Flags: ff.NewFlagSet("list").SetParent(parent),
		Exec: func(ctx context.Context, _ []string) error {
			response, err := c.operator().ListVMs(ctx, connect.NewRequest(&operatorv1.ListVMsRequest{}))
			if err != nil {
				return trace.Wrap(err)
			}
			return c.print(response.Msg, func(w *tabwriter.Writer) {
				_, _ = fmt.Fprintln(w, "VM\tZONE\tRACK\tPOOL\tSTATE\tPURPOSE")
				for _, vm := range response.Msg.GetVms() {
					_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", vm.GetId(), vm.GetZone(), vm.GetRack(), vm.GetPool(), vm.GetState(), vm.GetPurpose())
				}
			})
		},
	}
	commands := []*ff.Command{list}
	for _, action := range []string{"adopt", "drain", "move", "reboot", "replace", "cancel", "return", "remove"} {
		commands = append(commands, c.vmAction(parent, action))
	}
	return &ff.Command{Name: "vm", Usage: "vm <command>", ShortHelp: "manage VMs", Subcommands: commands}
}

func (c *cli) vmAction(parent *ff.FlagSet, action string) *ff.Command {
	set := ff.NewFlagSet(action).SetParent(parent)
	pool := set.StringLong("pool", "", "Pool that adopts the VM or that it moves to.")
	reason := set.StringLong("reason", "", "Reason for the audit trail.")
	return &ff.Command{
		Name: action, Usage: "vm " + action + " <vm>... [flags]", ShortHelp: action + " VMs", Flags: set,
		Exec: func(ctx context.Context, vms []string) error {
			if len(vms) == 0 {
				return trace.Wrap(&UsageError{Problem: "vm " + action + ": want at least one VM id"})
			}
			for _, vm := range vms {
				response, err := c.operator().ChangeVM(ctx, connect.NewRequest(&operatorv1.ChangeVMRequest{
					Operation: &operatorv1.Operation{Reason: *reason}, Vm: vm, Action: action, Pool: *pool,
				}))
				if err != nil {
					return trace.Wrap(err)
				}
				row := response.Msg.GetVm()
				if err := c.print(response.Msg, func(w *tabwriter.Writer) {
					_, _ = fmt.Fprintf(w, "VM %s: pool %s, %s\n", row.GetId(), row.GetPool(), row.GetState())
				}); err != nil {
					return trace.Wrap(err)
				}
			}
			return nil
		},
	}
}

func (c *cli) submitCommand(parent *ff.FlagSet) *ff.Command {
	set := ff.NewFlagSet("submit").SetParent(parent)
	account := set.StringLong("account", "", "Client account.")
	secret := set.StringLong("secret", "", "Secret of the account.")
	service := set.StringLong("service", "", "Service.")
	requestType := set.StringLong("type", "", "Request type.")
	body := set.StringLong("body", "", "Body of the request.")
	timeout := set.DurationLong("timeout", 30*time.Second, "How long to wait for the outcome.")
	once := set.BoolLong("once", "Get a ticket first, for a request that must not be repeated.")
	return &ff.Command{
		Name: "submit", Usage: "submit [flags]", ShortHelp: "submit a request as a client account", Flags: set,
		Exec: func(ctx context.Context, _ []string) error {
			caller := client.NewCaller(c.caller, client.CallerOptions{Account: fleet.ClientAccountID(*account), Secret: *secret})
			request := &callerv1.SubmitRequest{
				Service: *service, RequestType: *requestType, Body: []byte(*body), Timeout: durationpb.New(*timeout),
			}
			if *once {
				tickets, err := caller.IssueTickets(ctx, connect.NewRequest(&callerv1.IssueTicketsRequest{Count: 1}))
				if err != nil {
					return trace.Wrap(err)
				}
				request.Ticket = tickets.Msg.GetTickets()[0]
			}
			response, err := caller.Submit(ctx, connect.NewRequest(request))
			if err != nil {
				return trace.Wrap(err)
			}
			return c.print(response.Msg, func(w *tabwriter.Writer) { printOutcome(w, response.Msg) })
		},
	}
}

func printOutcome(w *tabwriter.Writer, m *callerv1.SubmitResponse) {
	switch v := m.GetOutcome().(type) {
	case *callerv1.SubmitResponse_Answer:
		_, _ = fmt.Fprintf(w, "answer (%s): %s\n", v.Answer.GetStatus(), v.Answer.GetBody())
	case *callerv1.SubmitResponse_NotRun:
		_, _ = fmt.Fprintf(w, "not run: %s\n", v.NotRun.GetReason())
	case *callerv1.SubmitResponse_Unknown:
		_, _ = fmt.Fprintf(w, "unknown: %s\n", v.Unknown.GetReason())
	}
}

// print writes a message as JSON, or as the table that the function writes.
func (c *cli) print(m proto.Message, table func(*tabwriter.Writer)) error {
	if Format(c.format) == FormatJSON {
		data, err := protojson.MarshalOptions{Multiline: true}.Marshal(m)
		if err != nil {
			return trace.Wrap(err)
		}
		_, err = fmt.Fprintln(c.output, string(data))
		return trace.Wrap(err)
	}
	w := tabwriter.NewWriter(c.output, 0, 8, 2, ' ', 0)
	table(w)
	return trace.Wrap(w.Flush())
}
