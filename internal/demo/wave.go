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
	wave     = "autumn"
	waveZone = "zone-b"
	waveSoak = 100 * time.Millisecond
)

func returnVM(ctx context.Context, f *site) (string, error) {
	if _, err := changeVM(ctx, f.entries[1], drained, "return"); err != nil {
		return "", trace.Wrap(err)
	}
	return drained + " serves", waitServing(ctx, f, len(f.endpoints))
}

// runWave reboots all VMs of a zone while callers go on, and checks that the budget held throughout.
func runWave(ctx context.Context, f *site) (string, error) {
	operator := f.entries[0].operator
	_, err := operator.CreateWave(ctx, connect.NewRequest(&operatorv1.CreateWaveRequest{
		Id: wave, Operation: &operatorv1.Operation{Reason: "demo"},
		Spec: &fleetv1.WaveSpec{
			Pools: []string{pool}, Action: string(fleet.WaveActionReboot), Filter: &fleetv1.WaveFilter{Zones: []string{waveZone}},
			Limits: &fleetv1.WaveLimits{Soak: durationpb.New(waveSoak)},
		},
	}))
	if err != nil {
		return "", trace.Wrap(err)
	}
	if _, err := operator.ControlWave(ctx, connect.NewRequest(&operatorv1.ControlWaveRequest{
		Id: wave, Action: string(fleet.WaveCommandStart), Operation: &operatorv1.Operation{Reason: "demo"},
	})); err != nil {
		return "", trace.Wrap(err)
	}
	answers := 0
	err = eventually(ctx, func() (bool, error) {
		if _, err := submitRequests(ctx, f); err != nil {
			return false, trace.Wrap(err)
		}
		answers += requestsPerEntry * len(f.entries)
		return waveEnded(ctx, f.entries[0])
	})
	if err != nil {
		return "", trace.Wrap(err)
	}
	return fmt.Sprintf("%d VMs rebooted, %d answers meanwhile", endpointsPerZone, answers), waitServing(ctx, f, len(f.endpoints))
}

// waveEnded reports whether the wave is finished. It fails when a VM of the wave failed, when the wave
// ended otherwise, or when the budget does not hold.
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
	list, err := e.operator.ListWaves(ctx, connect.NewRequest(&operatorv1.ListWavesRequest{Id: wave}))
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
