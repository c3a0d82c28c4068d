package wire

import (
	fleetv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/fleet/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Wave converts the row of a wave to its message.
func Wave(w fleet.Wave) *fleetv1.WaveRow {
	m := &fleetv1.WaveRow{
		Id:                 string(w.ID),
		Spec:               WaveSpec(w.Spec),
		State:              string(w.State),
		Reason:             w.Reason,
		Width:              uint32(w.Width),
		CreatedAt:          Time(w.CreatedAt),
		ChangedAt:          Time(w.ChangedAt),
		OperationId:        string(w.OperationID),
		Failures:           uint32(w.Failures),
		UnexpectedFailures: uint32(w.UnexpectedFailures),
		Healthy:            uint32(w.Healthy),
		CalmSince:          Time(w.LowLoadSince),
		JudgedFrom:         Time(w.FailuresSince),
		Late:               w.Late,
	}
	for _, v := range w.VMs {
		m.Vms = append(m.Vms, &fleetv1.WaveVM{
			Vm:              string(v.VM),
			Pool:            string(v.Pool),
			Zone:            string(v.Zone),
			Rack:            string(v.Rack),
			State:           string(v.State),
			ChangedAt:       Time(v.ChangedAt),
			PreviousVersion: string(v.PreviousVersion),
			StartedAt:       Time(v.StartedAt),
		})
	}
	return m
}

// FromWave converts the row of a wave from its message.
func FromWave(m *fleetv1.WaveRow) fleet.Wave {
	w := fleet.Wave{
		ID:                 fleet.WaveID(m.GetId()),
		Spec:               FromWaveSpec(m.GetSpec()),
		State:              fleet.WaveState(m.GetState()),
		Reason:             m.GetReason(),
		Width:              fleet.VMCount(m.GetWidth()),
		CreatedAt:          FromTime(m.GetCreatedAt()),
		ChangedAt:          FromTime(m.GetChangedAt()),
		OperationID:        fleet.OperationID(m.GetOperationId()),
		Failures:           fleet.VMCount(m.GetFailures()),
		UnexpectedFailures: fleet.VMCount(m.GetUnexpectedFailures()),
		Healthy:            fleet.VMCount(m.GetHealthy()),
		LowLoadSince:       FromTime(m.GetCalmSince()),
		FailuresSince:      FromTime(m.GetJudgedFrom()),
		Late:               m.GetLate(),
	}
	for _, v := range m.GetVms() {
		w.VMs = append(w.VMs, fleet.WaveVM{
			VM:              fleet.VMID(v.GetVm()),
			Pool:            fleet.PoolID(v.GetPool()),
			Zone:            fleet.ZoneID(v.GetZone()),
			Rack:            fleet.RackID(v.GetRack()),
			State:           fleet.WaveVMState(v.GetState()),
			ChangedAt:       FromTime(v.GetChangedAt()),
			PreviousVersion: fleet.Version(v.GetPreviousVersion()),
			StartedAt:       FromTime(v.GetStartedAt()),
		})
	}
	return w
}

// EncodeWave returns the bytes of the row of a wave.
func EncodeWave(w fleet.Wave) []byte { return encode(Wave(w)) }

// DecodeWave returns the row of a wave, or *DecodeError.
func DecodeWave(data []byte) (fleet.Wave, error) {
	var m fleetv1.WaveRow
	err := decode(data, &m)
	return FromWave(&m), err
}

// WaveSpec converts the specification of a wave to its message.
func WaveSpec(s fleet.WaveSpec) *fleetv1.WaveSpec {
	return &fleetv1.WaveSpec{
		Pools: Strings(s.Pools),
		Filter: &fleetv1.WaveFilter{
			Zones:            Strings(s.Filter.Zones),
			Racks:            Strings(s.Filter.Racks),
			MaintainedBefore: Time(s.Filter.MaintainedBefore),
			VersionNot:       string(s.Filter.VersionNot),
		},
		Action:   string(s.Action),
		Version:  string(s.Version),
		Deadline: Time(s.Deadline),
		Limits: &fleetv1.WaveLimits{
			CanaryVms:      uint32(s.Limits.CanaryVMs),
			MaxParallelVms: uint32(s.Limits.MaxParallelVMs),
			MaxFailures:    uint32(s.Limits.MaxFailures),
			Soak:           Duration(s.Limits.Soak),
			StepTimeout:    Duration(s.Limits.StepTimeout),
			MaxVmsPerPool:  uint32(s.Limits.MaxVMsPerPool),
		},
	}
}

// FromWaveSpec converts the specification of a wave from its message.
func FromWaveSpec(m *fleetv1.WaveSpec) fleet.WaveSpec {
	f, l := m.GetFilter(), m.GetLimits()
	return fleet.WaveSpec{
		Pools: FromStrings[fleet.PoolID](m.GetPools()),
		Filter: fleet.WaveFilter{
			Zones:            FromStrings[fleet.ZoneID](f.GetZones()),
			Racks:            FromStrings[fleet.RackID](f.GetRacks()),
			MaintainedBefore: FromTime(f.GetMaintainedBefore()),
			VersionNot:       fleet.Version(f.GetVersionNot()),
		},
		Action:   fleet.WaveAction(m.GetAction()),
		Version:  fleet.Version(m.GetVersion()),
		Deadline: FromTime(m.GetDeadline()),
		Limits: fleet.WaveLimits{
			CanaryVMs:      fleet.VMCount(l.GetCanaryVms()),
			MaxParallelVMs: fleet.VMCount(l.GetMaxParallelVms()),
			MaxFailures:    fleet.VMCount(l.GetMaxFailures()),
			Soak:           FromDuration(l.GetSoak()),
			StepTimeout:    FromDuration(l.GetStepTimeout()),
			MaxVMsPerPool:  fleet.VMCount(l.GetMaxVmsPerPool()),
		},
	}
}
