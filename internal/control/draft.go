package control

import (
	"maps"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// draft is the next view under construction. It shares the maps of the published view and copies them on
// write.
type draft struct {
	view fleet.View
	// copied holds the prefixes whose map was copied.
	copied map[fleet.TableKey]bool
	// known and history take effect in the poller when the draft is published, so that a draft abandoned
	// in the middle of a read has no effect.
	known    map[fleet.TableKey]knownRow
	history  platform.History
	restored bool
	changed  bool
	// notifyDispatcher reports whether the draft changes what the dispatcher uses: the configuration, the
	// VM rows or the set of leaving VMs, but not heartbeats, leases, ledgers and waves.
	notifyDispatcher bool
	// recomputeLeaving reports whether the leaving VMs must be computed again, because the VMs of the view
	// or their states in the platform's list have changed.
	recomputeLeaving bool
}

// versionOf returns the version of a row in the draft, or else in the published view. After a restore, only
// the draft counts.
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
	return &draft{view: *p.view, copied: map[fleet.TableKey]bool{}, known: map[fleet.TableKey]knownRow{}, history: p.history}
}

// reset discards the rows of the view after a restore of the table. VMs are kept, and marked as reverted
// until the table shows rows that are not older. The configuration is kept, because it never goes back.
func (d *draft) reset(history platform.History) {
	d.history, d.restored, d.known = history, true, map[fleet.TableKey]knownRow{}
	empty := fleet.NewView()
	d.view.Ledgers, d.view.Waves = empty.Ledgers, empty.Waves
	d.view.VMs, d.view.Reverted = maps.Clone(d.view.VMs), map[fleet.VMID]bool{}
	for id, vm := range d.view.VMs {
		// The VM has no row until the table shows one.
		vm.RowVersion = 0
		d.view.VMs[id], d.view.Reverted[id] = vm, true
	}
	d.view.Entries, d.view.Leases = empty.Entries, empty.Leases
	for _, prefix := range []fleet.TableKey{wire.PrefixVM, wire.PrefixLedger, wire.PrefixWave, wire.PrefixEntry, wire.PrefixLease} {
		d.copied[prefix] = true
	}
	d.view.Revision, d.changed, d.notifyDispatcher, d.recomputeLeaving = 0, true, true, true
}

// applyRow applies a row to a draft, unless a newer one is known. A row that cannot be decoded is logged
// and skipped.
func (p *Poller) applyRow(d *draft, row platform.Row, fromPeer bool) {
	if known := p.versionOf(d, row.Key); row.Version <= known.version && (fromPeer || !known.fromPeer) {
		return
	}
	var err error
	v := &d.view
	if fromPeer && isOfOtherHistory(d.history, row) {
		return // its version is not comparable with those of the present history
	}
	switch {
	case row.Key == wire.KeyHead:
		err = p.applyHead(d, row, fromPeer)
	case wire.HasPrefix(row.Key, wire.PrefixConfig):
		err = p.applyItem(d, row, fromPeer)
	case wire.HasPrefix(row.Key, wire.PrefixVM):
		vms, oldHistory := len(v.VMs), v.VMs[fleet.VMID(wire.IDOf(row.Key, wire.PrefixVM))].History
		err = applyMapRow(d, &v.VMs, wire.PrefixVM, row, wire.DecodeVM, func(vm *fleet.VM) { d.keepNewer(vm, row.Version) })
		// A VM may be used again once its row is confirmed after a restore.
		isChanged := len(v.VMs) != vms || oldHistory != v.VMs[fleet.VMID(wire.IDOf(row.Key, wire.PrefixVM))].History
		d.notifyDispatcher, d.recomputeLeaving = true, d.recomputeLeaving || isChanged
	case wire.HasPrefix(row.Key, wire.PrefixLedger):
		err = applyMapRow(d, &v.Ledgers, wire.PrefixLedger, row, wire.DecodeLedger, func(l *fleet.Ledger) { l.RowVersion = row.Version })
	case wire.HasPrefix(row.Key, wire.PrefixWave):
		err = applyMapRow(d, &v.Waves, wire.PrefixWave, row, wire.DecodeWave, func(w *fleet.Wave) { w.RowVersion = row.Version })
	case wire.HasPrefix(row.Key, wire.PrefixLease):
		err = applyMapRow(d, &v.Leases, wire.PrefixLease, row, wire.DecodeLease, func(l *fleet.Lease) { l.RowVersion = row.Version })
	case wire.HasPrefix(row.Key, wire.PrefixEntry):
		err = applyMapRow(d, &v.Entries, wire.PrefixEntry, row, wire.DecodeEntry, func(e *fleet.Entry) { e.RowVersion = row.Version })
	}
	if err != nil {
		p.Log.Error("poller: row cannot be decoded, skipped", zap.String("key", string(row.Key)), zap.Error(err))
		return
	}
	d.known[row.Key] = knownRow{version: row.Version, fromPeer: fromPeer}
}

// keepNewer replaces a row of a restored table by a newer one that this entry knows, so that the assignment
// of the VM does not go back. A row that was confirmed after the restore is not replaced.
func (d *draft) keepNewer(vm *fleet.VM, version fleet.RowVersion) {
	known, ok := d.view.VMs[vm.ID]
	isOlder := ok && vm.History != d.history && known.History != d.history && known.Generation > vm.Generation
	if isOlder {
		*vm = known
	}
	vm.RowVersion = version
	if isOlder != d.view.Reverted[vm.ID] {
		d.view.Reverted = maps.Clone(d.view.Reverted)
		d.view.Reverted[vm.ID] = isOlder
		if !isOlder {
			delete(d.view.Reverted, vm.ID)
		}
	}
}

// isOfOtherHistory reports whether the row of a VM was confirmed in another history of the table.
func isOfOtherHistory(history platform.History, row platform.Row) bool {
	if history == "" || row.Deleted || !wire.HasPrefix(row.Key, wire.PrefixVM) {
		return false
	}
	vm, err := wire.DecodeVM(row.Value)
	return err == nil && vm.History != history
}

// applyMapRow applies a row to the map of its prefix, which is copied once per draft.
func applyMapRow[K ~string, V any](d *draft, to *map[K]V, prefix fleet.TableKey, row platform.Row, decode func([]byte) (V, error), version func(*V)) error {
	value, err := decode(row.Value)
	if err != nil && !row.Deleted {
		return trace.Wrap(err)
	}
	if !d.copied[prefix] {
		*to, d.copied[prefix] = maps.Clone(*to), true
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

func (p *Poller) applyHead(d *draft, row platform.Row, fromPeer bool) error {
	head, err := wire.DecodeHead(row.Value)
	if err != nil {
		return trace.Wrap(err)
	}
	if p.config.ApplyHead(p.Clock.Now(), head) {
		d.changed, p.configChanged = true, true
	}
	if !fromPeer {
		p.table.ApplyHead(p.Clock.Now(), head)
	}
	return nil
}

func (p *Poller) applyItem(d *draft, row platform.Row, fromPeer bool) error {
	item, err := wire.DecodeItem(row.Value)
	if err != nil {
		return trace.Wrap(err)
	}
	if p.config.ApplyItem(p.Clock.Now(), row.Key, item) {
		d.changed, p.configChanged = true, true
	}
	if !fromPeer {
		p.table.ApplyItem(p.Clock.Now(), row.Key, item)
	}
	return nil
}
