package control

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Table reads and changes rows of the platform's table.
type Table interface {
	Commit(ctx context.Context, t platform.Transaction) (fleet.TableRevision, error)
	Read(ctx context.Context, keys ...fleet.TableKey) ([]platform.Row, error)
}

// HeldLease is a lease that this entry holds. The lease's row changes only when the holder does, so a
// transaction with the row's version as a precondition fails once another entry has acquired the lease.
type HeldLease struct {
	Epoch      fleet.LeaseEpoch
	RowVersion fleet.RowVersion
}

// Leases are the leases that this entry holds.
type Leases map[fleet.DutyName]HeldLease

// LeaseHolder is the duty that renews the entry's row and acquires leases. A lease is valid as long as its
// holder renews its own entry row, so one write renews all leases of an entry.
type LeaseHolder struct {
	// The fields are set before Run.
	Entry  fleet.Entry
	Duties []fleet.DutyName
	Table  Table
	View   *ring.Latest[*fleet.View]
	Status *ring.Latest[dispatch.Status]
	// Reconciled is the history of the table in which this entry has nothing left to write back.
	Reconciled *ring.Latest[fleet.TableHistory]
	// DeadEndpoints holds the VMs of this entry's zone whose endpoint does not answer it.
	DeadEndpoints *ring.Latest[[]fleet.VMID]
	Held          *ring.Latest[Leases]
	Inbox         *ring.Ring[Deregister]
	// Superseded is called when another process has registered under the entry's id; it may be nil.
	Superseded func()
	Clock      clock.Clock
	Log        *zap.Logger

	version fleet.RowVersion
	// renewedAt is when the last successful renewal was sent; it is zero before the first.
	renewedAt time.Time
	// superseded reports whether the row belongs to a later incarnation.
	superseded bool
	held       Leases
	// revision is the table revision last seen; the table goes below it only when it is restored.
	revision fleet.TableRevision
	// entryChanges records when each entry's row last changed, by this entry's clock.
	entryChanges rowChanges[fleet.EntryID]
}

// Name implements duty.Duty.
func (*LeaseHolder) Name() fleet.DutyName { return "lease-holder" }

// renewalsPerLease is how often the entry's row is renewed within its duration.
const renewalsPerLease = 3

// Deregister asks the lease holder to release the leases and to remove the entry's row, because the entry
// stops. Done receives one item, which reports whether the row was removed.
type Deregister struct {
	Done *ring.Ring[bool]
}

// Run implements duty.Duty. After a Deregister request it stops renewing the entry's row.
func (h *LeaseHolder) Run(ctx context.Context) error {
	for {
		h.Step(ctx)
		timer := h.Clock.NewTimer(h.Entry.Duration / renewalsPerLease)
		request, ok, err := h.Inbox.PopUntil(ctx, timer.Chan())
		timer.Stop()
		if err != nil {
			return trace.Wrap(err)
		}
		if ok {
			_ = request.Done.Push(h.deregister(ctx))
			<-ctx.Done()
			return trace.Wrap(ctx.Err())
		}
	}
}

// Step renews the entry's row and acquires leases that are free. Only Run and tests call it.
func (h *LeaseHolder) Step(ctx context.Context) {
	if h.entryChanges == nil {
		h.held, h.entryChanges = Leases{}, rowChanges[fleet.EntryID]{}
	}
	sentAt := h.Clock.Now()
	if h.superseded {
		return
	}
	if h.renew(ctx) {
		h.renewedAt = sentAt
		h.acquireLeases(ctx)
		return
	}
	if h.superseded || h.Clock.Now().Sub(h.renewedAt) >= h.Entry.Duration {
		// Other entries may hold the leases by now.
		h.dropLeases()
	}
}

// dropLeases stops this entry from using its leases. It changes no row.
func (h *LeaseHolder) dropLeases() {
	h.held = Leases{}
	h.Held.Set(h.held)
}

// deregister removes the entry's row, so that other entries can acquire its leases at once and releases of
// VMs do not wait for it. It returns false if the row was not removed; the row then expires.
func (h *LeaseHolder) deregister(ctx context.Context) bool {
	h.dropLeases()
	if h.superseded || h.version == 0 {
		return false
	}
	now := h.Clock.Now()
	_, err := h.Table.Commit(ctx, platform.Transaction{
		Audit: &fleet.Audit{
			OperationID: fleet.NewOperationID(), At: now, Actor: string(h.Entry.ID), Action: fleet.AuditActionEntryRemove,
			Subjects: []fleet.AuditSubject{fleet.SubjectEntry(h.Entry.ID)}, Reason: "graceful stop", Outcome: "done", Entry: h.Entry.ID,
		},
		Preconditions: []platform.Precondition{{Key: wire.KeyEntry(h.Entry.ID), Version: h.version}},
		Puts:          []platform.Put{{Key: wire.KeyEntry(h.Entry.ID), Delete: true}},
	})
	if err != nil {
		h.Log.Warn("lease-holder: entry row cannot be removed", zap.Error(err))
	}
	return err == nil
}

