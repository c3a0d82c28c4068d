package control

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

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

// passersOn is how many entries pass a row on that they heard of from a peer first. Each entry hears a row
// several times then, because a link between two entries may be cut; from all of 128 entries it came 127
// times.
const passersOn = 8

// passOn gives the configuration and VM rows of a poll to the other entries. A first read is left out with
// all of its pages; who needs all rows asks for them. Rows that a peer gave already are left out by most entries.
func (p *Poller) passOn(d *draft, c platform.Changes) {
	if p.Peers == nil || p.view.Revision == 0 || d.restored {
		return
	}
	out, isNew := PeerRows{After: d.view.Revision, Revision: c.Revision, History: c.History}, false
	for _, row := range c.Rows {
		if !wire.HasPrefix(row.Key, wire.PrefixConfig) && !wire.HasPrefix(row.Key, wire.PrefixVM) {
			continue
		}
		out.Rows = append(out.Rows, row)
		isNew = isNew || p.versionOf(d, row.Key).version < row.Version || p.passesOn(row, len(d.view.Entries))
	}
	if isNew {
		p.Peers.PushRows(out)
	}
}

// passesOn reports whether this entry is one of those that pass on a row which a peer gave. The choice
// differs from row to row.
func (p *Poller) passesOn(row platform.Row, entries int) bool {
	if entries <= passersOn {
		return true
	}
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", p.Entry, row.Key, row.Version))%uint64(entries) < passersOn
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
