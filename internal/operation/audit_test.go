package operation_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/operation"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// putAuditRows writes audit rows, one a minute, with many revisions of heartbeats between them.
func putAuditRows(e *executor, rows int) {
	for i := range rows {
		e.table.revision += fleet.RowVersion(1 + i%7*1500)
		a := fleet.Audit{
			OperationID: fleet.OperationID(fmt.Sprint("operation-", i)), At: noon.Add(time.Duration(i) * time.Minute),
			Actor: []string{"ada", "bob"}[i%2], Subjects: []fleet.AuditSubject{fleet.SubjectVM(fleet.VMID(fmt.Sprint("vm-", i%3)))},
		}
		key := wire.KeyAudit(a.OperationID)
		e.table.rows[key] = platform.Row{Key: key, Value: wire.EncodeAudit(a), Version: e.table.revision}
	}
}

// list returns all rows that match a filter, read page by page.
func (e *executor) list(f operation.AuditFilter, limit int) (rows []fleet.Audit, err error) {
	for page := (operation.AuditPage{}); ; {
		o := operation.ListAudit{Filter: f, Limit: limit, Before: page.Next, Reply: ring.New[operation.Result[operation.AuditPage]]("test", 1)}
		if page, err = do(e, o, o.Reply); err != nil {
			return rows, err
		}
		if rows = append(rows, page.Rows...); page.Next == 0 {
			return rows, nil
		}
	}
}

// Guards against pages that leave out, repeat or reorder rows, and against filters that have no effect.
func TestListAuditPagesNewestFirst(t *testing.T) {
	const total = 500
	cases := []struct {
		name   string
		filter operation.AuditFilter
		want   func(i int) bool
	}{
		{"all", operation.AuditFilter{}, func(int) bool { return true }},
		{"actor", operation.AuditFilter{Actor: "bob"}, func(i int) bool { return i%2 == 1 }},
		{"VM", operation.AuditFilter{VM: "vm-2"}, func(i int) bool { return i%3 == 2 }},
		{"pool", operation.AuditFilter{Pool: "rota"}, func(int) bool { return false }},
		{"time", operation.AuditFilter{Since: noon.Add(400 * time.Minute), Until: noon.Add(450 * time.Minute)}, func(i int) bool { return i >= 400 && i < 450 }},
	}
	e := newExecutor(t)
	putAuditRows(e, total)
	for _, c := range cases {
		for _, limit := range []int{1, 7, 10000} {
			t.Run(fmt.Sprint(c.name, " ", limit), func(t *testing.T) {
				is := is.New(t)
				var want []fleet.OperationID
				for i := total - 1; i >= 0; i-- {
					if c.want(i) {
						want = append(want, fleet.OperationID(fmt.Sprint("operation-", i)))
					}
				}
				view := fleet.NewView()
				view.Revision = fleet.TableRevision(e.table.revision - 1)
				e.view.Set(view)
				rows, err := e.list(c.filter, limit)
				is.NoErr(err)
				var got []fleet.OperationID
				for _, a := range rows {
					got = append(got, a.OperationID)
				}
				is.Equal(got, want)
			})
		}
	}
}

// Guards against a first page that reads the whole trail.
func TestListAuditReadsOnlyTheNewestRows(t *testing.T) {
	is := is.New(t)
	e := newExecutor(t)
	putAuditRows(e, 5000)
	view := fleet.NewView()
	view.Revision = fleet.TableRevision(e.table.revision)
	e.view.Set(view)
	o := operation.ListAudit{Limit: 20, Reply: ring.New[operation.Result[operation.AuditPage]]("test", 1)}
	page, err := do(e, o, o.Reply)
	is.NoErr(err)
	is.Equal(len(page.Rows), 20)
	is.True(e.table.reads <= 6) // windows double from 4096 revisions; 20 rows take about 90,000
}
