// Package control maintains an entry's view of the fleet and runs the duties that one entry performs at a
// time, under a lease.
package control

import (
	"context"
	"maps"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/configuration"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// changesLimit bounds the rows of one incremental read.
const changesLimit = 2000

// ChangeReader reads the table incrementally.
type ChangeReader interface {
	Changes(ctx context.Context, after fleet.TableRevision, limit int, prefixes ...fleet.TableKey) (platform.Changes, error)
}

// EventSink receives events for the dispatcher.
type EventSink interface {
	Push(dispatch.Event) error
}

// PollerEvent is an input of the poller.
type PollerEvent struct {
	// List is a new list of the platform's VMs.
	List *fleet.VMList
	// ListZone is the zone whose VMs List holds; it is empty for the VMs of all zones.
	ListZone fleet.ZoneID
	// Rows are rows received from a peer.
	Rows []platform.Row
	// PollNow requests a poll without waiting for the interval.
	PollNow bool
}

// Poller is the duty that owns the entry's view of the fleet.
type Poller struct {
	// The fields are set before Run.
	Table      ChangeReader
	Inbox      *ring.Ring[PollerEvent]
	View       *ring.Latest[*fleet.View]
	Dispatcher EventSink
	Clock      clock.Clock
	Log        *zap.Logger
	Interval   time.Duration
	// Peers forwards the rows that were read to the other entries; it may be nil.
	Peers RowReceiver
	// Objects holds the snapshot to start from while the table is unavailable; it may be nil.
	Objects ObjectReader
	// Entry is this entry. It uses no VM before the table holds its row, because the release of a VM does
	// not wait for an entry without a row. If Entry is empty, no row is required.
	Entry fleet.EntryID
	Zone  fleet.ZoneID
	// HoldTime is how long other zones wait for the acknowledgement of this entry after its lease has
	// expired. The entry stops using VMs of other zones once its view is older than half of it.
	HoldTime time.Duration

	view   *fleet.View
	config configuration.Copy
	// table holds the configuration as read from the table's present history.
	table   configuration.Copy
	history platform.History
	failing bool
	// zoneAsOf is the time that the own zone's part of the view's list refers to; it may be newer than the
	// list.
	zoneAsOf time.Time
	// configChanged reports whether config holds a change that the view does not.
	configChanged bool
	// avoidsOtherZones reports whether the view marks all VMs of other zones as leaving.
	avoidsOtherZones bool
	// known holds the version of each row in the view, including deleted rows, so that an older row from
	// a peer or a stale read is ignored.
	known map[fleet.TableKey]knownRow
	// registered reports whether the table has held this entry's row.
	registered bool
	// sawRestore reports whether this entry knew the rows of the table before its last restore.
	sawRestore bool
}

type knownRow struct {
	version fleet.RowVersion
	// fromPeer reports whether the row came from a peer and the table has not confirmed it yet. A row of
	// the table then replaces it whatever its version, because the peer's row may predate a restore.
	fromPeer bool
}

// Name implements duty.Duty.
func (*Poller) Name() fleet.DutyName { return "poller" }

// Run implements duty.Duty.
func (p *Poller) Run(ctx context.Context) error {
	timer := p.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		ev, ok, err := p.Inbox.PopUntil(ctx, timer.Chan())
		if err != nil {
			return trace.Wrap(err)
		}
		p.Handle(ctx, ev)
		if !ok || ev.PollNow {
			p.Poll(ctx)
			timer.Reset(p.Interval)
		}
	}
}

// Handle applies an event to the view. Only Run and tests call it.
func (p *Poller) Handle(_ context.Context, ev PollerEvent) {
	d := p.draft()
	if ev.List != nil {
		p.applyList(d, *ev.List, ev.ListZone)
	}
	for _, row := range ev.Rows {
		p.applyRow(d, row, true)
	}
	if d.changed {
		p.publish(d)
	}
}