// renew writes the entry's row. At startup it replaces the row of an earlier incarnation; later, a row of
// another incarnation means that this process was superseded.
func (h *LeaseHolder) renew(ctx context.Context) bool {
	key := wire.KeyEntry(h.Entry.ID)
	revision, err := h.Table.Commit(ctx, platform.Transaction{
		Preconditions: []platform.Precondition{{Key: key, Version: h.version}},
		Puts:          []platform.Put{{Key: key, Value: wire.EncodeEntry(h.row())}},
	})
	if err == nil {
		h.version = fleet.RowVersion(revision)
		return true
	}
	h.Log.Warn("lease-holder: entry row cannot be renewed", zap.Error(err))
	rows, err := h.Table.Read(ctx, key)
	if err != nil {
		return false
	}
	h.version = rows[0].Version
	found, err := wire.DecodeEntry(rows[0].Value)
	if err == nil && rows[0].Exists() && !h.renewedAt.IsZero() && found.Incarnation != h.Entry.Incarnation {
		h.Log.Error("lease-holder: another process runs under this entry id", zap.String("incarnation", string(found.Incarnation)))
		h.superseded = true
		if h.Superseded != nil {
			h.Superseded()
		}
	}
	return false
}

// row returns the entry's row as of now.
func (h *LeaseHolder) row() fleet.Entry {
	row := h.Entry
	row.RenewedAt = h.Clock.Now()
	row.History = h.Reconciled.Get()
	// The status may lag behind a restore of the table.
	if status := h.Status.Get(); status.History == row.History {
		row.AcknowledgedRevision = status.Acknowledged
	}
	row.DeadEndpoints = h.DeadEndpoints.Get()
	if view := h.View.Get(); view != nil {
		row.ConfigRevision, row.ConfigSince = view.Configuration.Revision, view.ConfigSince
	}
	return row
}

func (h *LeaseHolder) acquireLeases(ctx context.Context) {
	view := h.View.Get()
	if view == nil {
		return
	}
	if view.Revision < h.revision {
		// After a restore, the table may assign a version that this entry holds to another row of the lease.
		h.held = Leases{}
	}
	h.revision = view.Revision
	now := h.Clock.Now()
	h.entryChanges.observe(now, entryVersions(view))
	held := Leases{}
	for _, d := range h.Duties {
		if l, ok := h.keepOrAcquire(ctx, now, view, d); ok {
			held[d] = l
		}
	}
	h.held = held
	h.Held.Set(held)
}

func (h *LeaseHolder) keepOrAcquire(ctx context.Context, now time.Time, view *fleet.View, d fleet.DutyName) (HeldLease, bool) {
	lease := view.Leases[d]
	if lease.Holder == h.Entry.ID && lease.Incarnation == h.Entry.Incarnation {
		return HeldLease{Epoch: lease.Epoch, RowVersion: lease.RowVersion}, true
	}
	if held, ok := h.held[d]; ok && held.RowVersion > lease.RowVersion {
		return held, true
	}
	holder, known := view.Entries[lease.Holder]
	if known && holder.Incarnation == lease.Incarnation && now.Sub(h.entryChanges[holder.ID].at) < holder.Duration {
		return HeldLease{}, false
	}
	return h.acquire(ctx, now, lease, holder, d)
}

// acquire writes the lease with this entry as its holder. It fails if the old holder has renewed its entry
// row in the meantime.
func (h *LeaseHolder) acquire(ctx context.Context, now time.Time, old fleet.Lease, holder fleet.Entry, d fleet.DutyName) (HeldLease, bool) {
	lease := fleet.Lease{
		Duty: d, Holder: h.Entry.ID, Incarnation: h.Entry.Incarnation, Epoch: old.Epoch + 1, RenewedAt: now, Duration: h.Entry.Duration,
	}
	t := platform.Transaction{
		Audit: &fleet.Audit{
			OperationID: fleet.NewOperationID(), At: now, Actor: string(h.Entry.ID), Action: fleet.AuditActionLeaseTake,
			Subjects: []fleet.AuditSubject{fleet.SubjectLease(d)}, From: string(old.Holder), To: string(lease.Holder),
			Outcome: "done", Entry: h.Entry.ID,
		},
		Preconditions: []platform.Precondition{{Key: wire.KeyLease(d), Version: old.RowVersion}},
		Puts:          []platform.Put{{Key: wire.KeyLease(d), Value: wire.EncodeLease(lease)}},
		History:       h.View.Get().History,
	}
	if holder.ID != "" && holder.ID != h.Entry.ID {
		t.Preconditions = append(t.Preconditions, platform.Precondition{Key: wire.KeyEntry(holder.ID), Version: holder.RowVersion})
	}
	revision, err := h.Table.Commit(ctx, t)
	var conflict *platform.ConflictError
	if err != nil {
		if !errors.As(err, &conflict) {
			h.Log.Warn("lease-holder: lease cannot be acquired", zap.String("duty", string(d)), zap.Error(err))
		}
		return HeldLease{}, false
	}
	h.Log.Info("lease-holder: lease acquired", zap.String("duty", string(d)), zap.Uint64("epoch", uint64(lease.Epoch)))
	return HeldLease{Epoch: lease.Epoch, RowVersion: fleet.RowVersion(revision)}, true
}
