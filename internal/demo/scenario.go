package demo

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	configv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/config/v1"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	pool      = "rota"
	service   = "rota"
	drainedVM = "vm-zone-a-0"
)

// Request types of the service.
const (
	typeWeekPlan = "week-plan"
	typeSwap     = "swap"
	typeExport   = "export"
)

func scenario() []step {
	return []step{
		{"entries in two availability zones become ready", waitReady},
		{"an operator applies pool, budget, service and account", applyConfiguration},
		{"the configuration is in force in every entry", waitInForce},
		{"the operator adopts six VMs into the pool", adoptVMs},
		{"callers get complete answers from both entries", submitRequests},
		{"a shift swap runs once, however often it is sent", submitWithTicket},
		{"a VM is drained under the budget", drainVM},
		{"a drain beyond the budget is refused", drainBeyondBudget},
		{"requests continue without the drained VM", submitRequests},
		{"the drained VM returns to service", returnVM},
		{"a maintenance wave reboots the VMs of a zone, one by one", runWave},
		{"the store is down: requests and tickets still work", disablePlatform},
		{"the store is back: nothing was changed, changes work again", enablePlatform},
		{"an entry stops gracefully: requests in flight are answered", stopEntry},
		{"a ticket of the stopped entry does not run again", redeemStoppedTickets},
		{"a job of two steps is submitted twice and runs once", runJob},
		{"the audit trail has each change and no refused one", checkAudit},
		{"the status says that all guarantees hold", checkStatus},
	}
}

func waitReady(ctx context.Context, d *deployment) (string, error) {
	err := eventually(ctx, func() (bool, error) {
		for _, e := range d.entries {
			response, err := http.Get("http://" + string(e.health) + "/readyz")
			if err != nil {
				return false, nil //nolint:nilerr // the entry is not up yet
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return false, nil
			}
		}
		return true, nil
	})
	return fmt.Sprintf("%d entries", len(d.entries)), err
}

func applyConfiguration(ctx context.Context, d *deployment) (string, error) {
	hash := sha256.Sum256([]byte(secret))
	response, err := d.entries[0].operator.ApplyConfiguration(ctx, connect.NewRequest(&operatorv1.ApplyConfigurationRequest{
		Changes: []*configv1.Change{
			{Item: &configv1.Change_PutPool{PutPool: &configv1.Pool{Id: pool, Budget: &configv1.Budget{MaxUnavailableVms: 1}}}},
			{Item: &configv1.Change_PutService{PutService: &configv1.Service{Id: service, Pool: pool, RequestTypes: []*configv1.RequestType{
				{Name: typeWeekPlan, Class: "normal", Repeatable: true},
				{Name: typeSwap, Class: "normal"},
				{Name: typeExport, Class: "long", Repeatable: true},
			}}}},
			{Item: &configv1.Change_PutAccount{PutAccount: &configv1.ClientAccount{Id: account, CredentialHash: hash[:]}}},
		},
	}))
	if err != nil {
		return "", trace.Wrap(err)
	}
	return fmt.Sprintf("revision %d", response.Msg.GetRevision()), nil
}

func waitInForce(ctx context.Context, d *deployment) (string, error) {
	return "everywhere", waitRevision(ctx, d, 1)
}

// waitRevision waits until the revision is in force in every entry.
func waitRevision(ctx context.Context, d *deployment, revision uint64) error {
	return eventually(ctx, func() (bool, error) {
		for _, e := range d.entries {
			response, err := e.operator.GetConfiguration(ctx, connect.NewRequest(&operatorv1.GetConfigurationRequest{}))
			if err != nil {
				return false, trace.Wrap(err)
			}
			if response.Msg.GetConfiguration().GetRevision() < revision {
				return false, nil
			}
		}
		return true, nil
	})
}

func changeVM(ctx context.Context, e *entry, vm fleet.VMID, action string) (*operatorv1.ChangeVMResponse, error) {
	response, err := e.operator.ChangeVM(ctx, connect.NewRequest(&operatorv1.ChangeVMRequest{
		Vm: string(vm), Action: action, Pool: pool, Operation: &operatorv1.Operation{Reason: "demo"},
	}))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return response.Msg, nil
}

