package control

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosawharf/mimosawharf/internal/configuration"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// PeerRows are configuration and VM rows that entries send to each other. They are complete from After
// (exclusive) to Revision (inclusive).
type PeerRows struct {
	Rows     []platform.Row
	After    fleet.TableRevision
	Revision fleet.TableRevision
	History  platform.History
}

// RowReceiver receives rows to forward to the other entries.
type RowReceiver interface {
	PushRows(PeerRows)
}

// forwardersPerRow is how many entries forward a row that they first received from a peer. Each entry then
// receives the row several times, which covers for broken links between two entries. If all of 128 entries
// forwarded it, each would receive it 127 times.
const forwardersPerRow = 8

// forwardRows sends the configuration and VM rows of a poll to the other entries. The pages of a first read
// are not forwarded, because an entry that needs all rows requests them. Rows that were already received
// from a peer are forwarded by few entries only.
func (p *Poller) forwardRows(d *draft, c platform.Changes) {
	if p.Peers == nil || p.view.Revision == 0 || d.restored {
		return
	}
	out, isNew := PeerRows{After: d.view.Revision, Revision: c.Revision, History: c.History}, false
	for _, row := range c.Rows {
		if !wire.HasPrefix(row.Key, wire.PrefixConfig) && !wire.HasPrefix(row.Key, wire.PrefixVM) {
			continue
		}
		out.Rows = append(out.Rows, row)
		isNew = isNew || p.versionOf(d, row.Key).version < row.Version || p.isForwarder(row, len(d.view.Entries))
	}
	if isNew {
		p.Peers.PushRows(out)
	}
}

// isForwarder reports whether this entry is one of those that forward a row received from a peer. Entries
// are chosen by a hash, so that they differ from row to row.
func (p *Poller) isForwarder(row platform.Row, entries int) bool {
	if entries <= forwardersPerRow {
		return true
	}
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", p.Entry, row.Key, row.Version))%uint64(entries) < forwardersPerRow
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
