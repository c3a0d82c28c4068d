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
	// PollNow asks for a poll without waiting for the interval.
	PollNow bool
	// Rows are configuration and VM rows of a peer.
	Rows *PeerRows
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

	view    *fleet.View
	config  configuration.Copy
	history platform.History
	failing bool
	// fromPeers is the revision up to which configuration and VMs are complete thanks to peers.
	fromPeers fleet.TableRevision
}

// Name implements duty.Duty.
func (*Poller) Name() fleet.DutyName { return "poller" }

// Run implements duty.Duty.
func (p *Poller) Run(ctx context.Context) error {
	p.view = fleet.NewView()
	timer := p.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		ev, ok, err := p.Inbox.PopUntil(ctx, timer.Chan())
		if err != nil {
			return trace.Wrap(err)
		}
		if ok && ev.List != nil {
			p.takeList(*ev.List)
		}
		if ok && ev.Rows != nil {
			p.takePeerRows(*ev.Rows)
		}
		if !ok || ev.PollNow {
			p.poll(ctx)
			timer.Reset(p.Interval)
		}
	}
}

// poll reads all changes since the last poll and publishes a new view.
func (p *Poller) poll(ctx context.Context) {
	next := p.copyView()
	for {
		changes, err := p.Table.Changes(ctx, next.Revision, changesLimit,
			wire.PrefixConfig, wire.PrefixVM, wire.PrefixLedger, wire.PrefixWave, wire.PrefixLease, wire.PrefixEntry)
		if err != nil {
			p.noteFailure(err)
			return
		}
		if p.isOtherHistory(changes) {
			p.Log.Warn("poller: table has another history, reading it whole", zap.String("history", string(changes.History)))
			p.history, next.Revision = changes.History, 0
			continue
		}
		p.history = changes.History
		for _, row := range changes.Rows {
			p.absorb(next, row)
		}
		p.passOn(next.Revision, changes)
		next.Revision = changes.Revision
		if !changes.More {
			break
		}
	}
	p.failing = false
	next.RefreshedAt = p.Clock.Now()
	p.publish(next)
}

func (p *Poller) isOtherHistory(c platform.Changes) bool {
	return p.history != "" && c.History != p.history
}

func (p *Poller) noteFailure(err error) {
	if !p.failing {
		p.Log.Warn("poller: table does not answer", zap.Error(err))
	}
	p.failing = true
}

func (p *Poller) takeList(list fleet.VMList) {
	next := p.copyView()
	next.List, next.ListReadAt = list, p.Clock.Now()
	p.publish(next)
}

func (p *Poller) copyView() *fleet.View {
	v := *p.view
	v.VMs = maps.Clone(v.VMs)
	v.Ledgers = maps.Clone(v.Ledgers)
	v.Waves = maps.Clone(v.Waves)
	v.Entries = maps.Clone(v.Entries)
	v.Leases = maps.Clone(v.Leases)
	return &v
}

func (p *Poller) publish(next *fleet.View) {
	next.Configuration = p.config.Build()
	next.Configuration.Revision, next.ConfigSince = p.config.Revision()
	next.Leaving = leavingVMs(next)
	p.view = next
	p.View.Set(next)
	// When the ring is full, the dispatcher takes the view with its next tick.
	_ = p.Dispatcher.Push(dispatch.ViewChanged{})
}

// leavingVMs returns the VMs that the platform's list shows as leaving or no longer shows.
func leavingVMs(view *fleet.View) map[fleet.VMID]bool {
	leaving := map[fleet.VMID]bool{}
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

// absorb takes one row into the view. A row that cannot be decoded is left out and logged.
func (p *Poller) absorb(v *fleet.View, row platform.Row) {
	var err error
	switch {
	case row.Key == wire.KeyHead:
		err = p.absorbHead(row)
	case wire.HasPrefix(row.Key, wire.PrefixConfig):
		err = p.absorbItem(row)
	case wire.HasPrefix(row.Key, wire.PrefixVM):
		err = absorbRow(v.VMs, fleet.VMID(wire.IDOf(row.Key, wire.PrefixVM)), row, wire.DecodeVM, func(vm *fleet.VM) { vm.RowVersion = row.Version })
	case wire.HasPrefix(row.Key, wire.PrefixLedger):
		err = absorbRow(v.Ledgers, fleet.PoolID(wire.IDOf(row.Key, wire.PrefixLedger)), row, wire.DecodeLedger, func(l *fleet.Ledger) { l.RowVersion = row.Version })
	case wire.HasPrefix(row.Key, wire.PrefixWave):
		err = absorbRow(v.Waves, fleet.WaveID(wire.IDOf(row.Key, wire.PrefixWave)), row, wire.DecodeWave, func(w *fleet.Wave) { w.RowVersion = row.Version })
	case wire.HasPrefix(row.Key, wire.PrefixLease):
		err = absorbRow(v.Leases, fleet.DutyName(wire.IDOf(row.Key, wire.PrefixLease)), row, wire.DecodeLease, func(l *fleet.Lease) { l.RowVersion = row.Version })
	case wire.HasPrefix(row.Key, wire.PrefixEntry):
		err = absorbRow(v.Entries, fleet.EntryID(wire.IDOf(row.Key, wire.PrefixEntry)), row, wire.DecodeEntry, func(e *fleet.Entry) { e.RowVersion = row.Version })
	}
	if err != nil {
		p.Log.Error("poller: row was left out", zap.String("key", string(row.Key)), zap.Error(err))
	}
}

func absorbRow[K comparable, V any](to map[K]V, id K, row platform.Row, decode func([]byte) (V, error), version func(*V)) error {
	if row.Deleted {
		delete(to, id)
		return nil
	}
	value, err := decode(row.Value)
	if err != nil {
		return trace.Wrap(err)
	}
	version(&value)
	to[id] = value
	return nil
}

func (p *Poller) absorbHead(row platform.Row) error {
	head, err := wire.DecodeHead(row.Value)
	if err == nil {
		p.config.Advance(p.Clock.Now(), head.Revision)
	}
	return trace.Wrap(err)
}

func (p *Poller) absorbItem(row platform.Row) error {
	item, err := wire.DecodeItem(row.Value)
	if err == nil {
		p.config.Absorb(row.Key, configuration.Item{Pool: item.Pool, Service: item.Service, Account: item.Account, Revision: item.Revision})
	}
	return trace.Wrap(err)
}
