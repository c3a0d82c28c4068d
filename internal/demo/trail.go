package demo

import (
	"context"
	"fmt"
	"slices"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// maxAuditRows is more rows than the scenario writes.
const maxAuditRows = 1000

// checkAudit compares the audit trail with the changes of the scenario.
func checkAudit(ctx context.Context, d *deployment) (string, error) {
	response, err := d.entries[0].operator.ListAudit(ctx, connect.NewRequest(&operatorv1.ListAuditRequest{Limit: maxAuditRows}))
	if err != nil {
		return "", trace.Wrap(err)
	}
	actions, drains := map[fleet.AuditAction]int{}, map[string]int{}
	for _, row := range response.Msg.GetRows() {
		actions[fleet.AuditAction(row.GetAction())]++
		if row.GetAction() == string(fleet.AuditActionVMDrain) {
			for _, s := range row.GetSubjects() {
				drains[s]++
			}
		}
	}
	// The refused drain of vm-zone-b-0 and the one during the outage left no rows: each disrupted VM has one.
	for id := range d.endpoints {
		want := 0
		if id == drainedVM || slices.Contains(d.rebooted(), id) {
			want = 1
		}
		if got := drains[string(fleet.SubjectVM(id))]; got != want {
			return "", trace.Wrap(&MismatchError{Want: fmt.Sprintf("%d drains of %s", want, id), Got: fmt.Sprint(got)})
		}
	}
	for action, want := range map[fleet.AuditAction]int{
		fleet.AuditActionConfigApply: 2,
		fleet.AuditActionVMAdopt:     len(d.endpoints),
		fleet.AuditActionWaveCreate:  1,
		fleet.AuditActionWaveControl: 1,
	} {
		if actions[action] != want {
			return "", trace.Wrap(&MismatchError{Want: fmt.Sprintf("%d rows of %s", want, action), Got: fmt.Sprint(actions[action])})
		}
	}
	return fmt.Sprintf("%d rows", len(response.Msg.GetRows())), nil
}

// rebooted returns the VMs of the wave.
func (d *deployment) rebooted() []fleet.VMID {
	var list []fleet.VMID
	for i := range endpointsPerZone {
		list = append(list, vmID(waveZone, i))
	}
	return list
}

func checkStatus(ctx context.Context, d *deployment) (string, error) {
	return "healthy", waitHealthy(ctx, d)
}
