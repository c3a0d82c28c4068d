package wire

import (
	"github.com/mimosawharf/mimosawharf/internal/configuration"
	configv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/config/v1"
	fleetv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/fleet/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// EncodeHead returns the bytes of the head row.
func EncodeHead(h configuration.Head) []byte {
	return encode(&configv1.HeadRow{
		Revision: uint64(h.Revision), OperationId: string(h.OperationID), ItemsDigest: uint64(h.Digest),
	})
}

// DecodeHead returns the head row, or *DecodeError.
func DecodeHead(data []byte) (configuration.Head, error) {
	var m configv1.HeadRow
	err := decode(data, &m)
	return configuration.Head{
		Revision:    fleet.ConfigRevision(m.GetRevision()),
		OperationID: fleet.OperationID(m.GetOperationId()),
		Digest:      fleet.Digest(m.GetItemsDigest()),
	}, err
}

// EncodeItem returns the bytes of a configuration item. An item without a value is a tombstone.
func EncodeItem(i configuration.Item) []byte {
	m := &configv1.ItemRow{Revision: uint64(i.Revision), OperationId: string(i.OperationID)}
	switch {
	case i.Pool != nil:
		m.Item = &configv1.ItemRow_Pool{Pool: Pool(*i.Pool)}
	case i.Service != nil:
		m.Item = &configv1.ItemRow_Service{Service: Service(*i.Service)}
	case i.Account != nil:
		m.Item = &configv1.ItemRow_Account{Account: Account(*i.Account)}
	default:
		m.Deleted = true
	}
	return encode(m)
}

// DecodeItem returns a configuration item, or *DecodeError.
func DecodeItem(data []byte) (configuration.Item, error) {
	var m configv1.ItemRow
	if err := decode(data, &m); err != nil {
		return configuration.Item{}, err
	}
	i := configuration.Item{Revision: fleet.ConfigRevision(m.GetRevision()), OperationID: fleet.OperationID(m.GetOperationId())}
	switch v := m.GetItem().(type) {
	case *configv1.ItemRow_Pool:
		p := FromPool(v.Pool)
		i.Pool = &p
	case *configv1.ItemRow_Service:
		s := FromService(v.Service)
		i.Service = &s
	case *configv1.ItemRow_Account:
		a := FromAccount(v.Account)
		i.Account = &a
	}
	return i, nil
}

// VM converts the row of a VM to its message.
func VM(v fleet.VM) *fleetv1.VMRow {
	return &fleetv1.VMRow{
		Id:              string(v.ID),
		Zone:            string(v.Zone),
		Rack:            string(v.Rack),
		Address:         string(v.Address),
		Slots:           uint32(v.Slots),
		Connections:     uint32(v.Connections),
		Resources:       Resources(v.Resources),
		Pool:            string(v.Pool),
		State:           string(v.State),
		TargetPool:      string(v.TargetPool),
		AssignmentEpoch: uint64(v.AssignmentEpoch),
		Version:         string(v.Version),
		LastMaintained:  Time(v.LastMaintained),
		OperationId:     string(v.OperationID),
		GrantId:         string(v.GrantID),
		Purpose:         string(v.Purpose),
		Since:           Time(v.Since),
		Wave:            string(v.Wave),
		TargetVersion:   string(v.TargetVersion),
		HomePool:        string(v.HomePool),
		History:         string(v.History),
		Generation:      uint64(v.Generation),
	}
}

// FromVM converts the row of a VM from its message.
func FromVM(m *fleetv1.VMRow) fleet.VM {
	return fleet.VM{
		ID:              fleet.VMID(m.GetId()),
		Zone:            fleet.ZoneID(m.GetZone()),
		Rack:            fleet.RackID(m.GetRack()),
		Address:         fleet.Address(m.GetAddress()),
		Slots:           fleet.Slots(m.GetSlots()),
		Connections:     fleet.Connections(m.GetConnections()),
		Resources:       FromResources(m.GetResources()),
		Pool:            fleet.PoolID(m.GetPool()),
		State:           fleet.VMState(m.GetState()),
		TargetPool:      fleet.PoolID(m.GetTargetPool()),
		HomePool:        fleet.PoolID(m.GetHomePool()),
		AssignmentEpoch: fleet.AssignmentEpoch(m.GetAssignmentEpoch()),
		Version:         fleet.Version(m.GetVersion()),
		TargetVersion:   fleet.Version(m.GetTargetVersion()),
		LastMaintained:  FromTime(m.GetLastMaintained()),
		OperationID:     fleet.OperationID(m.GetOperationId()),
		GrantID:         fleet.GrantID(m.GetGrantId()),
		Purpose:         fleet.VMPurpose(m.GetPurpose()),
		Since:           FromTime(m.GetSince()),
		Wave:            fleet.WaveID(m.GetWave()),
		History:         fleet.TableHistory(m.GetHistory()),
		Generation:      fleet.Generation(m.GetGeneration()),
	}
}

// EncodeVM returns the bytes of the row of a VM.
func EncodeVM(v fleet.VM) []byte { return encode(VM(v)) }

// DecodeVM returns the row of a VM, or *DecodeError.
func DecodeVM(data []byte) (fleet.VM, error) {
	var m fleetv1.VMRow
	err := decode(data, &m)
	return FromVM(&m), err
}

// Resources converts the resources of a VM to their message.
func Resources(r fleet.Resources) *fleetv1.Resources {
	return &fleetv1.Resources{Cores: uint32(r.Cores), MemoryBytes: uint64(r.Memory), Accelerators: uint32(r.Accelerators)}
}

// FromResources converts the resources of a VM from their message.
func FromResources(m *fleetv1.Resources) fleet.Resources {
	return fleet.Resources{
		Cores:        fleet.Cores(m.GetCores()),
		Memory:       fleet.Bytes(m.GetMemoryBytes()),
		Accelerators: fleet.Accelerators(m.GetAccelerators()),
	}
}

// EncodeLedger returns the bytes of a ledger.
func EncodeLedger(l fleet.Ledger) []byte {
	m := &fleetv1.LedgerRow{Pool: string(l.Pool), OperationId: string(l.OperationID)}
	for _, g := range l.Grants {
		m.Grants = append(m.Grants, &fleetv1.Grant{
			Id:          string(g.ID),
			Vm:          string(g.VM),
			Zone:        string(g.Zone),
			Slots:       uint32(g.Slots),
			HolderKind:  string(g.HolderKind),
			Holder:      g.Holder,
			OperationId: string(g.OperationID),
			GrantedAt:   Time(g.GrantedAt),
		})
	}
	return encode(m)
}

// DecodeLedger returns a ledger, or *DecodeError.
func DecodeLedger(data []byte) (fleet.Ledger, error) {
	var m fleetv1.LedgerRow
	if err := decode(data, &m); err != nil {
		return fleet.Ledger{}, err
	}
	l := fleet.Ledger{Pool: fleet.PoolID(m.GetPool()), OperationID: fleet.OperationID(m.GetOperationId())}
	for _, g := range m.GetGrants() {
		l.Grants = append(l.Grants, fleet.Grant{
			ID:          fleet.GrantID(g.GetId()),
			VM:          fleet.VMID(g.GetVm()),
			Zone:        fleet.ZoneID(g.GetZone()),
			Slots:       fleet.Slots(g.GetSlots()),
			HolderKind:  fleet.HolderKind(g.GetHolderKind()),
			Holder:      g.GetHolder(),
			OperationID: fleet.OperationID(g.GetOperationId()),
			GrantedAt:   FromTime(g.GetGrantedAt()),
		})
	}
	return l, nil
}

// EncodeLease returns the bytes of a lease.
func EncodeLease(l fleet.Lease) []byte {
	return encode(&fleetv1.LeaseRow{
		Duty:        string(l.Duty),
		Holder:      string(l.Holder),
		Incarnation: string(l.Incarnation),
		Epoch:       uint64(l.Epoch),
		RenewedAt:   Time(l.RenewedAt),
		Duration:    Duration(l.Duration),
	})
}

// DecodeLease returns a lease, or *DecodeError.
func DecodeLease(data []byte) (fleet.Lease, error) {
	var m fleetv1.LeaseRow
	err := decode(data, &m)
	return fleet.Lease{
		Duty:        fleet.DutyName(m.GetDuty()),
		Holder:      fleet.EntryID(m.GetHolder()),
		Incarnation: fleet.Incarnation(m.GetIncarnation()),
		Epoch:       fleet.LeaseEpoch(m.GetEpoch()),
		RenewedAt:   FromTime(m.GetRenewedAt()),
		Duration:    FromDuration(m.GetDuration()),
	}, err
}

// EncodeEntry returns the bytes of the row of an entry.
func EncodeEntry(e fleet.Entry) []byte {
	return encode(&fleetv1.EntryRow{
		Id:                   string(e.ID),
		Incarnation:          string(e.Incarnation),
		Zone:                 string(e.Zone),
		PeerAddress:          string(e.PeerAddress),
		Vm:                   string(e.VM),
		RenewedAt:            Time(e.RenewedAt),
		Duration:             Duration(e.Duration),
		ConfigRevision:       uint64(e.ConfigRevision),
		ConfigSince:          Time(e.ConfigSince),
		AcknowledgedRevision: uint64(e.AcknowledgedRevision),
		History:              string(e.History),
		DeadEndpoints:        Strings(e.DeadEndpoints),
	})
}

// DecodeEntry returns the row of an entry, or *DecodeError.
func DecodeEntry(data []byte) (fleet.Entry, error) {
	var m fleetv1.EntryRow
	err := decode(data, &m)
	return fleet.Entry{
		ID:                   fleet.EntryID(m.GetId()),
		Incarnation:          fleet.Incarnation(m.GetIncarnation()),
		Zone:                 fleet.ZoneID(m.GetZone()),
		PeerAddress:          fleet.Address(m.GetPeerAddress()),
		VM:                   fleet.VMID(m.GetVm()),
		RenewedAt:            FromTime(m.GetRenewedAt()),
		Duration:             FromDuration(m.GetDuration()),
		ConfigRevision:       fleet.ConfigRevision(m.GetConfigRevision()),
		ConfigSince:          FromTime(m.GetConfigSince()),
		AcknowledgedRevision: fleet.TableRevision(m.GetAcknowledgedRevision()),
		History:              fleet.TableHistory(m.GetHistory()),
		DeadEndpoints:        FromStrings[fleet.VMID](m.GetDeadEndpoints()),
	}, err
}

// Audit converts an audit row to its message.
func Audit(a fleet.Audit) *fleetv1.AuditRow {
	return &fleetv1.AuditRow{
		OperationId: string(a.OperationID),
		At:          Time(a.At),
		Actor:       a.Actor,
		Action:      string(a.Action),
		Subjects:    Strings(a.Subjects),
		From:        a.From,
		To:          a.To,
		Reason:      a.Reason,
		Outcome:     a.Outcome,
		Entry:       string(a.Entry),
	}
}

// EncodeAudit returns the bytes of an audit row.
func EncodeAudit(a fleet.Audit) []byte { return encode(Audit(a)) }

// DecodeAudit returns an audit row, or *DecodeError.
func DecodeAudit(data []byte) (fleet.Audit, error) {
	var m fleetv1.AuditRow
	err := decode(data, &m)
	return fleet.Audit{
		OperationID: fleet.OperationID(m.GetOperationId()),
		At:          FromTime(m.GetAt()),
		Actor:       m.GetActor(),
		Action:      fleet.AuditAction(m.GetAction()),
		Subjects:    FromStrings[fleet.AuditSubject](m.GetSubjects()),
		From:        m.GetFrom(),
		To:          m.GetTo(),
		Reason:      m.GetReason(),
		Outcome:     m.GetOutcome(),
		Entry:       fleet.EntryID(m.GetEntry()),
	}, err
}
