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

// Held is a lease that this entry holds. Its row changes only with the holder, so the row's version
// is a precondition that fails as soon as another entry took the lease over.
type Held struct {
	Epoch      fleet.LeaseEpoch
	RowVersion fleet.RowVersion
}

// Leases are the leases that this entry holds.
type Leases map[fleet.DutyName]Held

// LeaseHolder is the duty that renews the entry's row and takes leases. A lease belongs to its holder
// as long as the holder renews its own row, so one write renews all leases of an entry.
type LeaseHolder struct {
	// The fields are set before Run.
	Entry  fleet.Entry
	Duties []fleet.DutyName
	Table  Table
	View   *ring.Latest[*fleet.View]
	Status *ring.Latest[dispatch.Status]
	// Reconciled is the history of the table in which this entry has nothing to write back.
	Reconciled *ring.Latest[fleet.TableHistory]
	// Dead holds the VMs of this entry's zone whose endpoint does not answer it.
	Dead  *ring.Latest[[]fleet.VMID]
	Held  *ring.Latest[Leases]
	Clock clock.Clock
	Log   *zap.Logger

	version fleet.RowVersion
	held    Leases
	// revision is the highest table revision seen; the table goes below it only when it is restored.
	revision fleet.TableRevision
	// seen remembers when the row of each entry was last seen to change, by this entry's clock.
	seen sightings[fleet.EntryID]
}

// Name implements duty.Duty.
func (*LeaseHolder) Name() fleet.DutyName { return "lease-holder" }

// renewalsPerLease is how often the entry's row is renewed within its duration.
const renewalsPerLease = 3

// Run implements duty.Duty.
func (h *LeaseHolder) Run(ctx context.Context) error {
	for {
		h.Step(ctx)
		if err := clock.Wait(ctx, h.Clock, h.Entry.Duration/renewalsPerLease); err != nil {
			return trace.Wrap(err)
		}
	}
}

// Step renews the entry's row and takes leases that are free. Only the duty calls it, or a test in its
// place.
func (h *LeaseHolder) Step(ctx context.Context) {
	if h.seen == nil {
		h.held, h.seen = Leases{}, sightings[fleet.EntryID]{}
	}
	h.renew(ctx)
	if h.version != 0 {
		h.takeLeases(ctx)
	}
}

// renew writes the entry's row. The row of an earlier incarnation is replaced.
func (h *LeaseHolder) renew(ctx context.Context) {
	now, row := h.Clock.Now(), h.Entry
	row.RenewedAt = now
	row.History = h.Reconciled.Get()
	// The status may lag behind a restore of the table.
	if status := h.Status.Get(); status.History == row.History {
		row.AcknowledgedRevision = status.Acknowledged
	}
	row.DeadEndpoints = h.Dead.Get()
	if view := h.View.Get(); view != nil {
		row.ConfigRevision, row.ConfigSince = view.Configuration.Revision, view.ConfigSince
	}
	key := wire.KeyEntry(row.ID)
	revision, err := h.Table.Commit(ctx, platform.Transaction{
		Preconditions: []platform.Precondition{{Key: key, Version: h.version}},
		Puts:          []platform.Put{{Key: key, Value: wire.EncodeEntry(row)}},
	})
	if err == nil {
		h.version = fleet.RowVersion(revision)
		return
	}
	h.Log.Warn("lease-holder: entry row was not renewed", zap.Error(err))
	rows, err := h.Table.Read(ctx, key)
	if err == nil {
		h.version = rows[0].Version
	}
}

func (h *LeaseHolder) takeLeases(ctx context.Context) {
	view := h.View.Get()
	if view == nil {
		return
	}
	if view.Revision < h.revision {
		// A restored table may give a version that this entry holds to another row of the lease.
		h.held = Leases{}
	}
	h.revision = view.Revision
	now := h.Clock.Now()
	h.seen.observe(now, entryVersions(view))
	held := Leases{}
	for _, d := range h.Duties {
		if l, ok := h.keepOrTake(ctx, now, view, d); ok {
			held[d] = l
		}
	}
	h.held = held
	h.Held.Set(held)
}

func (h *LeaseHolder) keepOrTake(ctx context.Context, now time.Time, view *fleet.View, d fleet.DutyName) (Held, bool) {
	lease := view.Leases[d]
	if lease.Holder == h.Entry.ID && lease.Incarnation == h.Entry.Incarnation {
		return Held{Epoch: lease.Epoch, RowVersion: lease.RowVersion}, true
	}
	if held, ok := h.held[d]; ok && held.RowVersion > lease.RowVersion {
		return held, true
	}
	holder, known := view.Entries[lease.Holder]
	if known && holder.Incarnation == lease.Incarnation && now.Sub(h.seen[holder.ID].at) < holder.Duration {
		return Held{}, false
	}
	return h.take(ctx, now, lease, holder, d)
}

// take writes the lease in this entry's name. It fails when the holder renewed its row meanwhile.
func (h *LeaseHolder) take(ctx context.Context, now time.Time, old fleet.Lease, holder fleet.Entry, d fleet.DutyName) (Held, bool) {
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
			h.Log.Warn("lease-holder: lease was not taken", zap.String("duty", string(d)), zap.Error(err))
		}
		return Held{}, false
	}
	h.Log.Info("lease-holder: took lease", zap.String("duty", string(d)), zap.Uint64("epoch", uint64(lease.Epoch)))
	return Held{Epoch: lease.Epoch, RowVersion: fleet.RowVersion(revision)}, true
}