func adoptVMs(ctx context.Context, d *deployment) (string, error) {
	// The list of VMs lags, so a VM may not be listed yet.
	for id := range d.endpoints {
		err := eventually(ctx, func() (bool, error) {
			_, err := changeVM(ctx, d.entries[0], id, "adopt")
			if connect.CodeOf(trace.Unwrap(err)) == connect.CodeNotFound {
				return false, nil
			}
			return err == nil, err
		})
		if err != nil {
			return "", trace.Wrap(err)
		}
	}
	return fmt.Sprintf("%d VMs", len(d.endpoints)), waitServing(ctx, d, len(d.endpoints))
}

// waitServing waits until every entry knows the wanted number of serving VMs.
func waitServing(ctx context.Context, d *deployment, want int) error {
	return eventually(ctx, func() (bool, error) {
		for _, e := range d.entries {
			response, err := e.operator.ListVMs(ctx, connect.NewRequest(&operatorv1.ListVMsRequest{}))
			if err != nil {
				return false, trace.Wrap(err)
			}
			serving := 0
			for _, vm := range response.Msg.GetVms() {
				if vm.GetState() == string(fleet.VMStateServing) {
					serving++
				}
			}
			if serving != want {
				return false, nil
			}
		}
		return true, nil
	})
}

func submit(ctx context.Context, e *entry, requestType string, body []byte, ticket []byte) error {
	response, err := e.caller.Submit(ctx, connect.NewRequest(&callerv1.SubmitRequest{
		Service: service, RequestType: requestType, Body: body, Ticket: ticket,
	}))
	if err != nil {
		return trace.Wrap(err)
	}
	if got := response.Msg.GetAnswer().GetBody(); string(got) != string(body) {
		return trace.Wrap(&MismatchError{Want: string(body), Got: response.Msg.String()})
	}
	return nil
}

const requestsPerEntry = 10

func submitRequests(ctx context.Context, d *deployment) (string, error) {
	for _, e := range d.entries {
		for i := range requestsPerEntry {
			if err := submit(ctx, e, typeWeekPlan, fmt.Appendf(nil, "plan %d", i), nil); err != nil {
				return "", trace.Wrap(err)
			}
		}
	}
	return fmt.Sprintf("%d answers", requestsPerEntry*len(d.entries)), nil
}

func submitWithTicket(ctx context.Context, d *deployment) (string, error) {
	e := d.entries[0]
	tickets, err := issueTickets(ctx, e, 1)
	if err != nil {
		return "", trace.Wrap(err)
	}
	err = d.expectRuns(ctx, 1, func() error {
		for range 3 {
			if err := submit(ctx, e, typeSwap, []byte("swap"), tickets[0]); err != nil {
				return trace.Wrap(err)
			}
		}
		return nil
	})
	return "3 sent, 1 run", trace.Wrap(err)
}

// runs returns how many requests all endpoints have started.
func (d *deployment) runs(ctx context.Context) (int, error) {
	total := 0
	for _, e := range d.endpoints {
		o, err := e.Observe(ctx)
		if err != nil {
			return 0, trace.Wrap(err)
		}
		for _, n := range o.Runs {
			total += n
		}
	}
	return total, nil
}

func drainVM(ctx context.Context, d *deployment) (string, error) {
	if _, err := changeVM(ctx, d.entries[0], drainedVM, "drain"); err != nil {
		return "", trace.Wrap(err)
	}
	err := eventually(ctx, func() (bool, error) {
		response, err := d.entries[1].operator.ListVMs(ctx, connect.NewRequest(&operatorv1.ListVMsRequest{}))
		if err != nil {
			return false, trace.Wrap(err)
		}
		for _, vm := range response.Msg.GetVms() {
			if vm.GetId() == drainedVM {
				return vm.GetState() == string(fleet.VMStateDrained), nil
			}
		}
		return false, nil
	})
	return drainedVM + " is drained", err
}

func drainBeyondBudget(ctx context.Context, d *deployment) (string, error) {
	_, err := changeVM(ctx, d.entries[1], "vm-zone-b-0", "drain")
	if connect.CodeOf(trace.Unwrap(err)) != connect.CodeFailedPrecondition {
		return "", trace.Wrap(&MismatchError{Want: "a refusal", Got: fmt.Sprint(err)})
	}
	return trace.Unwrap(err).Error(), nil
}
