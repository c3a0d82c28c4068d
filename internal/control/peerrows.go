package control

import (
	"github.com/mimosawharf/mimosawharf/internal/configuration"
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

// RowsOf returns the configuration and VM rows of a view, for an entry that has none.
func RowsOf(v *fleet.View) PeerRows {
	out := PeerRows{Revision: v.Revision}
	add := func(key fleet.TableKey, value []byte, version fleet.RowVersion) {
		out.Rows = append(out.Rows, platform.Row{Key: key, Value: value, Version: version})
	}
	for id, pool := range v.Configuration.Pools {
		add(wire.KeyPool(id), wire.EncodeItem(configuration.Item{Revision: pool.Revision, Pool: &pool}), 1)
	}
	for id, service := range v.Configuration.Services {
		add(wire.KeyService(id), wire.EncodeItem(configuration.Item{Revision: service.Revision, Service: &service}), 1)
	}
	for id, account := range v.Configuration.Accounts {
		add(wire.KeyAccount(id), wire.EncodeItem(configuration.Item{Revision: account.Revision, Account: &account}), 1)
	}
	for id, vm := range v.VMs {
		add(wire.KeyVM(id), wire.EncodeVM(vm), vm.RowVersion)
	}
	add(wire.KeyHead, wire.EncodeHead(configuration.Head{Revision: v.Configuration.Revision}), 1)
	return out
}
