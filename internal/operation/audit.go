package operation

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// AuditFilter narrows audit rows. Empty fields match all rows.
type AuditFilter struct {
	Pool  fleet.PoolID
	VM    fleet.VMID
	Actor string
	// Since and Until bound the time of rows; Until itself is left out.
	Since, Until time.Time
}

// Matches reports whether a row passes the filter.
func (f AuditFilter) Matches(a fleet.Audit) bool {
	return (f.Pool == "" || slices.Contains(a.Subjects, fleet.SubjectPool(f.Pool))) &&
		(f.VM == "" || slices.Contains(a.Subjects, fleet.SubjectVM(f.VM))) &&
		(f.Actor == "" || a.Actor == f.Actor) &&
		(f.Since.IsZero() || !a.At.Before(f.Since)) &&
		(f.Until.IsZero() || a.At.Before(f.Until))
}

// ListAudit reads the audit trail, newest row first.
type ListAudit struct {
	Filter AuditFilter
	Limit  int
	// Before is the page: rows of this table revision and later ones are left out. 0 starts with the newest.
	Before fleet.TableRevision
	Reply  *ring.Ring[Result[AuditPage]]
}

// AuditPage is a part of the audit trail.
type AuditPage struct {
	Rows []fleet.Audit
	// Next continues with older rows; it is 0 at the end of the trail. A page may have few rows, or
	// none, and still have a next one, because one operation reads a bounded part of the table.
	Next fleet.TableRevision
}

// Bounds of one read of the audit trail.
const (
	// firstAuditWindow is how many table revisions are read at first. Heartbeats use revisions too, so
	// the window doubles as long as it holds few rows.
	firstAuditWindow fleet.TableRevision = 4096
	// readsPerWindow bounds the rows of a window. The first window always fits, because a revision has
	// at most one audit row.
	readsPerWindow = 4
	// maxAuditReads bounds the reads of one page, so that other operations wait for a short time only.
	maxAuditReads = 24
)

func (o ListAudit) execute(ctx context.Context, x *Executor) {
	page, err := o.read(ctx, x)
	// The reply ring has room for the one result.
	_ = o.Reply.Push(Result[AuditPage]{Value: page, Err: err})
}

// read walks back over windows of table revisions. Audit rows are written once and never change, so
// the revision of a row is the revision of its operation.
func (o ListAudit) read(ctx context.Context, x *Executor) (AuditPage, error) {
	page := AuditPage{Next: o.Before}
	start, window := o.Before, firstAuditWindow
	if view := x.View.Get(); o.Before == 0 && view != nil {
		start = view.Revision
	}
	for reads := 0; reads < maxAuditReads; {
		from := start - min(start, window)
		rows, n, err := x.auditRows(ctx, from, page.Next)
		if err != nil {
			return AuditPage{}, trace.Wrap(err)
		}
		if reads += n; n > readsPerWindow && window > firstAuditWindow {
			window = firstAuditWindow
			continue
		}
		isFull, err := o.take(&page, rows)
		if isFull || err != nil {
			return page, trace.Wrap(err)
		}
		if from == 0 {
			page.Next = 0
			return page, nil
		}
		start, page.Next, window = from, from+1, window*2
	}
	return page, nil
}

// take adds the rows that match, newest first. It returns true when the page needs no older rows.
func (o ListAudit) take(page *AuditPage, rows []platform.Row) (bool, error) {
	for _, row := range slices.Backward(rows) {
		audit, err := wire.DecodeAudit(row.Value)
		if err != nil {
			return true, trace.Wrap(err)
		}
		if len(page.Rows) >= o.Limit {
			return true, nil
		}
		// Rows of other entries may be out of order by the difference of their clocks.
		if !o.Filter.Since.IsZero() && audit.At.Before(o.Filter.Since.Add(-clockSlack)) {
			page.Next = 0
			return true, nil
		}
		page.Next = fleet.TableRevision(row.Version)
		if o.Filter.Matches(audit) {
			page.Rows = append(page.Rows, audit)
		}
	}
	return false, nil
}

// auditRows returns the audit rows after start and before end, oldest first, and the number of reads.
// An end of 0 does not bind. It gives up after readsPerWindow reads when the end binds.
func (x *Executor) auditRows(ctx context.Context, start, end fleet.TableRevision) ([]platform.Row, int, error) {
	var list []platform.Row
	for reads := 1; ; reads++ {
		changes, err := x.Table.Changes(ctx, start, rowsPerRead, wire.PrefixAudit)
		if err != nil {
			return nil, 0, trace.Wrap(err)
		}
		for _, row := range changes.Rows {
			if end != 0 && row.Version >= fleet.RowVersion(end) {
				return list, reads, nil
			}
			list = append(list, row)
		}
		start = changes.Revision
		if !changes.More || end != 0 && reads > readsPerWindow {
			return list, reads, nil
		}
	}
}
