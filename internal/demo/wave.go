package demo

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/fleet/v1"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	waveID   = "autumn"
	waveZone = "zone-b"
	waveSoak = 100 * time.Millisecond
)

func returnVM(ctx context.Context, d *deployment) (string, error) {
	if _, err := changeVM(ctx, d.entries[1], drainedVM, "return"); err != nil {
		return "", trace.Wrap(err)
	}
	return drainedVM + " serves", waitServing(ctx, d, len(d.endpoints))
}

// runWave reboots all VMs of a zone while requests continue, and checks that the budget holds throughout.
func runWave(ctx context.Context, d *deployment) (string, error) {
	operator := d.entries[0].operator
	_, err := operator.CreateWave(ctx, connect.NewRequest(&operatorv1.CreateWaveRequest{
		Id: waveID, Operation: &operatorv1.Operation{Reason: "demo"},
		Spec: &fleetv1.WaveSpec{
			Pools: []string{pool}, Action: string(fleet.WaveActionReboot), Filter: &fleetv1.WaveFilter{Zones: []string{waveZone}},
			Limits: &fleetv1.WaveLimits{Soak: durationpb.New(waveSoak)},
		},
	}))
	if err != nil {
		return "", trace.Wrap(err)
	}
	if _, err := operator.ControlWave(ctx, connect.NewRequest(&operatorv1.ControlWaveRequest{
		Id: waveID, Action: string(fleet.WaveCommandStart), Operation: &operatorv1.Operation{Reason: "demo"},
	})); err != nil {
		return "", trace.Wrap(err)
	}
	answers := 0
	err = eventually(ctx, func() (bool, error) {
		if _, err := submitRequests(ctx, d); err != nil {
			return false, trace.Wrap(err)
		}
		answers += requestsPerEntry * len(d.entries)
		return waveEnded(ctx, d.entries[0])
	})
	if err != nil {
		return "", trace.Wrap(err)
	}
	return fmt.Sprintf("%d VMs rebooted, %d answers meanwhile", endpointsPerZone, answers), waitServing(ctx, d, len(d.endpoints))
}

// waveEnded reports whether the wave is finished. It returns *MismatchError when a VM of the wave failed or
// was skipped, when the wave is neither planned, running nor finished, or when the budget does not hold.
func waveEnded(ctx context.Context, e *entry) (bool, error) {
	status, err := e.operator.GetStatus(ctx, connect.NewRequest(&operatorv1.GetStatusRequest{}))
	if err != nil {
		return false, trace.Wrap(err)
	}
	for _, p := range status.Msg.GetPools() {
		if !p.GetBudgetHolds() {
			return false, trace.Wrap(&MismatchError{Want: "a budget that holds", Got: p.String()})
		}
	}
	list, err := e.operator.ListWaves(ctx, connect.NewRequest(&operatorv1.ListWavesRequest{Id: waveID}))
	if err != nil || len(list.Msg.GetWaves()) == 0 {
		return false, trace.Wrap(err)
	}
	w := list.Msg.GetWaves()[0]
	for _, vm := range w.GetVms() {
		if vm.GetState() == string(fleet.WaveVMStateFailed) || vm.GetState() == string(fleet.WaveVMStateSkipped) {
			return false, trace.Wrap(&MismatchError{Want: "healthy VMs", Got: w.String()})
		}
	}
	switch fleet.WaveState(w.GetState()) {
	case fleet.WaveStateFinished:
		return true, nil
	case fleet.WaveStatePlanned, fleet.WaveStateRunning:
		return false, nil
	default:
		return false, trace.Wrap(&MismatchError{Want: "a running wave", Got: w.String()})
	}
}
