package control

import (
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// PeerRows are configuration and VM rows that entries pass to each other. They are complete from
// After, exclusive, to Revision.
type PeerRows struct {
	Rows     []platform.Row
	After    fleet.TableRevision
	Revision fleet.TableRevision
	History  platform.History
}

// RowReceiver takes rows for the other entries.
type RowReceiver interface {
	PushRows(PeerRows)
}

// passOn gives the configuration and VM rows of a poll to the other entries. A first read is left out;
// who needs all rows asks for them.
func (p *Poller) passOn(after fleet.TableRevision, c platform.Changes) {
	if p.Peers == nil || after == 0 {
		return
	}
	out := PeerRows{After: after, Revision: c.Revision, History: c.History}
	for _, row := range c.Rows {
		if wire.HasPrefix(row.Key, wire.PrefixConfig) || wire.HasPrefix(row.Key, wire.PrefixVM) {
			out.Rows = append(out.Rows, row)
		}
	}
	if len(out.Rows) > 0 {
		p.Peers.PushRows(out)
	}
}

// takePeerRows takes rows of a peer that are newer than the known ones. The revision of the view stays,
// because rows of other kinds come from the table only.
func (p *Poller) takePeerRows(in PeerRows) {
	if p.history != "" && in.History != "" && in.History != p.history {
		return
	}
	next := p.copyView()
	complete := max(next.Revision, p.fromPeers) >= in.After
	for _, row := range in.Rows {
		switch {
		case row.Key == wire.KeyHead && !complete:
			// The head counts only once all items up to it are known.
		case wire.HasPrefix(row.Key, wire.PrefixVM):
			if row.Version > next.VMs[fleet.VMID(wire.IDOf(row.Key, wire.PrefixVM))].RowVersion {
				p.absorb(next, row)
			}
		case wire.HasPrefix(row.Key, wire.PrefixConfig):
			p.absorb(next, row)
		}
	}
	if complete {
		p.fromPeers = max(p.fromPeers, in.Revision)
	}
	p.publish(next)
}

// RowsOf returns the configuration and VM rows of a view, for an entry that has none.
func RowsOf(v *fleet.View) PeerRows {
	out := PeerRows{Revision: v.Revision}
	add := func(key fleet.TableKey, value []byte, version fleet.RowVersion) {
		out.Rows = append(out.Rows, platform.Row{Key: key, Value: value, Version: version})
	}
	for id, pool := range v.Configuration.Pools {
		add(wire.KeyPool(id), wire.EncodeItem(wire.Item{Revision: pool.Revision, Pool: &pool}), 1)
	}
	for id, service := range v.Configuration.Services {
		add(wire.KeyService(id), wire.EncodeItem(wire.Item{Revision: service.Revision, Service: &service}), 1)
	}
	for id, account := range v.Configuration.Accounts {
		add(wire.KeyAccount(id), wire.EncodeItem(wire.Item{Revision: account.Revision, Account: &account}), 1)
	}
	for id, vm := range v.VMs {
		add(wire.KeyVM(id), wire.EncodeVM(vm), vm.RowVersion)
	}
	add(wire.KeyHead, wire.EncodeHead(wire.Head{Revision: v.Configuration.Revision}), 1)
	return out
}
