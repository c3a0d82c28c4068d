package control

import (
	"maps"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// draft is the next view. Its maps are those of the published view until a row changes them.
type draft struct {
	view fleet.View
	// owned names the prefixes whose map was copied.
	owned map[fleet.TableKey]bool
	// known and history replace those of the poller when the draft is published; a draft that is dropped
	// in the middle of a read leaves no trace.
	known    map[fleet.TableKey]knownRow
	history  platform.History
	restored bool
	changed  bool
	// routed says that the dispatcher must see the change: the configuration, a VM row, or which VMs leave.
	// Heartbeats, leases, ledgers and waves do not concern it.
	routed bool
	// relisted says that the VMs of the view or their states in the platform's list are others than before.
	relisted bool
}

// versionOf returns what the draft knows of a row.
func (p *Poller) versionOf(d *draft, key fleet.TableKey) knownRow {
	if known, ok := d.known[key]; ok || d.restored {
		return known
	}
	return p.known[key]
}

func (p *Poller) draft() *draft {
	if p.view == nil {
		p.view, p.known = fleet.NewView(), map[fleet.TableKey]knownRow{}
	}
	return &draft{view: *p.view, owned: map[fleet.TableKey]bool{}, known: map[fleet.TableKey]knownRow{}, history: p.history}
}

// forget starts the rows of the view again, because the table was restored. The configuration stays: it
// only moves forward.
func (d *draft) forget(history platform.History) {
	d.history, d.restored, d.known = history, true, map[fleet.TableKey]knownRow{}
	empty := fleet.NewView()
	d.view.Ledgers, d.view.Waves = empty.Ledgers, empty.Waves
	d.view.VMs, d.view.Unwritten = maps.Clone(d.view.VMs), map[fleet.VMID]bool{}
	for id, vm := range d.view.VMs {
		// Until the table shows another row, it has none.
		vm.RowVersion = 0
		d.view.VMs[id], d.view.Unwritten[id] = vm, true
	}
	d.view.Entries, d.view.Leases = empty.Entries, empty.Leases
	for _, prefix := range []fleet.TableKey{wire.PrefixVM, wire.PrefixLedger, wire.PrefixWave, wire.PrefixEntry, wire.PrefixLease} {
		d.owned[prefix] = true
	}
	d.view.Revision, d.changed, d.routed, d.relisted = 0, true, true, true
}

// absorb takes one row into a draft, unless a newer one is known. A row that cannot be decoded is left
// out and logged.
func (p *Poller) absorb(d *draft, row platform.Row, fromPeer bool) {
	if known := p.versionOf(d, row.Key); row.Version <= known.version && (fromPeer || !known.fromPeer) {
		return
	}
	var err error
	v := &d.view
	if fromPeer && isOfOtherHistory(d.history, row) {
		return // its version says nothing about the present table
	}
	switch {
	case row.Key == wire.KeyHead:
		err = p.absorbHead(d, row, fromPeer)
	case wire.HasPrefix(row.Key, wire.PrefixConfig):
		err = p.absorbItem(d, row, fromPeer)
	case wire.HasPrefix(row.Key, wire.PrefixVM):
		vms, known := len(v.VMs), v.VMs[fleet.VMID(wire.IDOf(row.Key, wire.PrefixVM))].History
		err = absorbRow(d, &v.VMs, wire.PrefixVM, row, wire.DecodeVM, func(vm *fleet.VM) { d.keepNewer(vm, row.Version) })
		// A row that is confirmed after a restore may be used again.
		isRelisted := len(v.VMs) != vms || known != v.VMs[fleet.VMID(wire.IDOf(row.Key, wire.PrefixVM))].History
		d.routed, d.relisted = true, d.relisted || isRelisted
	case wire.HasPrefix(row.Key, wire.PrefixLedger):
		err = absorbRow(d, &v.Ledgers, wire.PrefixLedger, row, wire.DecodeLedger, func(l *fleet.Ledger) { l.RowVersion = row.Version })
	case wire.HasPrefix(row.Key, wire.PrefixWave):
		err = absorbRow(d, &v.Waves, wire.PrefixWave, row, wire.DecodeWave, func(w *fleet.Wave) { w.RowVersion = row.Version })
	case wire.HasPrefix(row.Key, wire.PrefixLease):
		err = absorbRow(d, &v.Leases, wire.PrefixLease, row, wire.DecodeLease, func(l *fleet.Lease) { l.RowVersion = row.Version })
	case wire.HasPrefix(row.Key, wire.PrefixEntry):
		err = absorbRow(d, &v.Entries, wire.PrefixEntry, row, wire.DecodeEntry, func(e *fleet.Entry) { e.RowVersion = row.Version })
	}
	if err != nil {
		p.Log.Error("poller: row was left out", zap.String("key", string(row.Key)), zap.Error(err))
		return
	}
	d.known[row.Key] = knownRow{version: row.Version, fromPeer: fromPeer}
}

// keepNewer puts the row that this entry knows in place of an older one of a restored table, so that the
// assignment of a VM does not go back. A row that was confirmed after the restore stands.
func (d *draft) keepNewer(vm *fleet.VM, version fleet.RowVersion) {
	known, ok := d.view.VMs[vm.ID]
	isOlder := ok && vm.History != d.history && known.History != d.history && known.Generation > vm.Generation
	if isOlder {
		*vm = known
	}
	vm.RowVersion = version
	if isOlder != d.view.Unwritten[vm.ID] {
		d.view.Unwritten = maps.Clone(d.view.Unwritten)
		d.view.Unwritten[vm.ID] = isOlder
		if !isOlder {
			delete(d.view.Unwritten, vm.ID)
		}
	}
}

// isOfOtherHistory reports a row of a VM that was confirmed in another history of the table.
func isOfOtherHistory(history platform.History, row platform.Row) bool {
	if history == "" || row.Deleted || !wire.HasPrefix(row.Key, wire.PrefixVM) {
		return false
	}
	vm, err := wire.DecodeVM(row.Value)
	return err == nil && vm.History != history
}

// absorbRow takes one row into the map of its prefix, which is copied once per draft.
func absorbRow[K ~string, V any](d *draft, to *map[K]V, prefix fleet.TableKey, row platform.Row, decode func([]byte) (V, error), version func(*V)) error {
	value, err := decode(row.Value)
	if err != nil && !row.Deleted {
		return trace.Wrap(err)
	}
	if !d.owned[prefix] {
		*to, d.owned[prefix] = maps.Clone(*to), true
	}
	d.changed = true
	id := K(wire.IDOf(row.Key, prefix))
	if row.Deleted {
		delete(*to, id)
		return nil
	}
	version(&value)
	(*to)[id] = value
	return nil
}

func (p *Poller) absorbHead(d *draft, row platform.Row, fromPeer bool) error {
	head, err := wire.DecodeHead(row.Value)
	if err != nil {
		return trace.Wrap(err)
	}
	if p.config.Advance(p.Clock.Now(), head) {
		d.changed, p.configChanged = true, true
	}
	if !fromPeer {
		p.table.Advance(p.Clock.Now(), head)
	}
	return nil
}

func (p *Poller) absorbItem(d *draft, row platform.Row, fromPeer bool) error {
	item, err := wire.DecodeItem(row.Value)
	if err != nil {
		return trace.Wrap(err)
	}
	if p.config.Absorb(p.Clock.Now(), row.Key, item) {
		d.changed, p.configChanged = true, true
	}
	if !fromPeer {
		p.table.Absorb(p.Clock.Now(), row.Key, item)
	}
	return nil
}
