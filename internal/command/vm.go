package command

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"

	fleetv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/fleet/v1"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1/operatorv1connect"
)

func (c *cli) vmCommands(parent *ff.FlagSet) *ff.Command {
	leaves := []leaf{c.vmList(parent), c.vmShow(parent)}
	for _, a := range []struct{ action, help, flags string }{
		{"adopt", "take listed VMs into a pool", " --pool rota"},
		{"drain", "drain VMs and hold them", " --reason 'disk check'"},
		{"move", "move VMs to another pool", " --pool reporting"},
		{"reboot", "drain VMs and reboot them", " --reason 'kernel update'"},
		{"replace", "drain VMs and replace them by new ones", " --reason 'bad disk'"},
		{"roll-out", "drain VMs, install a version and reboot them", " --version 2.4"},
		{"cancel", "end drains or moves in progress", ""},
		{"return", "put drained VMs back into service", ""},
		{"remove", "drain VMs and take them out of the fleet", " --reason retired"},
	} {
		leaves = append(leaves, c.vmAction(parent, a.action, a.help, "vm "+a.action+" vm-1 vm-2"+a.flags))
	}
	return group(parent, "vm", "manage VMs", "vm list --pool rota", leaves...)
}

func (c *cli) vmList(parent *ff.FlagSet) leaf {
	set := ff.NewFlagSet("list").SetParent(parent)
	pool := set.StringLong("pool", "", "Show only VMs of this pool.")
	zone := set.StringLong("zone", "", "Show only VMs of this availability zone.")
	return leaf{
		path: "vm list", help: "list VMs", example: "vm list --pool rota --zone zone-a", flags: set,
		run: func(ctx context.Context, _ []string) error {
			m, err := c.vms(ctx, &operatorv1.ListVMsRequest{Pool: *pool, Zone: *zone})
			if err != nil {
				return trace.Wrap(err)
			}
			return c.print(m, func(w *tabwriter.Writer) {
				writeRows(w, []string{"VM", "ZONE", "RACK", "POOL", "STATE", "PURPOSE", "TARGET", "VERSION", "SINCE"}, m.GetVms(), func(vm *fleetv1.VMRow) []string {
					return []string{
						vm.GetId(), vm.GetZone(), vm.GetRack(), vm.GetPool(), vm.GetState(), vm.GetPurpose(), vm.GetTargetPool(),
						vm.GetVersion(), instantText(vm.GetSince()),
					}
				})
			})
		},
	}
}

func (c *cli) vms(ctx context.Context, m *operatorv1.ListVMsRequest) (*operatorv1.ListVMsResponse, error) {
	return call(ctx, c, operatorv1connect.OperatorServiceClient.ListVMs, m)
}

func (c *cli) vmShow(parent *ff.FlagSet) leaf {
	return leaf{
		path: "vm show", operands: "<vm>", minOperands: 1, maxOperands: 1, help: "show one VM", example: "vm show vm-1",
		flags: ff.NewFlagSet("show").SetParent(parent),
		run: func(ctx context.Context, operands []string) error {
			m, err := c.vms(ctx, &operatorv1.ListVMsRequest{})
			if err != nil {
				return trace.Wrap(err)
			}
			vm, ok := find(m.GetVms(), (*fleetv1.VMRow).GetId, operands[0])
			if !ok {
				return trace.Wrap(notFoundError("vm", operands[0]))
			}
			return c.print(vm, func(w *tabwriter.Writer) { writeVM(w, vm) })
		},
	}
}

func writeVM(w *tabwriter.Writer, vm *fleetv1.VMRow) {
	r := vm.GetResources()
	for _, cells := range [][]string{
		{"vm", vm.GetId()},
		{"zone", vm.GetZone()},
		{"rack", vm.GetRack()},
		{"address", vm.GetAddress()},
		{"pool", vm.GetPool()},
		{"home pool", vm.GetHomePool()},
		{"state", vm.GetState() + " since " + instantText(vm.GetSince())},
		{"purpose", vm.GetPurpose()},
		{"target pool", vm.GetTargetPool()},
		{"assignment epoch", fmt.Sprint(vm.GetAssignmentEpoch())},
		{"slots", countText(vm.GetSlots())},
		{"connections", countText(vm.GetConnections())},
		{"resources", fmt.Sprintf("%d cores, %d bytes, %d accelerators", r.GetCores(), r.GetMemoryBytes(), r.GetAccelerators())},
		{"version", vm.GetVersion()},
		{"target version", vm.GetTargetVersion()},
		{"last maintained", instantText(vm.GetLastMaintained())},
		{"wave", vm.GetWave()},
		{"grant", vm.GetGrantId()},
		{"operation", vm.GetOperationId()},
	} {
		writeRow(w, cells...)
	}
}

func (c *cli) vmAction(parent *ff.FlagSet, action, help, example string) leaf {
	set := ff.NewFlagSet(action).SetParent(parent)
	options, pool, version := changeFlags(set), new(string), new(string)
	needsPool := action == "adopt" || action == "move"
	if needsPool {
		set.StringVar(pool, 0, "pool", "", "Pool that adopts the VMs or that they move to.")
	}
	if action == "roll-out" {
		set.StringVar(version, 0, "version", "", "Version that the roll-out installs.")
	}
	return leaf{
		path: "vm " + action, operands: "<vm>...", minOperands: 1, maxOperands: -1, help: help, example: example, flags: set,
		run: func(ctx context.Context, vms []string) error {
			switch {
			case needsPool && *pool == "":
				return trace.Wrap(&UsageError{Problem: "vm " + action + ": want --pool: for example mimosawharf " + example})
			case action == "roll-out" && *version == "":
				return trace.Wrap(&UsageError{Problem: "vm roll-out: want --version: for example mimosawharf " + example})
			case *options.id != "" && len(vms) > 1:
				return trace.Wrap(&UsageError{Problem: "--operation-id: names one change: give one VM with it"})
			}
			return c.changeVMs(ctx, options, &operatorv1.ChangeVMRequest{Action: action, Pool: *pool, Version: *version}, vms)
		},
	}
}

// changeVMs changes the VMs in order and stops at the first that fails.
func (c *cli) changeVMs(ctx context.Context, options changeOptions, request *operatorv1.ChangeVMRequest, vms []string) error {
	changed := &operatorv1.ListVMsResponse{}
	var failed error
	for _, vm := range vms {
		operation := options.operation()
		request.Operation, request.Vm = operation, vm
		response, err := call(ctx, c, operatorv1connect.OperatorServiceClient.ChangeVM, request)
		if err != nil {
			failed = withOperation(operation, err)
			break
		}
		changed.Vms = append(changed.Vms, response.GetVm())
		*options.id = ""
	}
	var err error
	if len(changed.GetVms()) > 0 {
		err = c.print(changed, func(w *tabwriter.Writer) {
			for _, vm := range changed.GetVms() {
				_, _ = fmt.Fprintf(w, "VM %s: pool %s, %s\n", vm.GetId(), vm.GetPool(), vm.GetState())
			}
		})
	}
	if failed != nil {
		return trace.Wrap(failed)
	}
	return trace.Wrap(err)
}