// Poll reads all changes since the last poll and publishes a new view. Only Run and tests call it.
func (p *Poller) Poll(ctx context.Context) {
	d := p.draft()
	// The view is as old as the start of the first read.
	readStart := p.Clock.Now()
	for {
		changes, err := p.Table.Changes(ctx, d.view.Revision, changesLimit,
			wire.PrefixConfig, wire.PrefixVM, wire.PrefixLedger, wire.PrefixWave, wire.PrefixLease, wire.PrefixEntry)
		if err != nil {
			p.noteFailure(err)
			p.loadSnapshot(ctx)
			p.publishAge()
			return
		}
		if d.history != "" && changes.History != d.history {
			p.Log.Warn("poller: table was restored, reading all rows", zap.String("history", string(changes.History)))
			d.reset(changes.History)
			p.table = configuration.Copy{}
			continue
		}
		if changes.Revision < d.view.Revision {
			p.publishAge()
			return // a stale read confirms nothing
		}
		d.history = changes.History
		p.forwardRows(d, changes)
		for _, row := range changes.Rows {
			p.applyRow(d, row, false)
		}
		d.view.Revision = changes.Revision
		if !changes.More {
			break
		}
	}
	p.failing = false
	if p.config.AdoptTable(p.Clock.Now(), &p.table) {
		d.changed, p.configChanged = true, true
	}
	d.view.RefreshedAt = readStart
	p.publish(d)
}

func (p *Poller) noteFailure(err error) {
	if !p.failing {
		p.Log.Warn("poller: table cannot be read", zap.Error(err))
	}
	p.failing = true
}

// publish makes a draft the current view. It notifies the dispatcher only of changes that affect routing,
// because the dispatcher's work on a new view grows with the number of VMs.
func (p *Poller) publish(d *draft) {
	if p.configChanged {
		d.view.Configuration, p.configChanged = p.config.Configuration(), false
		d.notifyDispatcher = true
	}
	if d.restored {
		p.sawRestore = true
		p.known = map[fleet.TableKey]knownRow{}
	}
	maps.Copy(p.known, d.known)
	p.history, d.view.History = d.history, d.history
	d.view.Configuration.Revision, d.view.ConfigSince = p.config.Revision()
	avoidOtherZones := p.mustAvoidOtherZones(&d.view)
	if _, ok := d.view.Entries[p.Entry]; ok && !p.registered {
		p.registered, d.recomputeLeaving = true, true
	}
	if d.recomputeLeaving || d.restored || avoidOtherZones != p.avoidsOtherZones {
		d.view.Leaving = p.leavingVMs(&d.view, avoidOtherZones)
		d.notifyDispatcher = true
	}
	p.avoidsOtherZones, p.view = avoidOtherZones, &d.view
	p.View.Set(p.view)
	if d.notifyDispatcher {
		// If the ring is full, the dispatcher picks up the view at its next tick.
		_ = p.Dispatcher.Push(dispatch.ViewChanged{})
	}
}

// publishAge marks the VMs of other zones as leaving once the view is too old to use them.
func (p *Poller) publishAge() {
	if d := p.draft(); p.mustAvoidOtherZones(&d.view) != p.avoidsOtherZones {
		p.publish(d)
	}
}

// mustAvoidOtherZones reports whether the view is older than half the hold time. Other zones may then soon
// move their VMs to another pool without this entry's acknowledgement.
func (p *Poller) mustAvoidOtherZones(v *fleet.View) bool {
	return p.HoldTime > 0 && p.Clock.Now().Sub(v.RefreshedAt) > p.HoldTime/2
}

// isAssignmentUncertain reports whether the row of a VM came from a backup and the VM may serve another
// assignment by now. A VM of the own zone cannot, if this entry already ran before the restore, because it
// is not released without the acknowledgement of this entry.
func (p *Poller) isAssignmentUncertain(view *fleet.View, vm fleet.VM) bool {
	isConfirmed := vm.History == "" || view.History == "" || vm.History == view.History
	return !isConfirmed && (vm.Zone != p.Zone || !p.sawRestore)
}

// leavingVMs returns the VMs that get no new work from this entry: those that the platform's list shows as
// leaving or does not show, those of other zones if the view is too old, those whose assignment is
// uncertain, and, once the table was read, all VMs until the table has held this entry's row.
func (p *Poller) leavingVMs(view *fleet.View, avoidOtherZones bool) map[fleet.VMID]bool {
	leaving := map[fleet.VMID]bool{}
	for id, vm := range view.VMs {
		if avoidOtherZones && vm.Zone != p.Zone || !p.registered && p.Entry != "" && !view.RefreshedAt.IsZero() || p.isAssignmentUncertain(view, vm) {
			leaving[id] = true
		}
	}
	if view.ListReadAt.IsZero() {
		return leaving
	}
	live := map[fleet.VMID]bool{}
	for _, vm := range view.List.VMs {
		live[vm.ID] = vm.State == fleet.PlatformVMStateLive
	}
	for id := range view.VMs {
		if !live[id] {
			leaving[id] = true
		}
	}
	return leaving
}
