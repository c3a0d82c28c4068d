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

// AuditFilter selects audit rows. Empty fields match all rows.
type AuditFilter struct {
	Pool  fleet.PoolID
	VM    fleet.VMID
	Actor string
	// Since and Until bound the time of rows; Until is exclusive.
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
	// Before excludes rows of this table revision and later ones; 0 starts with the newest row. For the
	// next page it is AuditPage.Next.
	Before fleet.TableRevision
	Reply  *ring.Ring[Result[AuditPage]]
}

// AuditPage is a part of the audit trail.
type AuditPage struct {
	Rows []fleet.Audit
	// Next is ListAudit.Before for the page with older rows, or 0 at the end of the trail. A page may have
	// few rows or none and still have a next one, because one operation reads a bounded part of the table.
	Next fleet.TableRevision
}

// Bounds of one read of the audit trail.
const (
	// firstAuditWindow is the number of table revisions in the first window. Heartbeats use revisions too,
	// so the window doubles until the page is full.
	firstAuditWindow fleet.TableRevision = 4096
	// maxReadsPerWindow bounds the reads of a window. If a window needs more, the size of the first one is
	// used again; it always fits, because a revision has at most one audit row.
	maxReadsPerWindow = 4
	// maxAuditReads bounds the reads of one page, so that other operations do not wait long.
	maxAuditReads = 24
)

func (o ListAudit) execute(ctx context.Context, x *Executor) {
	page, err := o.read(ctx, x)
	// The reply ring has room for the one result.
	_ = o.Reply.Push(Result[AuditPage]{Value: page, Err: err})
}

// read reads windows of table revisions, newest first. Audit rows are written once and never change, so
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
		if reads += n; n > maxReadsPerWindow && window > firstAuditWindow {
			window = firstAuditWindow
			continue
		}
		isFull, err := o.addRows(&page, rows)
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

// addRows adds the rows that match, newest first. It returns true if the page needs no older rows.
func (o ListAudit) addRows(page *AuditPage, rows []platform.Row) (bool, error) {
	for _, row := range slices.Backward(rows) {
		audit, err := wire.DecodeAudit(row.Value)
		if err != nil {
			return true, trace.Wrap(err)
		}
		if len(page.Rows) >= o.Limit {
			return true, nil
		}
		// The times of rows may be out of order by the skew between the clocks of entries.
		if !o.Filter.Since.IsZero() && audit.At.Before(o.Filter.Since.Add(-maxClockSkew)) {
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
// An end of 0 is no limit. With an end, rows may be missing if the number exceeds maxReadsPerWindow.
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
		if !changes.More || end != 0 && reads > maxReadsPerWindow {
			return list, reads, nil
		}
	}
}
