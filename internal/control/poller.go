// Package control keeps what an entry knows of the fleet up to date and does the work that one entry
// does at a time.
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

// Notified takes events for the dispatcher.
type Notified interface {
	Push(dispatch.Event) error
}

// PollerEvent is an input of the poller.
type PollerEvent struct {
	// List is a new list of VMs of the platform.
	List *fleet.VMList
	// ListZone is the zone whose VMs List holds; it is empty for the VMs of all zones.
	ListZone fleet.ZoneID
	// Rows are rows that a peer knows.
	Rows []platform.Row
	// PollNow asks for a poll without waiting for the interval.
	PollNow bool
}

// Poller is the duty that owns the entry's view of the fleet.
type Poller struct {
	// The fields are set before Run.
	Table      ChangeReader
	Inbox      *ring.Ring[PollerEvent]
	View       *ring.Latest[*fleet.View]
	Dispatcher Notified
	Clock      clock.Clock
	Log        *zap.Logger
	Interval   time.Duration
	// Peers takes the rows that were read, for the other entries; it may be nil.
	Peers RowReceiver
	// Objects holds the snapshot for a start without the table; nil does without.
	Objects ObjectReader
	// Entry is this entry. It uses no VM before the table holds its row, because a release does not wait
	// for an entry that has none. Empty asks for no row.
	Entry fleet.EntryID
	Zone  fleet.ZoneID
	// HoldTime is how long after the lease of this entry lapsed its acknowledgement is waited for in
	// other zones. The entry stops using VMs of other zones at half of it.
	HoldTime time.Duration

	view   *fleet.View
	config configuration.Copy
	// table holds the configuration as read from the table's present history.
	table   configuration.Copy
	history platform.History
	failing bool
	// zoneAsOf is when the part of the own zone in the view's list was true; it may be newer than the list.
	zoneAsOf time.Time
	// configChanged says that config holds a change that the view does not.
	configChanged bool
	// avoiding says that the view leaves out the VMs of other zones.
	avoiding bool
	// known holds the version of each row in the view, deleted rows included, so that an older row of
	// a peer or of a stale read changes nothing.
	known map[fleet.TableKey]knownRow
	// registered says that the table has held this entry's row.
	registered bool
	// remembers says that this entry knew the rows of the table before its last restore.
	remembers bool
}

type knownRow struct {
	version fleet.RowVersion
	// fromPeer says that the table has not confirmed the row yet. The table overrules it, because a
	// peer may still know the rows of a history before a restore.
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

// Handle takes the news of one event into the view. Only the duty calls it, or a test in its place.
func (p *Poller) Handle(_ context.Context, ev PollerEvent) {
	d := p.draft()
	if ev.List != nil {
		p.takeList(d, *ev.List, ev.ListZone)
	}
	for _, row := range ev.Rows {
		p.absorb(d, row, true)
	}
	if d.changed {
		p.publish(d)
	}
}

// Poll reads all changes since the last poll and publishes a new view. Only the duty calls it, or a
// test in its place.
func (p *Poller) Poll(ctx context.Context) {
	d := p.draft()
	// The view is as old as the moment before the first read was sent.
	asked := p.Clock.Now()
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
			p.Log.Warn("poller: table has another history, reading it whole", zap.String("history", string(changes.History)))
			d.forget(changes.History)
			p.table = configuration.Copy{}
			continue
		}
		if changes.Revision < d.view.Revision {
			p.publishAge()
			return // a stale read confirms nothing
		}
		d.history = changes.History
		p.passOn(d, changes)
		for _, row := range changes.Rows {
			p.absorb(d, row, false)
		}
		d.view.Revision = changes.Revision
		if !changes.More {
			break
		}
	}
	p.failing = false
	if p.config.Follow(p.Clock.Now(), &p.table) {
		d.changed, p.configChanged = true, true
	}
	d.view.RefreshedAt = asked
	p.publish(d)
}

func (p *Poller) noteFailure(err error) {
	if !p.failing {
		p.Log.Warn("poller: table does not answer", zap.Error(err))
	}
	p.failing = true
}

// publish makes a draft the view. The dispatcher is told only of what routes requests, because its work on
// a view grows with the number of VMs.
func (p *Poller) publish(d *draft) {
	if p.configChanged {
		d.view.Configuration, p.configChanged = p.config.Build(), false
		d.routed = true
	}
	if d.restored {
		p.remembers = true
		p.known = map[fleet.TableKey]knownRow{}
	}
	maps.Copy(p.known, d.known)
	p.history, d.view.History = d.history, d.history
	d.view.Configuration.Revision, d.view.ConfigSince = p.config.Revision()
	foreign := p.mustAvoidOtherZones(&d.view)
	if _, ok := d.view.Entries[p.Entry]; ok && !p.registered {
		p.registered, d.relisted = true, true
	}
	if d.relisted || d.restored || foreign != p.avoiding {
		d.view.Leaving = p.leavingVMs(&d.view, foreign)
		d.routed = true
	}
	p.avoiding, p.view = foreign, &d.view
	p.View.Set(p.view)
	if d.routed {
		// When the ring is full, the dispatcher takes the view with its next tick.
		_ = p.Dispatcher.Push(dispatch.ViewChanged{})
	}
}

// publishAge takes the VMs of other zones out of the view once it is too old to use them.
func (p *Poller) publishAge() {
	if d := p.draft(); p.mustAvoidOtherZones(&d.view) != p.avoiding {
		p.publish(d)
	}
}

// mustAvoidOtherZones reports whether the view is older than half the hold time. Entries of other zones
// may then be close to giving VMs of theirs to another pool without this entry's acknowledgement.
func (p *Poller) mustAvoidOtherZones(v *fleet.View) bool {
	return p.HoldTime > 0 && p.Clock.Now().Sub(v.RefreshedAt) > p.HoldTime/2
}

// isDoubtful reports whether the row of a VM came from a backup and the VM may serve another assignment
// meanwhile. A VM of this zone was not released without the acknowledgement of this entry, if it ran then.
func (p *Poller) isDoubtful(view *fleet.View, vm fleet.VM) bool {
	isConfirmed := vm.History == "" || view.History == "" || vm.History == view.History
	return !isConfirmed && (vm.Zone != p.Zone || !p.remembers)
}

// leavingVMs returns the VMs that take no new work of this entry: the platform's list shows them as
// leaving or no longer shows them, or the view is too old to use their zone.
func (p *Poller) leavingVMs(view *fleet.View, avoidOtherZones bool) map[fleet.VMID]bool {
	leaving := map[fleet.VMID]bool{}
	for id, vm := range view.VMs {
		if avoidOtherZones && vm.Zone != p.Zone || !p.registered && p.Entry != "" && !view.RefreshedAt.IsZero() || p.isDoubtful(view, vm) {
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
